package sidecar

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const (
	// firstRequestTimeout is how long a new flow counts as work while its first request
	// is expected. It covers several round trips to a client. A client that has stopped
	// waiting sends no request.
	firstRequestTimeout clock.Millis = 40
	// maxGoalShare is the share of a latency goal that the wait for a slot and the mean
	// work time together may take. The rest is for the path to the client and for
	// requests that take longer than usual.
	maxGoalShare = 0.5
)

// capacity describes how much work the upstream can take.
type capacity struct {
	// slots is the number of requests that the upstream works on concurrently; 0 means
	// unknown.
	slots int
	// expectedRequests counts the new flows whose first request is expected.
	expectedRequests int
	// expectations holds these flows in the order in which they were offered, and some
	// flows whose request has arrived since.
	expectations []expectation
}

// expectation is a new flow whose first request is expected.
type expectation struct {
	flow  *flow
	since clock.Millis
}

// SetSlots sets the number of requests that the upstream works on concurrently. With 0,
// which means unknown, flows are offered no matter how busy the upstream is.
func (s *Sidecar) SetSlots(slots int) {
	s.capacity.slots = slots
	s.work.SetSlots(slots)
}

// hasIdleSlot reports whether the upstream works on fewer requests than it can. It is false
// while the number of slots is unknown.
func (s *Sidecar) hasIdleSlot() bool {
	return s.work.Active()+s.capacity.expectedRequests < s.capacity.slots
}

// hasCapacity reports whether the upstream can take a new flow so that the flow's first
// request meets the latency goal, by the expected work. A flow past its goal is only offered
// for a slot that would otherwise be idle.
func (s *Sidecar) hasCapacity(now clock.Millis, m relay.Message, address netip.AddrPort) bool {
	c := &s.capacity
	if c.slots == 0 || m.LatencyGoal == 0 {
		return true
	}
	s.work.SetGoal(m.LatencyGoal)
	c.expire(now)
	if s.hasIdleSlot() || m.PastGoal {
		return s.hasIdleSlot()
	}
	return s.work.Completion(now, c.expectedRequests, address) <= maxGoalShare*float64(m.LatencyGoal)
}

// expect counts a new flow as work until its first request arrives.
func (c *capacity) expect(now clock.Millis, f *flow) {
	f.awaitingRequest = true
	c.expectedRequests++
	c.expectations = append(c.expectations, expectation{flow: f, since: now})
}

// stopExpecting stops counting a new flow as work, if it still counts.
func (c *capacity) stopExpecting(f *flow) {
	if f.awaitingRequest {
		f.awaitingRequest = false
		c.expectedRequests--
	}
}

// expire stops counting new flows that have sent no request within firstRequestTimeout.
func (c *capacity) expire(now clock.Millis) {
	for len(c.expectations) > 0 && (!c.expectations[0].flow.awaitingRequest || now-c.expectations[0].since > firstRequestTimeout) {
		c.stopExpecting(c.expectations[0].flow)
		c.expectations[0] = expectation{}
		c.expectations = c.expectations[1:]
	}
}

// reset stops counting all new flows.
func (c *capacity) reset() {
	for _, e := range c.expectations {
		e.flow.awaitingRequest = false
	}
	*c = capacity{slots: c.slots}
}
