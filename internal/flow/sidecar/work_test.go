package sidecar_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
)

// tick advances the time in steps of the real process.
func (h *harness) tick(duration clock.Millis) {
	for range duration / 200 {
		h.now += 200
		h.sidecar.Tick(h.now)
	}
}

// serve lets the upstream answer one request on a new flow after a time.
func (h *harness) serve(port uint16, workTime clock.Millis) {
	h.c.Assert(h.offer(port, false), qt.IsTrue)
	h.openAndRequest(port)
	h.now += workTime
	h.respond(port)
}

// Guards against responses that count as failures, and whose work time is not learned, because
// the packet that ends the flow has overtaken the one with the response.
func TestEndThatOvertakesResponseIsNoFailure(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(2)
	h.status = 200
	for port := uint16(1); port <= 20; port++ {
		h.c.Assert(h.offer(port, false), qt.IsTrue)
		h.openAndRequest(port)
		h.now += 30
		h.sidecar.HandleUpstream(h.now, toClientPort(port, packet(false, final|acks, 601, 102, 0)))
		h.respond(port)
	}
	h.c.Assert(h.sidecar.Failures(sidecar.FailureClosed), qt.Equals, uint64(0))
	h.c.Assert(h.sidecar.Work(h.now).Failed, qt.Equals, 0)
	h.c.Assert(math.Abs(h.sidecar.Work(h.now).ServiceTime-30) < 1, qt.IsTrue)
}

// Guards against a kind of failure that reports do not count, that counts twice, or that
// counts although the client is its cause.
func TestFailuresAreCountedOnceWithCause(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause sidecar.Failure
		// events lets the request on port 1 fail.
		events func(h *harness)
		count  int
	}{
		{name: "status", cause: sidecar.FailureStatus, count: 1, events: func(h *harness) {
			h.status = 503
			h.respond(1)
			h.respond(1)
		}},
		{name: "not executed", cause: sidecar.FailureNotExecuted, count: 1, events: func(h *harness) {
			h.status, h.notExecuted = 200, true
			h.respond(1)
		}},
		{name: "provisional", cause: sidecar.FailureStatus, events: func(h *harness) {
			h.status = 100
			h.respond(1)
			h.status = 200
			h.respond(1)
		}},
		{name: "repeated fault of one client", cause: sidecar.FailureStatus, count: 1, events: func(h *harness) {
			h.status = 404
			h.respond(1)
			h.serve(2, 10)
		}},
		{name: "reset", cause: sidecar.FailureReset, count: 1, events: func(h *harness) {
			h.sidecar.HandleUpstream(h.now, toClientPort(1, packet(false, reset, 501, 102, 0)))
		}},
		{name: "closed", cause: sidecar.FailureClosed, count: 1, events: func(h *harness) {
			h.sidecar.HandleUpstream(h.now, toClientPort(1, packet(false, final|acks, 501, 102, 0)))
			h.tick(200)
		}},
		{name: "lost", cause: sidecar.FailureLost, count: 1, events: func(h *harness) {
			h.sidecar.HandleUpstream(h.now, fromClientPort(1, packet(true, acks|returned, 2, 501, 100)))
		}},
		{name: "silent", cause: sidecar.FailureSilent, count: 1, events: func(h *harness) {
			h.tick(800)
			h.respond(1)
		}},
		{name: "silent for long", cause: sidecar.FailureSilent, count: 1, events: func(h *harness) { h.tick(7000) }},
		{name: "given up by the client", cause: sidecar.FailureSilent, events: func(h *harness) {
			h.forward(balancer, false, fromClientPort(1, packet(true, reset, 102, 501, 0)))
			h.tick(800)
		}},
		{name: "unaccepted", cause: sidecar.FailureUnaccepted, count: 1, events: func(h *harness) {
			h.respond(1)
			h.offer(2, false)
			h.offer(2, false)
			h.tick(600)
		}},
		{name: "rejected", cause: sidecar.FailureRejected, count: 1, events: func(h *harness) {
			h.respond(1)
			h.offer(2, false)
			h.sidecar.HandleUpstream(h.now, fromClientPort(2, packet(true, opens|returned, 1, 0, 0)))
			h.tick(600)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			h.sidecar.Accept()
			h.sidecar.SetSlots(2)
			h.sidecar.Tick(h.now)
			h.c.Assert(h.offer(1, false), qt.IsTrue)
			h.openAndRequest(1)
			test.events(h)
			h.c.Assert(h.sidecar.Failures(test.cause), qt.Equals, uint64(test.count))
			total := 0
			for cause := range sidecar.FailureCount {
				total += int(h.sidecar.Failures(cause))
			}
			h.c.Assert(total, qt.Equals, test.count)
		})
	}
}

