// Package process provides what balancers and sidecars have in common: identity, clock,
// log, metrics, traces, key ring and supervisor tree.
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

// flushTimeout limits how long Close waits for spans and the log to be written.
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
	// Ready returns the reasons why the process is not ready, or none if it is.
	Ready func() []string
}

// New opens the observe address and reads the key ring. If it returns an error, nothing
// stays open.
func New(config Config) (*Process, error) {
	s := config.Settings
	tel, err := telemetry.New(telemetry.Config{
		Role: s.Role, Host: s.Host, DataCentre: s.DataCentre, Output: os.Stderr,
		ObserveAddress: s.ObserveAddress, Traces: s.Traces, Ready: config.Ready,
	})
	if err != nil {
		return nil, err
	}
	p := &Process{self: identity.NewOwnerID(), clock: clock.System(), telemetry: tel}
	p.tree = supervisor.New(string(s.Role), p.Logger())
	p.tree.Add("observe", tel.Serve)
	keys, watcher, err := keyring.LoadWatched(keyring.WatchConfig{
		Path: s.KeyRingFile, Interval: s.ReloadInterval, LogEvent: tel.LogEvent,
	})
	if err != nil {
		p.Close()
		return nil, err
	}
	p.keys = keys
	p.tree.Add("key-ring", watcher.Serve)
	return p, nil
}

// Self returns the identifier of this incarnation of the process.
func (p *Process) Self() identity.OwnerID { return p.self }

// Clock returns the monotonic clock of the process.
func (p *Process) Clock() clock.Clock { return p.clock }

// Logger returns the structured log of the process.
func (p *Process) Logger() *zap.Logger { return p.telemetry.Logger() }

// LogEvent logs an event: at error level if err is not nil, and at info level otherwise.
func (p *Process) LogEvent(event string, err error) { p.telemetry.LogEvent(event, err) }

// Registry returns the metrics registry that the observe address serves.
func (p *Process) Registry() *prometheus.Registry { return p.telemetry.Registry() }

// Keys returns the store of the current key ring, which is reloaded while the tree runs.
func (p *Process) Keys() *keyring.Store { return p.keys }

// Tree returns the supervisor tree, to which components can be added before Run.
func (p *Process) Tree() *supervisor.Tree { return p.tree }

// Run runs the supervisor tree until drain returns, and then stops it with cancel, which
// must end ctx. Finally it calls wait, which must return when the components outside the
// tree have ended.
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

// Close flushes spans and the log, and closes the observe address.
func (p *Process) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := p.telemetry.Shutdown(ctx); err != nil {
		p.Logger().Warn("telemetry-shutdown-failed", zap.Error(err))
	}
}
