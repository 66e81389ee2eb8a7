package sidecar

import (
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
	// workTimeWeight is the weight of a new sample in the moving average of the work
	// time. RFC 6298 uses the same weight for round-trip times.
	workTimeWeight = 0.125
	// defaultWorkTimeShare is the share of a latency goal that is assumed as the work
	// time until one has been measured.
	defaultWorkTimeShare = 0.25
)

// capacity estimates how much work the upstream can take without missing latency
// goals.
type capacity struct {
	// slots is the number of requests that the upstream works on concurrently; 0 means
	// unknown.
	slots int
	// workTime is the average time in milliseconds of a request that found a free slot;
	// 0 means unknown.
	workTime float64
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
func (s *Sidecar) SetSlots(slots int) { s.capacity.slots = slots }

// hasCapacity reports whether the upstream can take a new flow so that the flow's first
// request meets the latency goal. A flow past its goal is only offered for a slot that
// would otherwise be idle.
func (s *Sidecar) hasCapacity(now clock.Millis, m relay.Message) bool {
	c := &s.capacity
	if c.slots == 0 || m.LatencyGoal == 0 {
		return true
	}
	c.expire(now)
	work := s.activeRequests + c.expectedRequests
	if m.PastGoal {
		return work < c.slots
	}
	return work < c.maxRequests(m.LatencyGoal)
}

// maxRequests returns the number of requests in progress below which a further one
// still meets its latency goal. It is at least the number of slots, so that idle slots
// are always used.
func (c *capacity) maxRequests(latencyGoal clock.Millis) int {
	workTime := c.workTime
	if workTime == 0 {
		workTime = defaultWorkTimeShare * float64(latencyGoal)
	}
	return max(int(float64(c.slots)*maxGoalShare*float64(latencyGoal)/workTime), c.slots)
}

// observe records the duration of a request that did not wait for a slot.
func (c *capacity) observe(duration clock.Millis) {
	sample := max(float64(duration), 1)
	if c.workTime == 0 {
		c.workTime = sample
		return
	}
	c.workTime += workTimeWeight * (sample - c.workTime)
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

// reset stops counting all new flows and drops the measured work time. The next
// incarnation of the upstream is measured from the start.
func (c *capacity) reset() {
	for _, e := range c.expectations {
		e.flow.awaitingRequest = false
	}
	*c = capacity{slots: c.slots}
}
