package balancer_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

var (
	client    = netip.MustParseAddrPort("100.64.0.7:40001")
	address   = netip.MustParseAddrPort("198.18.0.1:443")
	key       = segment.NewKey(client, address)
	portal    = platform.ServiceID("portal")
	sidecars  = []netip.AddrPort{addr("10.1.0.11:7000"), addr("10.1.0.12:7000"), addr("10.1.0.13:7000")}
	addr      = netip.MustParseAddrPort
	openFlags = byte(32)
	ackFlags  = byte(128)
)

// packet returns a packet of the client with data bytes.
func packet(flags byte, acknowledged uint32, data int) []byte {
	return packetFrom(client.Port(), flags, acknowledged, data)
}

func keyFrom(port uint16) segment.Key {
	return segment.NewKey(netip.AddrPortFrom(client.Addr(), port), address)
}

// packetFrom returns a packet from a port of the client.
func packetFrom(port uint16, flags byte, acknowledged uint32, data int) []byte {
	from := netip.AddrPortFrom(client.Addr(), port)
	raw := append(platform.EncodeReset(segment.NewKey(address, from), 7), make([]byte, data)...)
	raw[0] = flags
	binary.LittleEndian.PutUint32(raw[8:], acknowledged)
	binary.LittleEndian.PutUint16(raw[24:], uint16(data))
	return raw
}

// toSearch stands for a packet whose owner is searched by any sidecar.
const toSearch = "search"

// harness records what a balancer sends.
type harness struct {
	c        *qt.C
	balancer *balancer.Balancer
	now      clock.Millis
	complete bool
	// forwards are the addresses that packets were sent to, or toSearch.
	forwards []string
	resets   int
	// messages are all datagrams to sidecars.
	messages []relay.Message
}

func newHarness(t *testing.T) *harness { return newHarnessWithLink(t, 0) }

// newHarnessWithLink returns a harness whose route is for uploads if the link has a
// rate.
func newHarnessWithLink(t *testing.T, rate float64) *harness {
	h := &harness{c: qt.New(t), now: 10 * clock.Second, complete: true}
	h.balancer = balancer.New(balancer.Config{
		DataCentre: "agassiz", LinkRate: rate,
		Decode: func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:  platform.EncodeReset,
		ToSidecar: func(to netip.AddrPort, data []byte) {
			m, err := relay.Decode(data)
			h.c.Assert(err, qt.IsNil)
			m.Packet = append([]byte(nil), m.Packet...)
			h.messages = append(h.messages, m)
			text := to.String()
			if m.Kind == relay.KindSearch {
				text = toSearch
			}
			h.forwards = append(h.forwards, text)
		},
		ToClient:    func(netip.Addr, []byte) { h.resets++ },
		Random:      func(int) int { return 0 },
		AllReported: func() bool { return h.complete },
	})
	h.balancer.SetTable(route.NewTable(route.Config{Version: 1, Routes: []route.Route{
		{
			Address: address, Targets: []route.Target{{Service: portal, Weight: 1}}, Bulk: rate > 0,
			LatencyGoal: 120, Timeout: 1200,
		},
	}}))
	return h
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

func (h *harness) answer(kind relay.Kind, from netip.AddrPort) {
	h.balancer.HandleSidecar(h.now, from, relay.Message{Kind: kind, Key: key})
}

func (h *harness) advance(d clock.Millis) {
	h.now += d
	h.balancer.Tick(h.now)
}

// take returns what was forwarded since the last call.
func (h *harness) take() []string {
	forwards := h.forwards
	h.forwards = nil
	return forwards
}

// Guards against requests that are lost with a sidecar that does not answer.
func TestRequestMovesOnWithoutAnswer(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.take(), qt.DeepEquals, []string{sidecars[0].String()})
	h.advance(29)
	h.c.Assert(h.take(), qt.HasLen, 0)
	h.advance(1)
	h.c.Assert(h.take(), qt.DeepEquals, []string{sidecars[1].String()})
	h.answer(relay.KindAccepted, sidecars[1])
	h.advance(clock.Second)
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.c.Assert(h.take(), qt.DeepEquals, []string{sidecars[1].String()})
}

// Guards against a refusal of a request that an upstream may have accepted.
func TestNoRefusalAfterMissingAnswer(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.advance(30)
	h.answer(relay.KindRefused, sidecars[1])
	h.answer(relay.KindRefused, sidecars[2])
	h.c.Assert(h.resets, qt.Equals, 0)
	h.c.Assert(h.take(), qt.HasLen, 3)
}

// Guards against a client that waits although every upstream has refused, and
// against the refusal of a repeated request, which another balancer may have placed.
func TestRefusal(t *testing.T) {
	for copies, resets := range []int{1, 0} {
		h := newHarness(t)
		h.reportAll()
		h.balancer.HandleClient(h.now, packet(openFlags, uint32(copies), 0))
		for _, s := range sidecars {
			h.answer(relay.KindRefused, s)
		}
		h.c.Assert(h.resets, qt.Equals, resets)
	}
}

