package balancer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Guards against a timeout that is too short on slow links, which duplicates requests,
// and against one that is so long that a request for an unavailable sidecar waits until
// its client retransmits.
func TestResponseTimeout(t *testing.T) {
	c := qt.New(t)
	var e responseEstimator
	c.Assert(e.timeout(), qt.Equals, minResponseTimeout)
	for range 100 {
		e.observe(2)
	}
	c.Assert(e.timeout(), qt.Equals, minResponseTimeout)
	for range 100 {
		e.observe(60)
	}
	c.Assert(e.timeout() >= 60, qt.IsTrue)
	for i := range 100 {
		e.observe(clock.Millis(100 * (i % 10)))
	}
	c.Assert(e.timeout(), qt.Equals, maxResponseTimeout)
}
