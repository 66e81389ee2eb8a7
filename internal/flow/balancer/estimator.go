package balancer

import "github.com/orioledyke/orioledyke/internal/common/clock"

// responseEstimator estimates how long sidecars take to respond. Like the
// retransmission timer of TCP (RFC 6298), it keeps a smoothed mean and a smoothed mean
// deviation, in milliseconds.
type responseEstimator struct {
	mean, deviation float64
	hasSample       bool
}

// Weights of a new sample, and the factor of the deviation in the timeout, from RFC 6298.
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// observe records the time that one response took.
func (e *responseEstimator) observe(d clock.Millis) {
	sample := float64(d)
	if !e.hasSample {
		e.mean, e.deviation, e.hasSample = sample, sample/2, true
		return
	}
	e.deviation += deviationWeight * (max(sample-e.mean, e.mean-sample) - e.deviation)
	e.mean += meanWeight * (sample - e.mean)
}

// timeout returns how long to wait for a response before the next attempt.
func (e *responseEstimator) timeout() clock.Millis {
	return min(max(clock.Millis(e.mean+deviationFactor*e.deviation), minResponseTimeout), maxResponseTimeout)
}
