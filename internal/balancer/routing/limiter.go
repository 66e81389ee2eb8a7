package routing

import "github.com/orioledyke/orioledyke/internal/common/clock"

const (
	// refillTime is how long a service may take to fill all its flows anew, as
	// after the loss of a data centre.
	refillTime = 10 * clock.Second
	// firstPackets is the number of packets that a new flow sends before it has
	// a connection ID of its owner: two of the client hello and a repetition.
	firstPackets = 3
)

// Limiter bounds the first packets that one balancer forwards to a service, so
// that a flood of them does not take the time of the sidecars. It is for one
// goroutine. The zero value is ready for use and starts full.
type Limiter struct {
	tokens  float64
	updated clock.Millis
	started bool
}

// Allow reports whether a first packet may pass. The limit follows from the
// flows that the contract allows each of the members; 0 flows means no limit.
func (l *Limiter) Allow(flows, members int, now clock.Millis) bool {
	if flows <= 0 {
		return true
	}
	second := float64(flows*max(members, 1)*firstPackets) * float64(clock.Second) / float64(refillTime)
	// At least one new flow can always start.
	burst := max(second, firstPackets)
	if !l.started {
		l.tokens, l.started = burst, true
	} else {
		l.tokens = min(burst, l.tokens+second*float64(now-l.updated)/float64(clock.Second))
	}
	l.updated = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
