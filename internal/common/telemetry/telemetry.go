// Package telemetry gives a process its log, metrics, readiness and traces.
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
	// Output receives the log, one line for each event.
	Output io.Writer
	// LineLimit is how many lines of one event are written in a second; the others
	// are counted and dropped, and a writer that is slow delays nothing. Zero means
	// no limit.
	LineLimit int
	// ObserveAddress serves /metrics, /ready and /live. The zero value serves
	// nothing.
	ObserveAddress netip.AddrPort
	Traces         settings.Traces
	// Ready returns the reasons why the process cannot do its work yet; none
	// means ready. Nil means always ready.
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

// New opens the observe address and the outputs of spans, and installs the
// tracer provider and W3C trace context propagation for the whole process. An
// error leaves nothing open.
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

// Logger returns the log. The message of an event is its name in kebab-case.
func (t *Telemetry) Logger() *zap.Logger { return t.logger }

// Registry returns the registry that /metrics serves.
func (t *Telemetry) Registry() *prometheus.Registry { return t.registry }

// Tracer returns the tracer of the package called name.
func (t *Telemetry) Tracer(name string) trace.Tracer { return t.traces.provider.Tracer(name) }

// Address returns the address that the observe server listens on, or the zero
// value if there is none.
func (t *Telemetry) Address() netip.AddrPort {
	if t.listener == nil {
		return netip.AddrPort{}
	}
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Shutdown closes the observe server, sends the spans that are still buffered
// and writes the log out. It gives up when ctx ends.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	err := errors.Join(t.closeListener(), t.traces.shutdown(ctx))
	// Sync reports an error for terminals and pipes, which hold nothing back.
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
