package balancer

import (
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/warmup"
)

const (
	// balancerCountAge is how long the number of live balancers is used before it is
	// determined again.
	balancerCountAge clock.Millis = 200
	// rateLearnTime is the time after which a sidecar that reports a cold upstream has been
	// told its limit. Until then only the balancers keep to it together.
	rateLearnTime clock.Millis = 500
	// firstFlowSpread is the time in which the balancers that have not sent a flow by then
	// begin. The sidecar refuses what exceeds its limit.
	firstFlowSpread = clock.Second
	// refusedColdTime is how long an upstream counts as cold after its sidecar has refused a
	// flow as warming up, even if the last report says that it is not cold.
	refusedColdTime = clock.Second
	// defaultWarmupBackoff is the time without new flows to a sidecar that refused one as
	// warming up, if the configuration in effect here has no rate.
	defaultWarmupBackoff clock.Millis = 100
	// firstBackoffShare is the share of the mean time between two flows of a balancer that it
	// waits after a first refusal, and maxBackoffDoublings is how often it doubles the time.
	firstBackoffShare   = 0.125
	maxBackoffDoublings = 3
	// phaseSteps is the number of steps of a random time.
	phaseSteps = 1000
)

// pace limits the new flows from this balancer to one cold sidecar.
type pace struct {
	limiter warmup.Limiter
	// The upstream is cold from coldSince to coldUntil.
	coldSince, coldUntil clock.Millis
	// startAt is the time of the first flow. It is chosen when a rate is known, which sets
	// started.
	startAt clock.Millis
	started bool
	// refusedUntil is the time until which no flow is sent after a refusal. refusals counts
	// the refusals since the last flow that was not refused.
	refusedUntil clock.Millis
	refusals     int
	// unused is set if the token of a refused flow is left for the next one.
	unused bool
}

// report applies the time for which a report says that the upstream stays cold. A new
// incarnation of the sidecar does not know the limit yet.
func (p *pace) report(now, left clock.Millis, newIncarnation bool) {
	if left > 0 && (newIncarnation || now >= p.coldUntil) {
		p.coldSince, p.started = now, false
	}
	p.coldUntil = now + left
}

// warmupRate returns the limit of a sidecar's upstream in flows a second; 0 means that the
// upstream is not cold or has no limit.
func (b *Balancer) warmupRate(now clock.Millis, sc *sidecar) float64 {
	if now >= sc.pace.coldUntil {
		return 0
	}
	return b.table.WarmupRate(sc.report.Service)
}

// paced reports whether a sidecar must not get a new flow now because its upstream is cold.
// Each balancer keeps to its share of the upstream's rate. The first report reaches all
// balancers at the same time, so their first flows are spread over the time in which the
// upstream may get as many, or over a shorter one after rateLearnTime.
func (b *Balancer) paced(now clock.Millis, sc *sidecar) bool {
	p := &sc.pace
	if now < p.refusedUntil {
		return true
	}
	perSecond := b.warmupRate(now, sc)
	if perSecond == 0 {
		return false
	}
	balancers := b.balancerCount(now)
	if !p.started {
		phase := float64(b.config.Random(phaseSteps)) / phaseSteps
		share := phase * float64(clock.Second) * float64(balancers) / perSecond
		p.startAt = p.coldSince + min(clock.Millis(share), rateLearnTime+clock.Millis(phase*float64(firstFlowSpread)))
		p.started = true
	}
	p.limiter.SetRate(now, perSecond/float64(balancers))
	return now < p.startAt || !(p.unused || p.limiter.Ready(now))
}

// recordPaced counts a new flow that is sent to a sidecar against the balancer's share.
func (b *Balancer) recordPaced(now clock.Millis, sc *sidecar) {
	if b.warmupRate(now, sc) == 0 {
		return
	}
	if sc.pace.unused {
		sc.pace.unused = false
		return
	}
	sc.pace.limiter.Allow(now)
}

// markWarmingUp sends no flow to a sidecar that refused one as warming up until it likely
// has another token. The time without flows begins with a fraction of the mean time between
// two flows of this balancer, because not all balancers have a flow to send, and doubles
// with each refusal up to that mean time. It is random, so that balancers whose tokens come
// at the same time do not meet again.
func (b *Balancer) markWarmingUp(now clock.Millis, sc *sidecar) {
	p := &sc.pace
	p.coldUntil = max(p.coldUntil, now+refusedColdTime)
	p.unused = true
	backoff := float64(defaultWarmupBackoff)
	if perSecond := b.table.WarmupRate(sc.report.Service); perSecond > 0 {
		between := float64(clock.Second) / perSecond
		share := math.Ldexp(firstBackoffShare, min(p.refusals, maxBackoffDoublings))
		backoff = max(between*float64(b.balancerCount(now))*share, between)
	}
	p.refusals++
	p.refusedUntil = now + max(clock.Millis(backoff*(0.5+float64(b.config.Random(phaseSteps))/phaseSteps)), 1)
}

// allowRetry reports whether the sidecar that refused a flow for a reason may get the same
// flow again later. If so, it records when.
func (b *Balancer) allowRetry(now clock.Millis, sc *sidecar, p *pendingFlow, reason relay.Reason) bool {
	switch reason {
	case relay.ReasonBusy:
		sc.markBusy(now, p.pastGoal(now))
		return true
	case relay.ReasonWarmingUp:
		b.markWarmingUp(now, sc)
		return true
	default:
		return false
	}
}

// balancerCount returns the number of live balancers, including this one.
func (b *Balancer) balancerCount(now clock.Millis) int {
	if b.balancers == 0 || now-b.balancersCountedAt >= balancerCountAge {
		b.balancers, b.balancersCountedAt = max(b.config.Balancers(), 1), now
	}
	return b.balancers
}
