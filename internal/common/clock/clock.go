// Package clock provides the time to decision logic, which uses no other source of
// time. Tests can therefore control the time.
package clock

import "time"

// Millis is a point in time or a duration in milliseconds. Points in time count
// from an arbitrary origin and never go backwards within one process.
type Millis int64

// Second and Minute are durations in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration returns m as a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration returns d in milliseconds, rounded towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a source of the current time. The zero value is not usable.
type Clock struct {
	now func() Millis
}

// System returns a Clock that reads the monotonic clock of the machine. Its origin is the
// time of the call.
func System() Clock {
	start := time.Now()
	return Clock{now: func() Millis { return FromDuration(time.Since(start)) }}
}

// New returns a Clock that calls now for the time.
func New(now func() Millis) Clock {
	return Clock{now: now}
}

// Now returns the current time since the clock's origin.
func (c Clock) Now() Millis {
	return c.now()
}

// Manual is a clock for tests that only Advance moves. It starts at 0 and is not safe
// for concurrent use.
type Manual struct {
	now Millis
}

// Clock returns a Clock that shows the time of m.
func (m *Manual) Clock() Clock {
	return Clock{now: func() Millis { return m.now }}
}

// Now returns the time to which m has been advanced.
func (m *Manual) Now() Millis {
	return m.now
}

// Advance moves the time forward by d.
func (m *Manual) Advance(d Millis) {
	m.now += d
}
