package balancer_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

var (
	client         = netip.MustParseAddrPort("100.64.0.7:40001")
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")
	key            = segment.NewKey(client, serviceAddress)
	portal         = platform.ServiceID("portal")
	sidecars       = []netip.AddrPort{parseAddress("10.1.0.11:7000"), parseAddress("10.1.0.12:7000"), parseAddress("10.1.0.13:7000")}
	parseAddress   = netip.MustParseAddrPort
	openFlags      = byte(32)
	ackFlags       = byte(128)
)

// packet returns a client packet with the given number of data bytes.
func packet(flags byte, acknowledged uint32, data int) []byte {
	return packetFrom(client.Port(), flags, acknowledged, data)
}

func keyFrom(port uint16) segment.Key {
	return segment.NewKey(netip.AddrPortFrom(client.Addr(), port), serviceAddress)
}

// packetFrom returns a client packet that is sent from the given port.
func packetFrom(port uint16, flags byte, acknowledged uint32, data int) []byte {
	from := netip.AddrPortFrom(client.Addr(), port)
	raw := append(platform.EncodeReset(segment.NewKey(serviceAddress, from), 7), make([]byte, data)...)
	raw[0] = flags
	binary.LittleEndian.PutUint32(raw[8:], acknowledged)
	binary.LittleEndian.PutUint16(raw[24:], uint16(data))
	return raw
}

// searchRequest stands in harness.forwards for a search request, whose recipient may be
// any sidecar.
const searchRequest = "search"

// harness runs a balancer with a simulated clock and records what it sends.
type harness struct {
	c           *qt.C
	balancer    *balancer.Balancer
	now         clock.Millis
	allReported bool
	starting    bool
	behind      bool
	// forwards holds the recipient of each datagram to a sidecar, or searchRequest.
	forwards []string
	resets   int
	// messages holds all messages to sidecars but pings, whose recipients are in pings.
	messages []relay.Message
	pings    []netip.AddrPort
	// searchers holds the sidecar that was last requested to search in each service.
	searchers map[identity.ServiceID]netip.AddrPort
	// losses holds for each call of LossChanged whether the sidecar is lost.
	losses []bool
}

func newHarness(t *testing.T) *harness { return newHarnessWithLink(t, 0) }

// newHarnessWithLink returns a harness with a link of the given rate. If the rate is not
// 0, the flows of the route are bulk flows.
func newHarnessWithLink(t *testing.T, linkRateMbps float64) *harness {
	h := newHarnessWithoutTable(t, linkRateMbps)
	h.setTable(linkRateMbps > 0)
	return h
}

// newHarnessWithoutTable returns a harness that knows no configuration.
func newHarnessWithoutTable(t *testing.T, linkRateMbps float64) *harness {
	h := &harness{c: qt.New(t), now: 10 * clock.Second, allReported: true, searchers: map[identity.ServiceID]netip.AddrPort{}}
	h.balancer = balancer.New(balancer.Config{
		DataCentre: "agassiz", LinkRate: linkRateMbps,
		Decode: func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:  platform.EncodeReset,
		ToSidecar: func(to netip.AddrPort, data []byte) {
			m, err := relay.Decode(data)
			h.c.Assert(err, qt.IsNil)
			if m.Kind == relay.KindPing {
				h.pings = append(h.pings, to)
				return
			}
			m.Packet = append([]byte(nil), m.Packet...)
			h.messages = append(h.messages, m)
			recipient := to.String()
			if m.Kind == relay.KindSearch {
				h.searchers[m.Service] = to
				recipient = searchRequest
			}
			h.forwards = append(h.forwards, recipient)
		},
		ToClient:    func(netip.Addr, []byte) { h.resets++ },
		Random:      func(int) int { return 0 },
		AllReported: func() bool { return h.allReported },
		Starting:    func() bool { return h.starting },
		Behind:      func() bool { return h.behind },
		LossChanged: func(_ netip.AddrPort, lost bool, _ clock.Millis) { h.losses = append(h.losses, lost) },
	})
	return h
}

func (h *harness) setTable(bulk bool) {
	h.balancer.SetTable(h.now, route.NewTable(route.Config{Version: 1, Routes: []route.Route{
		{
			Address: serviceAddress, Targets: []route.Target{{Service: portal, Weight: 1}}, Bulk: bulk,
			LatencyGoal: 120, Timeout: 1200,
		},
	}}))
}

