// Package process holds what every long-lived process of the system has: its
// identity, log, metrics, traces, key ring and supervisor tree.
package process

import (
	"context"
	"os"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/supervisor"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const flushTimeout = 2 * time.Second

// Process is the common part of a balancer or sidecar.
type Process struct {
	self      identity.OwnerID
	clock     clock.Clock
	telemetry *telemetry.Telemetry
	keys      *keyring.Store
	tree      *supervisor.Tree
}

// Config configures a Process.
type Config struct {
	Settings settings.Process
	// Ready returns the reasons why the process is not ready.
	Ready func() []string
}

// New opens the observe address and reads the key ring. An error leaves nothing
// open.
func New(config Config) (*Process, error) {
	s := config.Settings
	observed, err := telemetry.New(telemetry.Config{
		Role: s.Role, Host: s.Host, DataCentre: s.DataCentre, Output: os.Stderr,
		ObserveAddress: s.ObserveAddress, Traces: s.Traces, Ready: config.Ready,
	})
	if err != nil {
		return nil, err
	}
	p := &Process{self: identity.NewOwnerID(), clock: clock.System(), telemetry: observed}
	p.tree = supervisor.New(string(s.Role), p.Logger())
	p.tree.Add("observe", observed.Serve)
	keys, watcher, err := keyring.NewReloader(keyring.ReloaderConfig{
		Path: s.KeyRingFile, Interval: s.ReloadInterval, LogEvent: observed.LogEvent,
	})
	if err != nil {
		p.Close()
		return nil, err
	}
	p.keys = keys
	p.tree.Add("key-ring", watcher.Serve)
	return p, nil
}

// Self returns the identity of this run of the process.
func (p *Process) Self() identity.OwnerID { return p.self }

// Clock returns the clock of the process.
func (p *Process) Clock() clock.Clock { return p.clock }

// Logger returns the log.
func (p *Process) Logger() *zap.Logger { return p.telemetry.Logger() }

// LogEvent logs an event, as an error if err is not nil.
func (p *Process) LogEvent(event string, err error) { p.telemetry.LogEvent(event, err) }

// Registry returns the registry of metrics.
func (p *Process) Registry() *prometheus.Registry { return p.telemetry.Registry() }

// Keys returns the key ring.
func (p *Process) Keys() *keyring.Store { return p.keys }

// Tree returns the supervisor tree.
func (p *Process) Tree() *supervisor.Tree { return p.tree }

// Run runs the tree until drain returns, and ends it with cancel. Then it calls
// wait, which returns when the parts outside the tree have ended.
func (p *Process) Run(ctx context.Context, cancel context.CancelFunc, drain, wait func()) error {
	p.Logger().Info("started", zap.Stringer("id", p.self))
	served := make(chan error, 1)
	go func() { served <- p.tree.Serve(ctx) }()
	drain()
	cancel()
	err := <-served
	wait()
	p.Logger().Info("stopped")
	return err
}

// Close writes out spans and the log, and closes the observe address.
func (p *Process) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := p.telemetry.Shutdown(ctx); err != nil {
		p.Logger().Warn("telemetry-shutdown-failed", zap.Error(err))
	}
}
