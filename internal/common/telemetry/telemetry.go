// Package telemetry provides the log, metrics, readiness endpoint and traces of a
// process.
package telemetry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Config configures Telemetry.
type Config struct {
	Role       settings.Role
	Host       string
	DataCentre string
	// Output receives the log, one line for each event. Nil discards the log.
	Output io.Writer
	// LineLimit is the maximum number of lines per second for each event name and
	// level. Further lines are dropped and counted. With a limit, lines are written in
	// the background, so that a slow Output does not block the process. Zero means no
	// limit and no background writer.
	LineLimit int
	// ObserveAddress is the TCP address that serves /metrics, /ready and /live. The
	// zero value disables the server.
	ObserveAddress netip.AddrPort
	// Traces configures where spans are exported to.
	Traces settings.Traces
	// Ready returns the reasons why the process cannot do its work yet. An empty list
	// means that it is ready. A nil function means that it is always ready.
	Ready func() []string
}

// Telemetry holds the log, the metrics registry and the tracer provider of a
// process.
type Telemetry struct {
	config   Config
	logger   *zap.Logger
	registry *prometheus.Registry
	traces   *traces
	listener net.Listener
	dropped  atomic.Uint64
}

// New opens the observe address and the span exporters. It installs the tracer
// provider and the propagation of W3C trace context as globals of the whole process.
// If it returns an error, nothing stays open.
func New(config Config) (*Telemetry, error) {
	t := &Telemetry{config: config, registry: newRegistry()}
	t.logger = newLogger(config, &t.dropped)
	t.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "orioledyke_log_lines_dropped_total", Help: "Log lines over the limit or not read in time.",
	}, func() float64 { return float64(t.dropped.Load()) }))
	if config.ObserveAddress.IsValid() {
		var err error
		if t.listener, err = net.Listen("tcp", config.ObserveAddress.String()); err != nil {
			return nil, oops.Code("observe-address-unavailable").Wrapf(err, "open observe-address %s", config.ObserveAddress)
		}
	}
	var err error
	if t.traces, err = newTraces(config); err != nil {
		return nil, errors.Join(err, t.closeListener())
	}
	t.traces.install(t.logger)
	return t, nil
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collectors.NewGoCollector(),
		collectors.NewBuildInfoCollector(),
	)
	return registry
}

// Logger returns the structured log. The message of an entry is the name of the event
// in kebab-case.
func (t *Telemetry) Logger() *zap.Logger { return t.logger }

// Registry returns the registry that /metrics serves.
func (t *Telemetry) Registry() *prometheus.Registry { return t.registry }

// Tracer returns a tracer whose instrumentation scope is the package path name.
func (t *Telemetry) Tracer(name string) trace.Tracer { return t.traces.provider.Tracer(name) }

// Address returns the address that the observe server listens on, with the actual port.
// It returns the zero value if the server is disabled.
func (t *Telemetry) Address() netip.AddrPort {
	if t.listener == nil {
		return netip.AddrPort{}
	}
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Shutdown closes the observe server, exports the buffered spans and flushes the log.
// It returns early, with an error, if ctx ends before the spans are exported.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := errors.Join(t.closeListener(), t.traces.shutdown(ctx))
	// Sync returns an error for terminals and pipes, which have no buffer to flush.
	_ = t.logger.Sync()
	return err
}

func (t *Telemetry) closeListener() error {
	if t.listener == nil {
		return nil
	}
	if err := t.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return oops.Wrapf(err, "close observe-address")
	}
	return nil
}
