package routing

import "github.com/orioledyke/orioledyke/internal/common/clock"

const (
	// refillPeriod is the time within which a service may re-establish all its
	// flows, for example after the loss of a data centre.
	refillPeriod = 10 * clock.Second
	// packetsPerNewFlow is the number of packets that a new flow sends before it has
	// a connection ID issued by its owner: two for the client hello and one
	// retransmission.
	packetsPerNewFlow = 3
)

// Limiter is a token bucket for the first packets of new flows that one balancer
// forwards to a service. The limit keeps a flood of these packets from overloading the
// sidecars. A Limiter is not safe for concurrent use. The zero value is a full bucket.
type Limiter struct {
	tokens      float64
	lastRefill  clock.Millis
	initialized bool
}

// Allow reports whether a first packet may pass, and takes a token if so. flows is the
// number of flows that the contract allows each member, and determines the rate. There
// is no limit if flows is 0.
func (l *Limiter) Allow(flows, members int, now clock.Millis) bool {
	if flows <= 0 {
		return true
	}
	perSecond := float64(flows*max(members, 1)*packetsPerNewFlow) * float64(clock.Second) / float64(refillPeriod)
	// A full bucket always has room for the packets of at least one new flow.
	burst := max(perSecond, packetsPerNewFlow)
	if !l.initialized {
		l.tokens, l.initialized = burst, true
	} else {
		l.tokens = min(burst, l.tokens+perSecond*float64(now-l.lastRefill)/float64(clock.Second))
	}
	l.lastRefill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
