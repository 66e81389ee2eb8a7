package request

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"
)

const namespace = "orioledyke"

// Outcomes of requests, in metrics and traces.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not-run"
	outcomeUnknown  = "unknown"
	outcomeRepeated = "repeated"
	outcomeRejected = "rejected"
	outcomeAborted  = "aborted"
)

// metrics holds the request metrics of a sidecar.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	retries  prometheus.Counter
	handOffs *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, h *Handler) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by kind of work and outcome.",
		}, []string{"kind", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds", Help: "Time from request to the end of the response.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}, []string{"kind"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "request_retries_total", Help: "Retries within the retry budget.",
		}),
		handOffs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "request_hops_total", Help: "Requests passed to a sibling by reason and result.",
		}, []string{"hop", "result"}),
	}
	if registerer == nil {
		return m
	}
	registerer.MustRegister(m.requests, m.duration, m.retries, m.handOffs,
		gauge("slots_in_use", "Slots of the upstream in use.", func() float64 { return float64(h.gate.load().InUse) }),
		gauge("requests_queued", "Requests that wait for a slot.", func() float64 { return float64(h.gate.load().Queued) }),
		gauge("upstream_weight", "Weight of the upstream from 1 to 16.", func() float64 { return float64(h.Weight()) }),
	)
	return m
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

// tracer returns the tracer of the global provider. It is not cached, because the
// program sets the provider only after it has started.
func tracer() trace.Tracer {
	return otel.Tracer("github.com/orioledyke/orioledyke/internal/sidecar/request")
}
