package node

import (
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/prometheus/client_golang/prometheus"
)

const metricsPrefix = "orioledyke_balancer_"

// registerMetrics registers the metrics of the data path. The forwarder's counters are
// read when metrics are collected, which adds no cost per datagram.
func (n *node) registerMetrics() {
	counter := func(name, help string, labels prometheus.Labels, read func() uint64) {
		n.Registry().MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: metricsPrefix + name, Help: help, ConstLabels: labels,
		}, func() float64 { return float64(read()) }))
	}
	f := n.forwarder
	counter("client_datagrams_total", "Datagrams received from clients.", nil, f.Inbound)
	counter("reply_datagrams_total", "Datagrams sent to clients.", nil, f.Outbound)
	counter("invalid_tunnel_datagrams_total", "Tunnel datagrams that were not authentic.", nil, f.InvalidDatagrams)
	counter("links_replaced_total", "Silent paths to sidecars that were moved to another socket.", nil, f.LinkSocketsReplaced)
	for i := range routing.ReasonCount {
		reason := routing.Reason(i)
		counter("decisions_total", "Routing decisions by reason.", prometheus.Labels{"reason": reason.String()},
			func() uint64 { return f.Decisions(reason) })
	}
	n.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: metricsPrefix + "members", Help: "Sidecars in the routing table.",
	}, func() float64 { return float64(f.Table().Len()) }))
}
