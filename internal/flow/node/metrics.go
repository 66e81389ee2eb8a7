package node

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// responseBuckets are the upper bounds of the histogram of response times in seconds.
// They surround the latency goals of 120 to 800 ms.
var responseBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5}

// counterFunc registers a counter of one outcome that is read when metrics are collected,
// so that it adds no work for each packet.
func (b *base) counterFunc(name, help, outcome string, read func() uint64) {
	b.labelledCounterFunc(name, help, prometheus.Labels{"outcome": outcome}, read)
}

func (b *base) labelledCounterFunc(name, help string, labels prometheus.Labels, read func() uint64) {
	b.telemetry.Registry().MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: name, Help: help, ConstLabels: labels,
	}, func() float64 {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return float64(read())
	}))
}

func (b *base) gaugeFunc(name, help string, read func() float64) {
	b.telemetry.Registry().MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help},
		func() float64 {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return read()
		}))
}

func (b *base) registerStoreMetrics() {
	b.gaugeFunc("orioledyke_flow_store_epoch", "Newest epoch that the store has stated; 0 if it has not.",
		func() float64 { return float64(b.storeEpoch) })
	b.telemetry.Registry().MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "orioledyke_flow_store_restores_total", Help: "Restores of the store from an older copy that were noticed.",
	}, func() float64 {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return float64(b.storeRestores)
	}))
}

func (n *balancerNode) registerMetrics() {
	for o := range balancer.OutcomeCount {
		n.counterFunc("orioledyke_flow_balancer_decisions_total", "Decisions about packets and flows.", o.String(),
			func() uint64 { return n.machine.Count(o) })
	}
	n.gaugeFunc("orioledyke_flow_balancer_flows", "Flows whose owner is remembered.",
		func() float64 { return float64(n.machine.Flows()) })
	n.gaugeFunc("orioledyke_flow_balancer_configuration_version", "Version of the configuration in effect.",
		func() float64 { return float64(n.machine.Table().Version()) })
	n.gaugeFunc("orioledyke_flow_balancer_configuration_behind_seconds",
		"Time for which a newer version than the one in effect has been known from peers; 0 if none is.",
		func() float64 {
			if _, since, behind := n.versions.Behind(n.clock.Now()); behind {
				return since.Duration().Seconds()
			}
			return 0
		})
	n.gaugeFunc("orioledyke_flow_balancer_usable_sidecars", "Sidecars that may get new flows.",
		func() float64 { return float64(n.machine.UsableSidecars(n.clock.Now())) })
	n.registerOutlierMetrics()
}

// observe logs a decision about a flow, except for acceptances and invalid packets.
func (n *balancerNode) observe(e balancer.Event) {
	switch e.Outcome {
	case balancer.OutcomeAccepted, balancer.OutcomeInvalid:
		return
	}
	fields := append(n.fieldBuffer[:0], zap.Stringer("flow", e.Key))
	fields = appendAddress(fields, "sidecar", e.Sidecar)
	if e.Reason != 0 {
		fields = append(fields, zap.Stringer("reason", e.Reason))
	}
	if e.Version != 0 {
		fields = append(fields, zap.Uint64("version", e.Version))
	}
	if e.StateAge != 0 {
		fields = append(fields, zap.Int64("age-ms", int64(e.StateAge)))
	}
	if e.Attempt != 0 {
		fields = append(fields, zap.Int("attempt", e.Attempt))
	}
	n.fieldBuffer = fields
	n.logger.Info("flow-"+e.Outcome.String(), fields...)
}

// appendAddress appends an address field if the address is valid.
func appendAddress(fields []zap.Field, key string, address netip.AddrPort) []zap.Field {
	if !address.IsValid() {
		return fields
	}
	return append(fields, zap.Stringer(key, address))
}

func (n *sidecarNode) registerMetrics() {
	for o := range sidecar.OutcomeCount {
		n.counterFunc("orioledyke_flow_sidecar_packets_total", "Decisions about packets.", o.String(),
			func() uint64 { return n.machine.Count(o) })
	}
	for reason := range relay.ReasonCount {
		if reason.String() != "" {
			n.labelledCounterFunc("orioledyke_flow_sidecar_refusals_total", "Refused new flows.",
				prometheus.Labels{"reason": reason.String()}, func() uint64 { return n.machine.Refusals(reason) })
		}
	}
	n.responseTimes = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "orioledyke_flow_sidecar_response_seconds", Help: "Time from a request to the start of its response.",
		Buckets: responseBuckets,
	})
	n.telemetry.Registry().MustRegister(n.responseTimes)
	n.gaugeFunc("orioledyke_flow_sidecar_flows", "Open flows of the upstream.",
		func() float64 { return float64(n.machine.Load().Flows) })
	n.gaugeFunc("orioledyke_flow_sidecar_warmup_rate",
		"Rate in flows a second to which the cold upstream is limited; 0 if it is not.",
		func() float64 { return n.machine.WarmupRate(n.clock.Now()) })
	n.gaugeFunc("orioledyke_flow_sidecar_requests", "Requests in progress.",
		func() float64 { return float64(n.machine.Load().Active) })
	n.registerWorkMetrics()
}

// observe logs a decision about a flow or request, except for offers and invalid
// packets. It also records the response time of each success.
func (n *sidecarNode) observe(e sidecar.Event) {
	switch e.Outcome {
	case sidecar.OutcomeOffered, sidecar.OutcomeInvalid:
		return
	case sidecar.OutcomeAnswered:
		n.responseTimes.Observe(e.ResponseTime.Duration().Seconds())
	}
	fields := append(n.fieldBuffer[:0], zap.Stringer("flow", e.Key))
	fields = appendAddress(fields, "balancer", e.Balancer)
	fields = appendAddress(fields, "sibling", e.Sibling)
	if e.Reason != 0 {
		fields = append(fields, zap.Stringer("reason", e.Reason))
	}
	prefix := "flow-"
	if e.Request != "" {
		prefix = "request-"
		fields = append(fields, zap.String("request", e.Request), zap.Int("active", e.Active))
		if e.ResponseTime != 0 {
			fields = append(fields, zap.Int64("took-ms", int64(e.ResponseTime)))
		}
		if e.Status != 0 {
			fields = append(fields, zap.Int("status", e.Status))
		}
	} else {
		fields = append(fields, zap.Uint16("active", e.Load.Active), zap.Uint16("flows", e.Load.Flows))
	}
	n.fieldBuffer = fields
	n.logger.Info(prefix+e.Outcome.String(), fields...)
}
