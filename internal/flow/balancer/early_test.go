package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// Guards against a request that is lost because it arrives before the configuration, so
// that its client waits until it retransmits it, and against one that is placed twice
// because of a retransmission, after its client has stopped waiting, or as if it were new.
func TestRequestBeforeConfiguration(t *testing.T) {
	h := newHarnessWithoutTable(t, 0)
	h.reportAll()
	h.balancer.HandleClient(h.now, packetFrom(1, openFlags, 0, 0))
	h.now += 500
	h.balancer.HandleClient(h.now, packetFrom(2, openFlags, 1, 0))
	h.now += 400
	h.balancer.HandleClient(h.now, packetFrom(2, openFlags, 2, 0))
	h.now += 301
	h.balancer.HandleClient(h.now, packetFrom(3, openFlags, 0, 0))
	h.now += 200
	h.c.Assert(h.messages, qt.HasLen, 0)
	h.reportAll()
	h.setTable(false)
	h.c.Assert(h.messages, qt.HasLen, 2)
	for _, m := range h.messages {
		h.c.Assert(m.PastGoal, qt.IsTrue)
	}
	h.c.Assert(h.balancer.Count(balancer.OutcomeExpired), qt.Equals, uint64(1))
	h.c.Assert(h.balancer.Count(balancer.OutcomeNoRoute), qt.Equals, uint64(0))
	h.c.Assert(h.resets, qt.Equals, 0)
}

// Guards against requests before the configuration that take up memory without limit.
func TestRequestsBeforeConfigurationAreLimited(t *testing.T) {
	h := newHarnessWithoutTable(t, 0)
	for port := range uint16(2500) {
		h.balancer.HandleClient(h.now, packetFrom(port+1, openFlags, 0, 0))
	}
	h.c.Assert(h.balancer.Count(balancer.OutcomeNoRoute), qt.Equals, uint64(500))
	h.reportAll()
	h.setTable(false)
	h.c.Assert(len(h.messages) > 0, qt.IsTrue)
	h.c.Assert(h.balancer.Flows(), qt.Equals, 2000)
}

// reportWithoutHeartbeat lets a sidecar report that has started and not heard its upstream.
func (h *harness) reportWithoutHeartbeat() {
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Incarnation: 1, Service: portal, DataCentre: "agassiz",
	}})
}

// Guards against a new flow that is refused although the only sidecar of its service has
// just started and expects the first heartbeat of its upstream, and against one that waits
// for an upstream that does not come.
func TestWaitsForFirstHeartbeat(t *testing.T) {
	h := newHarness(t)
	h.reportWithoutHeartbeat()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	for range 6 {
		h.now += 170
		h.reportWithoutHeartbeat()
		h.balancer.Tick(h.now)
	}
	h.c.Assert(h.resets, qt.Equals, 0)
	h.report(0, true, relay.Load{})
	h.c.Assert(h.messages, qt.HasLen, 1)

	h = newHarness(t)
	h.reportWithoutHeartbeat()
	h.now += 3 * clock.Second
	h.reportWithoutHeartbeat()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.now += 300
	h.balancer.Tick(h.now)
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against the refusal of new flows while all processes start and the sidecars of a
// service have found that their upstreams do not run yet.
func TestWaitsWhileProcessesStart(t *testing.T) {
	h := newHarness(t)
	h.starting = true
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.now += clock.Second
	h.balancer.Tick(h.now)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.starting = false
	h.now += 20
	h.balancer.Tick(h.now)
	h.c.Assert(h.resets, qt.Equals, 1)
}
