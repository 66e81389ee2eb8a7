package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
)

// reportState sends the report of a sidecar that lists all its addresses.
func (h *harness) reportState(i int, stopping bool) {
	h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: portal, DataCentre: "agassiz", Accepting: !stopping, Stopping: stopping, Slots: 3, Interval: 200, AllListed: true,
	}})
}

// reportWithout lets time pass while all sidecars but the given one report.
func (h *harness) reportWithout(silent int, d clock.Millis) {
	for end := h.now + d; h.now < end; {
		for i := range sidecars {
			if i != silent {
				h.reportState(i, false)
			}
		}
		h.advance(100)
	}
}

// Guards against clients that wait for their deadlines because a host failed for good and
// no search can ever cover its sidecar. A request that must not be repeated gets more time,
// because its response may still come.
func TestSearchDoesNotWaitForLostSidecar(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		h := newHarness(t)
		h.setRoute(2, route.Route{Repeatable: repeatable}, portal)
		for i := range sidecars {
			h.reportState(i, false)
		}
		h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
		h.confirmAbsent(2)
		h.c.Assert(h.resets, qt.Equals, 0)
		h.balancer.TakeHostsOfChangedServices()

		h.reportWithout(2, 2*clock.Second)
		h.c.Assert(h.pings, qt.Not(qt.HasLen), 0)
		h.c.Assert(h.balancer.TakeHostsOfChangedServices(), qt.HasLen, 2)
		hosts, known := h.balancer.ServiceHosts(sidecars[0])
		h.c.Assert(known, qt.IsTrue)
		h.c.Assert(hosts, qt.HasLen, 2)
		h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
		h.confirmAbsent(2)
		h.c.Assert(h.resets == 1, qt.Equals, repeatable)
		if !repeatable {
			h.reportWithout(2, 4*clock.Second)
			h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
			h.confirmAbsent(2)
			h.c.Assert(h.resets, qt.Equals, 1)
		}

		h.reportState(2, false)
		h.c.Assert(h.balancer.TakeHostsOfChangedServices(), qt.HasLen, 3)
	}
}

// Guards against a system whose sidecars report so rarely that a failed one is found only
// after many seconds. A search that it has not responded to makes balancers ask.
func TestUnansweredSearchFindsLostSidecar(t *testing.T) {
	h := newHarness(t)
	h.setRoute(2, route.Route{Repeatable: true}, portal)
	report := func(i int) {
		h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{
			Service: portal, DataCentre: "agassiz", Accepting: true, Slots: 3, Interval: 20 * clock.Second, AllListed: true,
		}})
	}
	for i := range sidecars {
		report(i)
	}
	h.advance(clock.Second)
	h.c.Assert(h.pings, qt.HasLen, 0)
	h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindUnanswered, Key: key, Sidecars: sidecars[1:]})
	h.c.Assert(h.pings, qt.HasLen, 2)
	report(1)
	for range 10 {
		h.advance(100)
		report(0)
	}
	hosts, _ := h.balancer.ServiceHosts(sidecars[0])
	h.c.Assert(hosts, qt.HasLen, 2)
	h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	h.confirmAbsent(2)
	h.c.Assert(h.resets, qt.Equals, 1)
	report(2)
	h.c.Assert(h.losses, qt.DeepEquals, []bool{true, false})
}

// Guards against a balancer that is cut off and takes all sidecars for lost.
func TestIsolatedBalancerLosesNoSidecar(t *testing.T) {
	h := newHarness(t)
	for i := range sidecars {
		h.reportState(i, false)
	}
	for range 50 {
		h.advance(100)
	}
	h.reportState(0, false)
	hosts, _ := h.balancer.ServiceHosts(sidecars[0])
	h.c.Assert(hosts, qt.HasLen, 3)
}

// Guards against packets that go to a lost owner until the client's deadline although the
// client may repeat its request elsewhere.
func TestLostOwnerIsAbandoned(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		h := newHarness(t)
		h.setRoute(2, route.Route{Repeatable: repeatable}, portal)
		for i := range sidecars {
			h.reportState(i, false)
		}
		h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
		h.respond(relay.KindClaimed, sidecars[2])
		h.reportWithout(2, 2*clock.Second)
		h.takeForwards()
		h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
		expected := sidecars[2].String()
		if repeatable {
			expected = searchRequest
		}
		h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{expected})
	}
}

// Guards against a reset of a flow whose sidecar is restarted by an operator.
func TestSearchWaitsForStoppingSidecar(t *testing.T) {
	h := newHarness(t)
	for i := range sidecars {
		h.reportState(i, i == 2)
	}
	h.reportWithout(2, 5*clock.Second)
	h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	h.confirmAbsent(2)
	h.c.Assert(h.resets, qt.Equals, 0)
}

// Guards against a client that learns only after its next retransmission that no upstream
// holds its flow, when it has no time left to try again.
func TestSearchIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.allReported = false
	for i := range sidecars {
		h.reportState(i, false)
	}
	h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	h.absentAtFirst(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.takeForwards()
	h.allReported = true
	h.advance(150)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{searchRequest})
	h.absentAtFirst(3)
	h.c.Assert(h.resets, qt.Equals, 1)
	h.advance(clock.Second)
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
}

// Guards against searches that never end for a client that has given up.
func TestRepeatedSearchEnds(t *testing.T) {
	h := newHarness(t)
	for i := range sidecars {
		h.reportState(i, false)
	}
	h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	h.reportWithout(-1, 5*clock.Second)
	h.c.Assert(len(h.takeForwards()) <= 5, qt.IsTrue)
	h.c.Assert(h.balancer.NextDeadline(), qt.Equals, clock.Millis(0))
}

// Guards against a member that never had an upstream: searches would wait for it when its
// host is switched off.
func TestAbsentUpstreamIsNoMember(t *testing.T) {
	h := newHarness(t)
	h.reportState(0, false)
	h.balancer.TakeHostsOfChangedServices()
	for range 3 {
		h.balancer.HandleSidecar(h.now, sidecars[1], relay.Message{Kind: relay.KindReport, Report: relay.Report{Service: portal, Departed: true}})
	}
	h.c.Assert(h.balancer.TakeHostsOfChangedServices(), qt.HasLen, 0)
	h.c.Assert(h.balancer.Sidecars(), qt.HasLen, 1)
	h.reportState(1, false)
	h.c.Assert(h.balancer.Sidecars(), qt.HasLen, 2)
}

// Guards against a reset that relies on the absence of a flow from a service whose lost
// sidecar has come back in the meantime.
func TestAbsenceEndsWithReturnOfSidecar(t *testing.T) {
	h := newHarness(t)
	h.setRoute(2, route.Route{Repeatable: true}, portal, archive)
	other := parseAddress("10.1.0.21:7000")
	reportOther := func() { h.reportHolder(other, archive, true) }
	for i := range sidecars {
		h.reportState(i, false)
	}
	for range 20 {
		h.reportWithout(2, 100)
		reportOther()
	}
	h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	h.confirmAbsent(2)
	h.reportState(2, false)
	for range 2 {
		h.absent(other)
		h.c.Assert(h.resets, qt.Equals, 0)
		h.balancer.HandleClient(h.now, packet(ackFlags, 8, 100))
	}
	h.confirmAbsent(3)
	h.c.Assert(h.resets, qt.Equals, 1)
}
