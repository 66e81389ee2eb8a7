package sidecar_test

import (
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const testLatencyGoal clock.Millis = 120

// fromClientPort changes the source port of a packet of the test client.
func fromClientPort(port uint16, raw []byte) []byte {
	binary.LittleEndian.PutUint16(raw[16:], port)
	return raw
}

// toClientPort changes the destination port of a packet to the test client.
func toClientPort(port uint16, raw []byte) []byte {
	binary.LittleEndian.PutUint16(raw[22:], port)
	return raw
}

// offer sends the request for a new flow and reports whether the upstream got it.
func (h *harness) offer(port uint16, pastGoal bool) bool {
	before := h.toUpstream
	h.sidecar.HandleMessage(h.now, balancer, relay.Message{
		Kind: relay.KindForward, Service: portal, LatencyGoal: testLatencyGoal, PastGoal: pastGoal,
		Packet: fromClientPort(port, packet(true, opens, 1, 0, 0)),
	})
	return h.toUpstream > before
}

// openAndRequest lets the upstream accept a flow and sends a request on it.
func (h *harness) openAndRequest(port uint16) {
	h.sidecar.HandleUpstream(h.now, toClientPort(port, packet(false, opens|acks, 500, 2, 0)))
	h.forward(balancer, false, fromClientPort(port, packet(true, acks, 2, 501, 100)))
}

// respond lets the upstream respond to a request.
func (h *harness) respond(port uint16) {
	h.sidecar.HandleUpstream(h.now, toClientPort(port, packet(false, acks, 501, 102, 100)))
}

// Guards against an upstream that gets so many new flows after an outage that it misses
// the latency goal of all of them, and against slots that stay idle meanwhile.
func TestBusyUpstreamRefusesNewFlows(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(3)
	offered := uint16(0)
	for port := uint16(1); port <= 20; port++ {
		if h.offer(port, false) {
			offered++
		}
	}
	h.c.Assert(offered, qt.Equals, uint16(6))
	h.c.Assert(h.messages[len(h.messages)-1].Reason, qt.Equals, relay.ReasonBusy)
	h.c.Assert(h.sidecar.Load().Active, qt.Equals, offered)
	h.c.Assert(h.offer(21, true), qt.Equals, false)

	// Clients that have stopped waiting send no request and take no slot.
	h.now += 41
	h.c.Assert(h.offer(22, true), qt.Equals, true)
}

// Guards against a limit of new flows that still follows from the default work time after
// an upstream has become slower, so that flows miss their latency goal.
func TestMeasuredWorkLimitsNewFlows(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(3)
	for port := uint16(1); port <= 40; port++ {
		h.c.Assert(h.offer(port, false), qt.Equals, true)
		h.openAndRequest(port)
		h.now += 200
		h.respond(port)
	}
	h.c.Assert(h.sidecar.Load().Active, qt.Equals, uint16(0))
	for port := uint16(101); port <= 103; port++ {
		h.c.Assert(h.offer(port, true), qt.Equals, true)
		h.openAndRequest(port)
	}
	h.c.Assert(h.offer(104, false), qt.Equals, false)
}

// Guards against the refusal of new flows whose latency goal is unknown.
func TestFlowWithoutGoalIsOffered(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(1)
	for port := uint16(1); port <= 20; port++ {
		h.forward(balancer, false, fromClientPort(port, packet(true, opens, 1, 0, 0)))
	}
	h.c.Assert(h.toUpstream, qt.Equals, 20)
}
