package node

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const metricsPrefix = "orioledyke_sidecar_"

// registerMetrics registers the counters of the tunnel and the number of flows. They
// are read when metrics are collected.
func (n *node) registerMetrics() {
	counters := n.conn.Counters()
	for outcome, value := range map[string]*atomic.Uint64{
		"delivered":   &counters.Delivered,
		"relayed":     &counters.Relayed,
		"invalid":     &counters.Invalid,
		"misdirected": &counters.Misdirected,
		"overflowed":  &counters.Overflowed,
		"unroutable":  &counters.Unroutable,
	} {
		n.Registry().MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: metricsPrefix + "tunnel_datagrams_total", Help: "Datagrams at the tunnel by outcome.",
			ConstLabels: prometheus.Labels{"outcome": outcome},
		}, func() float64 { return float64(value.Load()) }))
	}
	n.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricsPrefix + "flows", Help: "Open flows.",
	}, func() float64 { return float64(n.flows()) }))
}
