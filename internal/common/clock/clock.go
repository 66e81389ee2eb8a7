// Package clock provides the only notion of time that decision logic uses.
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

// Clock tells the time.
type Clock struct {
	now func() Millis
}

// System returns a Clock that reads the monotonic clock of the machine.
func System() Clock {
	start := time.Now()
	return Clock{now: func() Millis { return FromDuration(time.Since(start)) }}
}

// New returns a Clock that reads the time from now.
func New(now func() Millis) Clock {
	return Clock{now: now}
}

// Now returns the current time.
func (c Clock) Now() Millis {
	return c.now()
}

// Manual is a clock that moves only when told to. It is not safe for concurrent
// use.
type Manual struct {
	at Millis
}

// Clock returns a Clock that reads m.
func (m *Manual) Clock() Clock {
	return Clock{now: func() Millis { return m.at }}
}

// Now returns the current time.
func (m *Manual) Now() Millis {
	return m.at
}

// Advance moves the time forward by d.
func (m *Manual) Advance(d Millis) {
	m.at += d
}