func (h *harness) report(i int, accepting bool, load relay.Load) {
	h.balancer.HandleSidecar(h.now, sidecars[i], relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: portal, DataCentre: "agassiz", Accepting: accepting, Slots: 3, Load: load,
	}})
}

func (h *harness) reportAll() {
	for i := range sidecars {
		h.report(i, true, relay.Load{Active: uint16(i)})
	}
}

func (h *harness) respond(kind relay.Kind, from netip.AddrPort) {
	h.balancer.HandleSidecar(h.now, from, relay.Message{Kind: kind, Key: key})
}

func (h *harness) advance(d clock.Millis) {
	h.now += d
	h.balancer.Tick(h.now)
}

// takeForwards returns the entries of forwards since the last call.
func (h *harness) takeForwards() []string {
	forwards := h.forwards
	h.forwards = nil
	return forwards
}

// Guards against requests that are lost because the sidecar that got them does not
// respond.
func TestUnansweredRequestIsPlacedElsewhere(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
	h.advance(29)
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.advance(1)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
	h.respond(relay.KindAccepted, sidecars[1])
	h.advance(clock.Second)
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
}

// Guards against refusing a request that an upstream may have accepted: its sidecar has
// not responded, and all others have refused.
func TestNoRefusalAfterMissingResponse(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.advance(30)
	h.respond(relay.KindRefused, sidecars[1])
	h.respond(relay.KindRefused, sidecars[2])
	h.c.Assert(h.resets, qt.Equals, 0)
	h.c.Assert(h.takeForwards(), qt.HasLen, 3)
}

// Guards against a client that waits although every upstream has refused its request.
// Guards also against refusing a retransmitted request, which another balancer may have
// placed.
func TestRequestRefusedByAllSidecars(t *testing.T) {
	for earlierTransmissions, resets := range []int{1, 0} {
		h := newHarness(t)
		h.reportAll()
		h.balancer.HandleClient(h.now, packet(openFlags, uint32(earlierTransmissions), 0))
		for _, s := range sidecars {
			h.respond(relay.KindRefused, s)
		}
		h.c.Assert(h.resets, qt.Equals, resets)
	}
}

// Guards against refusals by a balancer that has just started and has no reports yet.
func TestRequestWaitsForFirstReport(t *testing.T) {
	h := newHarness(t)
	h.allReported = false
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.advance(600)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.report(0, true, relay.Load{})
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
}

// Guards against requests for a service without sidecars that wait until the client's
// deadline instead of being refused early.
func TestRequestWithoutSidecarsIsRefused(t *testing.T) {
	h := newHarness(t)
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	for range 6 {
		h.advance(50)
	}
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against placing a new flow on a silent sidecar or on one whose upstream drains,
// although both reported less work than the remaining sidecar.
func TestSilentAndDrainingSidecarsGetNoNewFlow(t *testing.T) {
	h := newHarness(t)
	h.report(0, true, relay.Load{})
	h.advance(850)
	h.report(1, false, relay.Load{})
	h.report(2, true, relay.Load{Active: 5, Flows: 90})
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[2].String()})
}

// Guards against open flows that break when the routers send their packets to another
// balancer, which does not know the owner.
func TestSearchFindsOwner(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{searchRequest})
	h.respond(relay.KindClaimed, sidecars[2])
	h.absentAtFirst(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[2].String()})
}

// absentAtFirst responds to the last search in the service of the sidecars that none of the
// first ones of them holds the flow.
func (h *harness) absentAtFirst(queried int) {
	var hosts []netip.Addr
	for _, sidecar := range sidecars[:queried] {
		hosts = append(hosts, sidecar.Addr())
	}
	h.absentAt(portal, hosts...)
}

// absentAt responds to the last search in a service that no sidecar on the given hosts holds
// the flow.
func (h *harness) absentAt(service identity.ServiceID, hosts ...netip.Addr) {
	h.balancer.HandleSidecar(h.now, h.searchers[service], relay.Message{
		Kind: relay.KindAbsent, Key: key, Queried: uint16(len(hosts)), QueriedHosts: hosts,
	})
}

