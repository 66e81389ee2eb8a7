package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// reportWork reports the requests of sidecar 0 and a work time of 30 ms for each.
func (h *harness) reportWork(active uint16) {
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: portal, DataCentre: "agassiz", Accepting: true, Slots: 3, Load: relay.Load{Active: active},
		Work: relay.Work{Known: true, ServiceTime: 30},
	}})
}

// Guards against slots that stay idle until the next report or poll although waiting flows
// could use them.
func TestWaitingFlowIsOfferedWhenEstimateShowsRoom(t *testing.T) {
	h := newHarness(t)
	h.reportWork(6)
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.c.Assert(h.balancer.NextDeadline(), qt.Equals, h.now+5)
	h.advance(5)
	h.c.Assert(h.takeForwards(), qt.HasLen, 1)

	h = newHarness(t)
	h.reportWork(100)
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.reportWork(0)
	h.c.Assert(h.takeForwards(), qt.HasLen, 1)
}

// Guards against a refusal of a flow that another balancer may have placed, because a
// transmission went there, and against clients that wait without an answer until they give
// up.
func TestHopelessFlowIsRefusedIfNoOtherBalancerHasIt(t *testing.T) {
	for transmissions, resets := range map[int]int{3: 1, 2: 0} {
		h := newHarness(t)
		for elapsed := clock.Millis(0); elapsed < 1200; elapsed += 20 {
			for i, at := range []clock.Millis{0, 200, 600}[:transmissions] {
				if elapsed == at {
					h.balancer.HandleClient(h.now, packet(openFlags, uint32(i), 0))
				}
			}
			h.reportWork(100)
			h.advance(20)
		}
		h.c.Assert(h.resets, qt.Equals, resets)
		h.c.Assert(h.balancer.Count(balancer.OutcomeOverloaded), qt.Equals, uint64(resets))
		h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	}
}
