package sidecar_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

// Guards against a search that asks the lost sidecar of a hint again and again until the
// hint expires.
func TestSilentOwnerOfHint(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.sidecar.HandleMessage(h.now, otherSibling, relay.Message{Kind: relay.KindHint, Keys: []segment.Key{key}})
	h.search(packet(true, acks, 2, 501, 100))
	h.takeLastKind()
	h.now += 100
	h.sidecar.Tick(h.now)
	h.c.Assert(h.messages, qt.HasLen, 0)
	h.now += 100
	h.sidecar.Tick(h.now)
	h.c.Assert(h.receivers, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), []netip.AddrPort{sibling, otherSibling})
}

// Guards against balancers that do not learn which sidecar a search waits for.
func TestUnansweredSearchIsReported(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.search(packet(true, acks, 2, 501, 100))
	h.reportAbsent(sibling)
	h.takeLastKind()
	h.now += 200
	h.sidecar.Tick(h.now)
	h.c.Assert(h.messages, qt.HasLen, 1)
	h.c.Assert(h.receivers[0], qt.Equals, balancer)
	h.c.Assert(h.messages[0].Sidecars, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), []netip.AddrPort{otherSibling})
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindUnanswered)
	h.now += 200
	h.sidecar.Tick(h.now)
	h.c.Assert(h.messages, qt.HasLen, 0)
}

// Guards against a search that still waits for a sidecar after the balancers have found it
// lost.
func TestRemovedSiblingIsNotAwaited(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.search(packet(true, acks, 2, 501, 100))
	h.reportAbsent(sibling)
	h.takeLastKind()
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling})
	h.c.Assert(h.messages, qt.HasLen, 1)
	h.c.Assert(h.messages[0].Queried, qt.Equals, uint16(2))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
}

// Guards against a sidecar at a reused address that answers the search of another service.
// Its response would count as that of a sidecar which was not asked.
func TestSearchOfOtherServiceIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	m := relay.Message{
		Kind: relay.KindForward, Service: platform.ServiceID("archive"), Requester: balancer, Packet: packet(true, acks, 2, 501, 100),
	}
	h.sidecar.HandleMessage(h.now, sibling, m)
	h.c.Assert(h.messages, qt.HasLen, 0)
	m.Service = portal
	h.sidecar.HandleMessage(h.now, sibling, m)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
}

// Guards against a configuration that removes this service from a route before balancers
// know that the upstream holds flows to the route's address.
func TestAddressesOfFlows(t *testing.T) {
	h := newHarness(t)
	addresses, all := h.sidecar.Addresses()
	h.c.Assert(addresses, qt.HasLen, 0)
	h.c.Assert(all, qt.IsTrue)
	h.open()
	h.c.Assert(h.sidecar.TakeAddressesChanged(), qt.IsTrue)
	h.c.Assert(h.sidecar.TakeAddressesChanged(), qt.IsFalse)
	addresses, _ = h.sidecar.Addresses()
	h.c.Assert(addresses, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), []netip.AddrPort{serviceAddress})
	h.sidecar.DropFlows()
	addresses, all = h.sidecar.Addresses()
	h.c.Assert(addresses, qt.HasLen, 0)
	h.c.Assert(all, qt.IsFalse)
}

// Guards against a report to all balancers with every flow of an upstream that has few.
func TestAddressStaysListed(t *testing.T) {
	h := newHarness(t)
	h.open()
	h.c.Assert(h.sidecar.TakeAddressesChanged(), qt.IsTrue)
	advance := func(d clock.Millis) {
		for end := h.now + d; h.now < end; {
			h.now += clock.Second
			h.sidecar.Tick(h.now)
		}
	}
	advance(100 * clock.Second)
	h.c.Assert(h.sidecar.Load().Flows, qt.Equals, uint16(0))
	addresses, _ := h.sidecar.Addresses()
	h.c.Assert(addresses, qt.HasLen, 0)
	h.open()
	h.c.Assert(h.sidecar.TakeAddressesChanged(), qt.IsTrue)
	h.toUpstream = 0
	h.sidecar.HandleMessage(h.now, balancer, relay.Message{Kind: relay.KindForward, Service: portal, Packet: packet(true, final|acks, 2, 501, 0)})
	h.sidecar.HandleUpstream(h.now, packet(false, final|acks, 501, 3, 0))
	advance(20 * clock.Second)
	h.c.Assert(h.sidecar.Load().Flows, qt.Equals, uint16(0))
	addresses, _ = h.sidecar.Addresses()
	h.c.Assert(addresses, qt.HasLen, 1)
	h.open()
	h.c.Assert(h.sidecar.TakeAddressesChanged(), qt.IsFalse)
}

// Guards against a flow that is taken for lost because its upstream has restarted and accepted
// a copy of the first packet again, at another position.
func TestSecondAcceptanceCounts(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.forward(balancer, false, packet(true, opens, 1, 0, 0))
	h.sidecar.HandleUpstream(h.now, packet(false, opens|acks, 500, 2, 0))
	h.forward(balancer, false, packet(true, opens, 1, 1, 0))
	const later = 900_000
	h.sidecar.HandleUpstream(h.now, packet(false, opens|acks, later, 2, 0))
	h.takeLastKind()
	h.toUpstream = 0
	h.forward(balancer, false, packet(true, acks, 2, later+1, 100))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.Kind(0))
	h.c.Assert(h.toUpstream, qt.Equals, 1)
}
