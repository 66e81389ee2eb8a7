package balancer_test

import (
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// refuseBusy sends the balancer a refusal because sidecar i is too busy for the flow from
// the given client port.
func (h *harness) refuseBusy(i int, port uint16) {
	h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{
		Kind: relay.KindRefused, Reason: relay.ReasonBusy, Key: keyFrom(port), Load: relay.Load{Active: 6},
	})
}

// Guards against refusing requests while all upstreams are busy for a moment only.
func TestFlowIsOfferedAgainToBusySidecar(t *testing.T) {
	h := newHarness(t)
	h.report(0, true, relay.Load{})
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 1)
	h.c.Assert(h.messages[0].LatencyGoal, qt.Equals, clock.Millis(120))
	h.c.Assert(h.messages[0].PastGoal, qt.IsFalse)
	h.refuseBusy(0, client.Port())
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.c.Assert(h.balancer.NextDeadline(), qt.Equals, h.now+20)
	h.advance(20)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
	h.respond(relay.KindAccepted, sidecars[0])
	h.c.Assert(h.balancer.Count(balancer.OutcomePlaced), qt.Equals, uint64(2))
	h.c.Assert(h.resets, qt.Equals, 0)
}

// Guards against a backlog in which old requests go first, so that every later request
// misses its latency goal too.
func TestNewestWaitingRequestGoesFirst(t *testing.T) {
	h := newHarness(t)
	h.report(0, true, relay.Load{})
	h.balancer.HandleClient(h.now, packetFrom(1, openFlags, 0, 0))
	h.refuseBusy(0, 1)
	for port := uint16(2); port <= 4; port++ {
		h.now++
		h.balancer.HandleClient(h.now, packetFrom(port, openFlags, 0, 0))
	}
	h.takeForwards()
	h.messages = nil
	h.report(0, true, relay.Load{})
	h.advance(20)
	var ports []uint16
	for _, m := range h.messages {
		// The client port is at offset 16 of a packet.
		ports = append(ports, binary.LittleEndian.Uint16(m.Packet[16:]))
	}
	h.c.Assert(ports, qt.DeepEquals, []uint16{4, 3, 2, 1})
}

// Guards against spending slots on requests past their latency goal, and on requests
// whose client has stopped waiting.
func TestRequestPastGoalIsMarkedAndDropped(t *testing.T) {
	h := newHarness(t)
	h.report(0, true, relay.Load{})
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.refuseBusy(0, client.Port())
	for elapsed := 0; elapsed < 1200; elapsed += 20 {
		h.messages = nil
		h.report(0, true, relay.Load{})
		h.advance(20)
		h.c.Assert(h.messages, qt.HasLen, 1)
		h.c.Assert(h.messages[0].PastGoal, qt.Equals, elapsed+20 > 120)
		h.refuseBusy(0, client.Port())
	}
	h.messages = nil
	h.advance(20)
	h.c.Assert(h.messages, qt.HasLen, 0)
	h.c.Assert(h.balancer.Flows(), qt.Equals, 0)
}

// Guards against treating a retransmission as a request that the client has just made.
func TestRetransmissionIsAsOldAsItsRequest(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 1, 0))
	h.c.Assert(h.messages[0].PastGoal, qt.IsTrue)
}

// Guards against placing new flows repeatedly on a sidecar that has ended, until enough
// of its reports are missing.
func TestUnresponsiveSidecarIsSelectedLast(t *testing.T) {
	h := newHarness(t)
	report := func(i int, activeRequests uint16) {
		h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{
			Service: portal, DataCentre: "agassiz", Accepting: true, Slots: 3, Interval: 2000, Load: relay.Load{Active: activeRequests},
		}})
	}
	report(0, 0)
	report(1, 2)
	h.balancer.HandleClient(h.now, packetFrom(1, openFlags, 0, 0))
	h.advance(30)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String(), sidecars[1].String()})
	h.now += 1500
	report(1, 2)
	h.balancer.HandleClient(h.now, packetFrom(2, openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
	report(0, 0)
	h.balancer.HandleClient(h.now, packetFrom(3, openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
}