// Guards against refusals by a balancer that has just started.
func TestRequestWaitsForFirstReport(t *testing.T) {
	h := newHarness(t)
	h.complete = false
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.advance(600)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.report(0, true, relay.Load{})
	h.c.Assert(h.take(), qt.DeepEquals, []string{sidecars[0].String()})
}

// Guards against requests that wait for a service without sidecars until their
// deadline.
func TestWaitingEnds(t *testing.T) {
	h := newHarness(t)
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	for range 6 {
		h.advance(50)
	}
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against new flows for an upstream that drains, that is silent, or that has
// more work than others.
func TestPlacement(t *testing.T) {
	h := newHarness(t)
	h.report(0, true, relay.Load{})
	h.advance(850)
	h.report(1, false, relay.Load{})
	h.report(2, true, relay.Load{Active: 5, Flows: 90})
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.take(), qt.DeepEquals, []string{sidecars[2].String()})
}

// Guards against open flows that break when another balancer gets their packets.
func TestSearchFindsOwner(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.c.Assert(h.take(), qt.DeepEquals, []string{toSearch})
	h.answer(relay.KindClaimed, sidecars[2])
	h.absent(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
	h.c.Assert(h.take(), qt.DeepEquals, []string{sidecars[2].String()})
}

// absent tells the balancer that none of some sidecars holds the flow.
func (h *harness) absent(asked uint16) {
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindAbsent, Key: key, Queried: asked})
}

// Guards against an outdated owner that swallows the packets of a flow.
func TestReturnedPacketIsSearched(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.answer(relay.KindClaimed, sidecars[0])
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindNotHeld, Packet: packet(ackFlags, 1, 10)})
	h.c.Assert(h.take(), qt.DeepEquals, []string{toSearch})
}

// Guards against resets of a flow whose owner was not asked or is not yet known, and
// against clients that wait for a flow that is gone.
func TestLostFlowIsReset(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	lose := func(asked uint16) {
		h.balancer.HandleClient(h.now, packet(ackFlags, 1, 10))
		h.absent(asked)
	}
	lose(2)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.complete = false
	lose(3)
	h.c.Assert(h.resets, qt.Equals, 0)
	h.complete = true
	lose(3)
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against uploads that fill a slow link, so that all other flows wait.
func TestBulkFlowsWaitForTheLink(t *testing.T) {
	h := newHarnessWithLink(t, 40)
	h.reportAll()
	open := func(port uint16) {
		h.balancer.HandleClient(h.now, packetFrom(port, openFlags, 0, 0))
		h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindAccepted, Key: keyFrom(port)})
	}
	for port := range uint16(5) {
		open(40001 + port)
		h.balancer.HandleClient(h.now, packetFrom(40001+port, ackFlags, 1, 1000))
	}
	h.take()
	h.balancer.HandleClient(h.now, packetFrom(40009, openFlags, 0, 0))
	h.c.Assert(h.take(), qt.HasLen, 0)
	h.balancer.HandleClient(h.now, packetFrom(40001, ackFlags|16, 1, 0))
	h.take()
	h.advance(20)
	h.c.Assert(h.take(), qt.HasLen, 1)
}

// Guards against an upload that waits for a full link until the client gives up.
func TestBulkFlowIsRefused(t *testing.T) {
	h := newHarnessWithLink(t, 1)
	h.reportAll()
	h.balancer.HandleSidecar(h.now, sidecars[0], relay.Message{Kind: relay.KindClaimed, Key: keyFrom(40001)})
	h.balancer.HandleClient(h.now, packetFrom(40001, ackFlags, 1, 1000))
	h.take()
	h.balancer.HandleClient(h.now, packetFrom(40002, openFlags, 0, 0))
	for range 10 {
		h.balancer.HandleClient(h.now, packetFrom(40001, ackFlags, 1, 1000))
		h.advance(20)
	}
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against a configuration that goes back to an older version.
func TestConfigurationNeverReverts(t *testing.T) {
	h := newHarness(t)
	h.c.Assert(h.balancer.SetTable(route.NewTable(route.Config{Version: 3})), qt.IsTrue)
	h.c.Assert(h.balancer.SetTable(route.NewTable(route.Config{Version: 2})), qt.IsFalse)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.c.Assert(h.take(), qt.HasLen, 0)
	h.c.Assert(h.resets, qt.Equals, 1)
}

// Guards against a stranger who makes balancers multiply packets without limit.
func TestSearchesAreLimited(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	for range 3000 {
		h.balancer.HandleClient(h.now, packet(ackFlags, 1, 0))
	}
	h.c.Assert(h.forwards, qt.HasLen, 2000)
	h.advance(clock.Second)
	h.take()
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(ackFlags, 1, 0))
	h.c.Assert(h.take(), qt.HasLen, 1)
}
