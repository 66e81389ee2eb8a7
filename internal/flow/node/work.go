package node

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/internal/flow/worktime"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const msPerSecond = 1000

// workCollector collects the learned work times of a sidecar by address.
type workCollector struct {
	description *prometheus.Desc
	costs       func() []worktime.Cost
}

// Describe sends the description of the metric.
func (w *workCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- w.description }

// Collect sends the learned work time of each address.
func (w *workCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, cost := range w.costs() {
		metrics <- prometheus.MustNewConstMetric(w.description, prometheus.GaugeValue, cost.WorkTime/msPerSecond, cost.Address.String())
	}
}

// logSpeedChange logs that the upstream has become slower or faster.
func (n *sidecarNode) logSpeedChange(now clock.Millis) {
	factor, changed := n.machine.TakeSpeedChange()
	if !changed {
		return
	}
	w := n.machine.Work(now)
	n.logger.Info("upstream-speed-changed", zap.String("upstream", n.upstreamID), zap.Float64("times-as-long", factor),
		zap.Float64("service-ms", w.ServiceTime), zap.Int64("backlog-ms", int64(w.Remaining)))
}

// registerWorkMetrics registers the metrics of the work that the sidecar has learned.
func (n *sidecarNode) registerWorkMetrics() {
	for cause := range sidecar.FailureCount {
		n.counterFunc("orioledyke_flow_sidecar_failures_total", "Requests that failed at the upstream, by cause.", cause.String(),
			func() uint64 { return n.machine.Failures(cause) })
	}
	n.gaugeFunc("orioledyke_flow_sidecar_backlog_seconds",
		"Expected remaining work of the requests in progress and expected, summed over the slots.",
		func() float64 { return n.machine.Work(n.clock.Now()).Remaining.Duration().Seconds() })
	n.gaugeFunc("orioledyke_flow_sidecar_service_seconds", "Expected time of one more request without waiting.",
		func() float64 { return n.machine.Work(n.clock.Now()).ServiceTime / msPerSecond })
	n.telemetry.Registry().MustRegister(&workCollector{
		description: prometheus.NewDesc("orioledyke_flow_sidecar_work_seconds",
			"Learned mean time of a request without waiting, by the address of its route.", []string{"address"}, nil),
		costs: func() []worktime.Cost {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			return n.machine.Costs()
		},
	})
}
