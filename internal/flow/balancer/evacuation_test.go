package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// reportFrom reports sidecar i as one of a data centre.
func (h *harness) reportFrom(i int, dataCentre string, accepting, evacuated bool) {
	h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: portal, DataCentre: dataCentre, Accepting: accepting, Evacuated: evacuated, Slots: 3,
	}})
}

// Guards against new flows for an evacuated data centre, against an evacuation that ends for
// the balancer while it lasts, and against one that outlasts its end.
func TestEvacuatedDataCentreGetsNoNewFlows(t *testing.T) {
	h := newHarness(t)
	h.reportFrom(0, "agassiz", true, false)
	h.reportFrom(1, "hope", true, false)
	h.balancer.SetEvacuated([]string{"agassiz"})
	h.c.Assert(h.balancer.UsableSidecars(h.now), qt.Equals, 1)
	for port := uint16(1); port <= 4; port++ {
		h.balancer.HandleClient(h.now, packetFrom(port, openFlags, 0, 0))
		h.reportFrom(0, "agassiz", true, false)
		h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
	}
	h.balancer.SetEvacuated(nil)
	h.balancer.HandleClient(h.now, packetFrom(5, openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
}

// Guards against a packet of an open flow that does not reach its upstream because the data
// centre is evacuated.
func TestOpenFlowContinuesInEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.reportFrom(0, "agassiz", true, false)
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.respond(relay.KindAccepted, sidecars[0])
	h.takeForwards()
	h.balancer.SetEvacuated([]string{"agassiz"})
	h.reportFrom(0, "agassiz", false, true)
	h.balancer.HandleClient(h.now, packet(ackFlags, 501, 100))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
}

// Guards against a flow that waits for an evacuated data centre until its client gives up,
// and against one that is refused although another sidecar is busy only for a moment.
func TestPendingFlowLeavesEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.reportFrom(0, "agassiz", true, false)
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.refuseBusy(0, client.Port())
	h.takeForwards()
	h.reportFrom(1, "hope", true, false)
	h.balancer.SetEvacuated([]string{"agassiz"})
	h.advance(20)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
	h.refuseBusy(1, client.Port())
	h.c.Assert(h.resets, qt.Equals, 0)
	h.advance(20)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
}

// Guards against a flow that waits although all data centres of its service are evacuated,
// and against a refusal by a balancer that does not know all sidecars yet.
func TestFlowIsRefusedIfAllAreEvacuated(t *testing.T) {
	for name, evacuate := range map[string]func(*harness){
		"the balancer knows": func(h *harness) {
			h.reportFrom(0, "agassiz", true, false)
			h.reportFrom(1, "hope", true, false)
			h.balancer.SetEvacuated([]string{"agassiz", "hope"})
		},
		"the sidecars know": func(h *harness) {
			h.reportFrom(0, "agassiz", false, true)
			h.reportFrom(1, "hope", false, true)
		},
	} {
		h := newHarness(t)
		evacuate(h)
		h.allReported = false
		h.balancer.HandleClient(h.now, packetFrom(1, openFlags, 0, 0))
		h.c.Assert(h.balancer.Count(balancer.OutcomeWaiting), qt.Equals, uint64(1), qt.Commentf(name))
		h.allReported = true
		h.balancer.HandleClient(h.now, packetFrom(2, openFlags, 0, 0))
		h.c.Assert(h.balancer.Count(balancer.OutcomeEvacuated), qt.Equals, uint64(1), qt.Commentf(name))
		h.advance(20)
		h.c.Assert(h.balancer.Count(balancer.OutcomeEvacuated), qt.Equals, uint64(2), qt.Commentf(name))
		h.c.Assert(h.resets, qt.Equals, 2, qt.Commentf(name))
		h.c.Assert(h.takeForwards(), qt.HasLen, 0, qt.Commentf(name))
	}
}

// Guards against a flow that waits for no reason, or is refused as evacuated, if its
// service has no sidecar at all.
func TestEvacuationElsewhereDoesNotRefuse(t *testing.T) {
	h := newHarness(t)
	h.balancer.SetEvacuated([]string{"agassiz"})
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.balancer.Count(balancer.OutcomeWaiting), qt.Equals, uint64(1))
	h.reportFrom(0, "agassiz", false, false)
	h.advance(20)
	h.c.Assert(h.balancer.Count(balancer.OutcomeEvacuated), qt.Equals, uint64(0))
}

// Guards against a flow that is refused because more sidecars than maxAttempts know of an
// evacuation before the balancer does, and against refused sidecars that are asked again.
func TestRefusalsAsEvacuatedDoNotCount(t *testing.T) {
	h := newHarness(t)
	for i := range sidecars[:2] {
		h.reportFrom(i, "agassiz", true, false)
	}
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	for i := range 2 {
		h.c.Assert(h.takeForwards(), qt.HasLen, 1)
		if i == 1 {
			h.reportFrom(2, "hope", true, false)
		}
		h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{Kind: relay.KindRefused, Reason: relay.ReasonEvacuated, Key: key})
	}
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[2].String()})
	h.c.Assert(h.balancer.Count(balancer.OutcomePlaced), qt.Equals, uint64(3))
	h.advance(10)
	h.balancer.HandleSidecar(h.now, sidecars[2], relay.Message{Kind: relay.KindRefused, Reason: relay.ReasonEvacuated, Key: key})
	h.c.Assert(h.balancer.Count(balancer.OutcomeEvacuated), qt.Equals, uint64(1))
	h.c.Assert(h.resets, qt.Equals, 1)
	h.c.Assert(h.balancer.NextDeadline() <= h.now+clock.Second, qt.IsTrue)
}
