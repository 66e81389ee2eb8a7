package node

import (
	"github.com/orioledyke/orioledyke/internal/flow/outlier"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// registerOutlierMetrics registers the metrics of upstreams that are ejected because they
// fail, unless the settings switch ejections off.
func (n *balancerNode) registerOutlierMetrics() {
	if n.outliers == nil {
		return
	}
	n.gaugeFunc("orioledyke_flow_balancer_ejected_upstreams", "Upstreams that get only trial flows because they fail.",
		func() float64 { return float64(n.outliers.Ejected()) })
	n.telemetry.Registry().MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "orioledyke_flow_balancer_ejections_total", Help: "Ejections of upstreams that fail.",
	}, func() float64 {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		return float64(n.outliers.Ejections())
	}))
}

// logOutlier logs the ejection or the return of an upstream with its cause.
func (n *balancerNode) logOutlier(change outlier.Change) {
	fields := []zap.Field{
		zap.Stringer("sidecar", change.Sidecar), zap.String("cause", string(change.Cause)),
		zap.Int("failed", change.Failed), zap.Int("ended", change.Ended), zap.Float64("siblings-share", change.Baseline),
	}
	if !change.Ejected {
		n.logger.Info("upstream-returned", fields...)
		return
	}
	n.logger.Warn("upstream-ejected", append(fields, zap.Int64("hold-ms", int64(change.Hold)))...)
}