// confirmAbsent is like two calls of absentAtFirst, the second one after the repetition of
// the search.
func (h *harness) confirmAbsent(queried int) {
	h.absentAtFirst(queried)
	h.advance(120)
	h.absentAtFirst(queried)
}

// Guards against packets that are lost because the balancer remembers an outdated owner.
func TestReturnedPacketStartsSearch(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.respond(relay.KindClaimed, sidecars[0])
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindNotHeld, Packet: packet(ackFlags, 1, 10)})
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{searchRequest})
}

// Guards against resetting a flow whose owner was not queried or has not reported yet, or may
// be a target of a newer configuration.
// Guards also against clients that wait for a response in a flow that no upstream holds.
func TestLostFlowIsReset(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	searchWithoutOwner := func(queried int) {
		h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
		h.confirmAbsent(queried)
	}
	searchWithoutOwner(2)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.allReported = false
	searchWithoutOwner(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.allReported, h.behind = true, true
	searchWithoutOwner(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.behind = false
	searchWithoutOwner(3)
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against a reset on a single search, which may miss a flow that opens meanwhile.
func TestAbsenceIsConfirmed(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.absentAtFirst(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.advance(120)
	h.absentAtFirst(3)
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against a reset of a flow whose owner the balancer knows and the searching sidecar
// does not, because the latter knows another sidecar in its place.
func TestSearchOfOtherSetProvesNothing(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	for range 2 {
		h.absentAt(portal, sidecars[0].Addr(), sidecars[1].Addr(), netip.MustParseAddr("10.1.0.99"))
		h.advance(120)
	}
	h.c.Assert(h.resets, qt.Equals, 0)
	h.balancer.HandleSidecar(h.now, h.searchers[portal], relay.Message{Kind: relay.KindAbsent, Key: key, Queried: 3})
	h.c.Assert(h.resets, qt.Equals, 0)
}

// Guards against uploads that fill a slow link and delay all other flows. The link of
// 7.5 megabits per second allows five bulk flows at a time.
func TestBulkFlowsWaitForTheLink(t *testing.T) {
	h := newHarnessWithLink(t, 7.5)
	h.reportAll()
	open := func(port uint16) {
		h.balancer.HandleClient(h.now, packetFrom(port, openFlags, 0, 0))
		h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindAccepted, Key: keyFrom(port)})
	}
	for port := range uint16(5) {
		open(40001 + port)
		h.balancer.HandleClient(h.now, packetFrom(40001+port, ackFlags, 1, 1000))
	}
	h.takeForwards()
	h.balancer.HandleClient(h.now, packetFrom(40009, openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	// Flag 16 ends the flow.
	h.balancer.HandleClient(h.now, packetFrom(40001, ackFlags|16, 1, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 2)
	// The new flow counts before its first data packet.
	h.balancer.HandleClient(h.now, packetFrom(40010, openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
}

// Guards against an upload that waits for a full link until its client times out. The
// link of 1 megabit per second allows one bulk flow at a time.
func TestBulkFlowIsRefusedOnFullLink(t *testing.T) {
	h := newHarnessWithLink(t, 1)
	h.reportAll()
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindClaimed, Key: keyFrom(40001)})
	h.balancer.HandleClient(h.now, packetFrom(40001, ackFlags, 1, 1000))
	h.takeForwards()
	h.balancer.HandleClient(h.now, packetFrom(40002, openFlags, 0, 0))
	for range 10 {
		h.balancer.HandleClient(h.now, packetFrom(40001, ackFlags, 1, 1000))
		h.advance(20)
	}
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against replacing the configuration with an older version.
func TestConfigurationNeverReverts(t *testing.T) {
	h := newHarness(t)
	h.c.Assert(h.balancer.SetTable(h.now, route.NewTable(route.Config{Version: 3})), qt.IsTrue)
	h.c.Assert(h.balancer.SetTable(h.now, route.NewTable(route.Config{Version: 2})), qt.IsFalse)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against amplification: each packet of an unknown flow may lead to a message to
// every sidecar, so that balancers multiply the packets of an unauthenticated sender.
func TestSearchesAreLimited(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	for range 3000 {
		h.balancer.HandleClient(h.now, packet(ackFlags, 1, 0))
	}
	h.c.Assert(h.forwards, qt.HasLen, 2000)
	h.advance(clock.Second)
	h.takeForwards()
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 1)
}
