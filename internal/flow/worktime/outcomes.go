package worktime

import "github.com/orioledyke/orioledyke/internal/common/clock"

const (
	// outcomeInterval is the time that one element of Outcomes covers, and outcomeCount is
	// the number of elements. Together they cover the 2 s that reports state.
	outcomeInterval clock.Millis = 250
	outcomeCount                 = 8
)

// Outcomes counts the requests of the last 2 s, rounded down to outcomeInterval. The zero
// value has counted none.
type Outcomes struct {
	counts [outcomeCount]outcomeCounts
	// current is the number of the interval that was last counted in, from the origin of the
	// clock.
	current int64
}

// outcomeCounts counts the requests of one interval.
type outcomeCounts struct{ failed, ended int }

// Add counts a request that has ended, or failed without an end.
func (o *Outcomes) Add(now clock.Millis, failed bool) {
	o.advance(now)
	c := &o.counts[o.current%outcomeCount]
	c.ended++
	if failed {
		c.failed++
	}
}

// Total returns the number of failed requests and that of all requests.
func (o *Outcomes) Total(now clock.Millis) (failed, ended int) {
	o.advance(now)
	for _, c := range o.counts {
		failed += c.failed
		ended += c.ended
	}
	return failed, ended
}

// advance clears the intervals that have begun since the last call.
func (o *Outcomes) advance(now clock.Millis) {
	current := int64(now / outcomeInterval)
	for i := max(o.current+1, current-outcomeCount+1); i <= current; i++ {
		o.counts[i%outcomeCount] = outcomeCounts{}
	}
	o.current = max(o.current, current)
}