// Guards against an upstream that is blamed for a full queue: it returns flows while all of
// its slots are busy.
func TestFullQueueIsNoFailure(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(1)
	h.c.Assert(h.offer(1, false), qt.IsTrue)
	h.openAndRequest(1)
	h.c.Assert(h.offer(2, false), qt.IsTrue)
	h.sidecar.HandleUpstream(h.now, fromClientPort(2, packet(true, opens|returned, 1, 0, 0)))
	h.c.Assert(h.sidecar.Failures(sidecar.FailureRejected), qt.Equals, uint64(0))
}

// Guards against responses that a paused process has not read yet and that count as silence.
func TestPauseIsNoSilence(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(2)
	h.tick(400)
	h.c.Assert(h.offer(1, false), qt.IsTrue)
	h.openAndRequest(1)
	h.now += 3000
	h.sidecar.Tick(h.now)
	h.respond(1)
	h.tick(400)
	h.c.Assert(h.sidecar.Failures(sidecar.FailureSilent), qt.Equals, uint64(0))
}

// Guards against reports that state the work of failed requests as that of served ones, so
// that an upstream that fails at once attracts flows, and against reports without the
// requests in progress and expected.
func TestWorkOfReport(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(2)
	for port := uint16(1); port <= 40; port++ {
		h.serve(port, 40)
	}
	h.status = 500
	for port := uint16(41); port <= 50; port++ {
		h.serve(port, 1)
	}
	// All test clients have one address, so that only the first of these counts as failed.
	h.status = 404
	for port := uint16(61); port <= 70; port++ {
		h.serve(port, 1)
	}
	w := h.sidecar.Work(h.now)
	h.c.Assert(w.Known, qt.IsTrue)
	h.c.Assert(w.ServiceTime > 39 && w.ServiceTime < 41, qt.IsTrue, qt.Commentf("%v", w))
	h.c.Assert([]int{w.Failed, w.Ended}, qt.DeepEquals, []int{11, 60})
	h.c.Assert(w.Remaining, qt.Equals, clock.Millis(0))
	h.c.Assert(h.offer(51, false), qt.IsTrue)
	h.c.Assert(h.offer(52, false), qt.IsTrue)
	h.openAndRequest(52)
	remaining := h.sidecar.Work(h.now).Remaining
	h.c.Assert(remaining >= 78 && remaining <= 82, qt.IsTrue, qt.Commentf("%v", remaining))
	h.c.Assert(h.sidecar.Costs(), qt.HasLen, 1)

	// The next incarnation of the upstream has no work, but is assumed to be as fast.
	h.sidecar.DropFlows()
	w = h.sidecar.Work(h.now)
	h.c.Assert(w.Remaining, qt.Equals, clock.Millis(0))
	h.c.Assert(w.ServiceTime > 39 && w.ServiceTime < 41, qt.IsTrue, qt.Commentf("%v", w))
}

// Guards against a repeated packet of a request that was answered, which counts as a request
// in progress for 5 s and then as a failure.
func TestRepeatedPacketIsNoRequest(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(2)
	h.serve(1, 20)
	h.forward(balancer, false, fromClientPort(1, packet(true, acks, 2, 501, 100)))
	h.c.Assert(h.sidecar.Load().Active, qt.Equals, uint16(0))
	h.forward(balancer, false, fromClientPort(1, packet(true, acks, 102, 601, 100)))
	h.c.Assert(h.sidecar.Load().Active, qt.Equals, uint16(1))
}

// Guards against new flows that are refused by the number of requests in progress although
// these are nearly done, and against flows that are taken although the requests in progress
// are costly ones.
func TestCapacityFollowsExpectedWork(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSlots(1)
	h.tick(400)
	for port := uint16(1); port <= 60; port++ {
		h.serve(port, 20)
		h.now += 100
	}
	for port := uint16(61); port <= 64; port++ {
		h.serve(port, 110)
		h.now += 100
	}
	// The limit is 60 ms for the wait and the own work.
	h.c.Assert(h.offer(70, false), qt.IsTrue)
	h.openAndRequest(70)
	h.now += 10
	h.c.Assert(h.offer(71, false), qt.IsTrue)
	h.openAndRequest(71)
	h.c.Assert(h.offer(72, false), qt.IsFalse)
	h.now += 10
	h.respond(70)
	h.c.Assert(h.offer(73, false), qt.IsTrue)
	h.openAndRequest(73)
	// The request on port 71 is a costly one by now.
	h.now += 40
	h.c.Assert(h.offer(74, false), qt.IsFalse)
	h.c.Assert(h.messages[len(h.messages)-1].Reason, qt.Equals, relay.ReasonBusy)
}
