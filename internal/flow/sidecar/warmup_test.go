package sidecar_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// Guards against a cold upstream that gets more new flows than its rate, against a limit
// that outlasts the warm-up, and against a retransmitted request that needs a token.
func TestColdUpstreamIsLimited(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.c.Assert(h.offer(1, false), qt.IsTrue)
	h.sidecar.SetWarmup(10, 5*clock.Second)
	h.c.Assert(h.sidecar.WarmupRate(h.now), qt.Equals, 10.)
	h.c.Assert(h.offer(2, false), qt.IsTrue)
	h.c.Assert(h.offer(3, false), qt.IsFalse)
	h.c.Assert(h.messages[len(h.messages)-1].Reason, qt.Equals, relay.ReasonWarmingUp)
	h.c.Assert(h.sidecar.Refusals(relay.ReasonWarmingUp), qt.Equals, uint64(1))
	h.c.Assert(h.offer(2, false), qt.IsTrue)
	h.now += 112
	h.c.Assert(h.offer(3, false), qt.IsTrue)
	h.c.Assert(h.offer(4, false), qt.IsFalse)
	h.now += 5 * clock.Second
	h.openAndRequest(3)
	h.c.Assert(h.offer(4, false), qt.IsTrue)
	h.c.Assert(h.offer(5, false), qt.IsTrue)
	h.c.Assert(h.sidecar.WarmupRate(h.now), qt.Equals, 0.)
}
