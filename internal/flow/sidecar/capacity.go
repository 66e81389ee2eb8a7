package sidecar

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const (
	// expectTime is how long a new flow counts as work before its first request. It
	// covers several round trips to a client. A client that has given up sends none.
	expectTime clock.Millis = 40
	// goalShare is the part of a latency goal that the wait for a slot and the mean work
	// may take. The rest is for the way to the client and for work that takes longer
	// than usual.
	goalShare = 0.5
	// workWeight is that of a new sample in the mean time of work, as for round trips
	// in RFC 6298.
	workWeight = 0.125
	// defaultWorkShare is the part of a latency goal that work takes until it has been
	// measured.
	defaultWorkShare = 0.25
)

// capacity estimates how much work the upstream can take without missing latency
// goals.
type capacity struct {
	// slots is the number of requests that the upstream works on at a time; 0 means
	// not known.
	slots int
	// work is the mean time of a request that found a free slot, in milliseconds; 0
	// means not known.
	work float64
	// expected counts the new flows whose first request has not arrived, and opened
	// are these flows and some others in order of time.
	expected int
	opened   []expectation
}

type expectation struct {
	flow *flow
	at   clock.Millis
}

// SetSlots sets the number of requests that the upstream works on at a time.
func (s *Sidecar) SetSlots(slots int) { s.capacity.slots = slots }

// admits reports whether the upstream can take a new flow so that its request meets
// the goal. One whose goal has passed is only taken for a slot that would be idle.
func (s *Sidecar) admits(now clock.Millis, m relay.Message) bool {
	c := &s.capacity
	if c.slots == 0 || m.LatencyGoal == 0 {
		return true
	}
	c.expire(now)
	work := s.active + c.expected
	if m.PastGoal {
		return work < c.slots
	}
	return work < c.limit(m.LatencyGoal)
}

// limit returns how many requests may be in progress so that a further one still
// meets its goal. Idle slots are always used.
func (c *capacity) limit(goal clock.Millis) int {
	work := c.work
	if work == 0 {
		work = defaultWorkShare * float64(goal)
	}
	return max(int(float64(c.slots)*goalShare*float64(goal)/work), c.slots)
}

// observe records the time that a request without a wait took.
func (c *capacity) observe(took clock.Millis) {
	sample := max(float64(took), 1)
	if c.work == 0 {
		c.work = sample
		return
	}
	c.work += workWeight * (sample - c.work)
}

// expect counts a new flow as work until its first request arrives.
func (c *capacity) expect(now clock.Millis, f *flow) {
	f.expected = true
	c.expected++
	c.opened = append(c.opened, expectation{flow: f, at: now})
}

// arrived ends the count of a new flow.
func (c *capacity) arrived(f *flow) {
	if f.expected {
		f.expected = false
		c.expected--
	}
}

// expire ends the count of new flows that have sent no request.
func (c *capacity) expire(now clock.Millis) {
	for len(c.opened) > 0 && (!c.opened[0].flow.expected || now-c.opened[0].at > expectTime) {
		c.arrived(c.opened[0].flow)
		c.opened[0] = expectation{}
		c.opened = c.opened[1:]
	}
}

// forget ends the count of all new flows. The next upstream is measured anew.
func (c *capacity) forget() {
	for _, e := range c.opened {
		e.flow.expected = false
	}
	*c = capacity{slots: c.slots}
}
