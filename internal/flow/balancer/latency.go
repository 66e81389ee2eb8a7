package balancer

import "github.com/orioledyke/orioledyke/internal/common/clock"

// latency estimates how long sidecars take to answer, in the way of the
// retransmission timer of TCP (RFC 6298): a mean and a mean deviation, both smoothed.
type latency struct {
	mean, deviation float64
	known           bool
}

// Weights of a new sample and factor of the deviation, from RFC 6298.
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// observe records the time that one answer took.
func (l *latency) observe(d clock.Millis) {
	sample := float64(d)
	if !l.known {
		l.mean, l.deviation, l.known = sample, sample/2, true
		return
	}
	l.deviation += deviationWeight * (max(sample-l.mean, l.mean-sample) - l.deviation)
	l.mean += meanWeight * (sample - l.mean)
}

// timeout returns how long to wait for an answer.
func (l *latency) timeout() clock.Millis {
	return min(max(clock.Millis(l.mean+deviationFactor*l.deviation), minAnswerTimeout), maxAnswerTimeout)
}
