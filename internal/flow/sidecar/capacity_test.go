package sidecar_test

import (
	"encoding/binary"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const testGoal clock.Millis = 120

// numbered returns a packet of the test client from another port.
func numbered(port uint16, raw []byte) []byte {
	binary.LittleEndian.PutUint16(raw[16:], port)
	return raw
}

// fromUpstream returns a packet of the upstream to another port of the test client.
func fromUpstream(port uint16, raw []byte) []byte {
	binary.LittleEndian.PutUint16(raw[22:], port)
	return raw
}

// offer asks for a new flow and reports whether the upstream got it.
func (h *harness) offer(port uint16, late bool) bool {
	before := h.toUpstream
	h.sidecar.HandleMessage(h.now, balancer, relay.Message{
		Kind: relay.KindForward, Service: portal, LatencyGoal: testGoal, PastGoal: late,
		Packet: numbered(port, packet(true, opens, 1, 0, 0)),
	})
	return h.toUpstream > before
}

// work opens a flow and sends a request on it.
func (h *harness) work(port uint16) {
	h.sidecar.HandleUpstream(h.now, fromUpstream(port, packet(false, opens|acks, 500, 2, 0)))
	h.forward(balancer, false, numbered(port, packet(true, acks, 2, 501, 100)))
}

// respond answers a request.
func (h *harness) respond(port uint16) {
	h.sidecar.HandleUpstream(h.now, fromUpstream(port, packet(false, acks, 501, 102, 100)))
}

// Guards against an upstream that gets so many new flows after an outage that it meets
// no latency goal any more, and against idle slots.
func TestBusyUpstreamRefusesNewFlows(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(3)
	accepted := uint16(0)
	for port := uint16(1); port <= 20; port++ {
		if h.offer(port, false) {
			accepted++
		}
	}
	h.c.Assert(accepted, qt.Equals, uint16(6))
	h.c.Assert(h.answers[len(h.answers)-1].Reason, qt.Equals, relay.ReasonBusy)
	h.c.Assert(h.sidecar.Load().Active, qt.Equals, accepted)
	h.c.Assert(h.offer(21, true), qt.Equals, false)

	// Clients that have given up send no request and take no slot.
	h.now += 41
	h.c.Assert(h.offer(22, true), qt.Equals, true)
}

// Guards against goals that are missed because an upstream has become slower.
func TestMeasuredWorkLimitsNewFlows(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(3)
	for port := uint16(1); port <= 40; port++ {
		h.c.Assert(h.offer(port, false), qt.Equals, true)
		h.work(port)
		h.now += 200
		h.respond(port)
	}
	h.c.Assert(h.sidecar.Load().Active, qt.Equals, uint16(0))
	for port := uint16(101); port <= 103; port++ {
		h.c.Assert(h.offer(port, true), qt.Equals, true)
		h.work(port)
	}
	h.c.Assert(h.offer(104, false), qt.Equals, false)
}

// Guards against new flows that are refused although nothing is known of their goal.
func TestFlowWithoutGoalIsOffered(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(1)
	for port := uint16(1); port <= 20; port++ {
		h.forward(balancer, false, numbered(port, packet(true, opens, 1, 0, 0)))
	}
	h.c.Assert(h.toUpstream, qt.Equals, 20)
}
