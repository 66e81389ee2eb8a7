package sidecar_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
)

var (
	client         = netip.MustParseAddrPort("100.64.0.7:40001")
	serviceAddress = netip.MustParseAddrPort("198.18.0.1:443")
	key            = segment.NewKey(client, serviceAddress)
	balancer       = netip.MustParseAddrPort("10.1.0.1:7000")
	otherBalancer  = netip.MustParseAddrPort("10.1.0.2:7000")
	self           = netip.MustParseAddrPort("10.1.0.11:7000")
	sibling        = netip.MustParseAddrPort("10.1.0.12:7000")
	otherSibling   = netip.MustParseAddrPort("10.1.0.13:7000")
	portal         = platform.ServiceID("portal")
)

// Flag bits of the platform's packets.
const (
	reset    = 1
	returned = 4
	final    = 16
	opens    = 32
	acks     = 128
)

// packet returns a packet of the test flow with the given number of data bytes.
func packet(fromClient bool, flags byte, sequence, acknowledged uint32, dataSize int) []byte {
	raw := platform.EncodeReset(key, sequence)
	if fromClient {
		raw = platform.EncodeReset(segment.NewKey(serviceAddress, client), sequence)
	}
	raw = append(raw, make([]byte, dataSize)...)
	raw[0] = flags
	binary.LittleEndian.PutUint32(raw[8:], acknowledged)
	binary.LittleEndian.PutUint16(raw[24:], uint16(dataSize))
	return raw
}

// harness drives a sidecar and records what it sends.
type harness struct {
	c          *qt.C
	sidecar    *sidecar.Sidecar
	now        clock.Millis
	toUpstream int
	toClient   int
	messages   []relay.Message
	receivers  []netip.AddrPort
	events     []sidecar.Event
	// status is that of the upstream's responses, and notExecuted marks them.
	status      int
	notExecuted bool
}

func newHarness(t *testing.T) *harness {
	h := &harness{c: qt.New(t), status: 200}
	h.sidecar = sidecar.New(sidecar.Config{
		Decode: platform.DecodeSegment, ClearReturned: platform.ClearReturned,
		ToUpstream:     func([]byte) { h.toUpstream++ },
		ToClient:       func(netip.Addr, []byte) { h.toClient++ },
		Self:           self,
		RequestID:      func(raw []byte) string { return string(raw[34:36]) },
		ResponseStatus: func([]byte) int { return h.status },
		NotExecuted:    func([]byte) bool { return h.notExecuted },
		Observe:        func(e sidecar.Event) { h.events = append(h.events, e) },
		ToPeer: func(to netip.AddrPort, data []byte) {
			m, err := relay.Decode(append([]byte(nil), data...))
			h.c.Assert(err, qt.IsNil)
			h.messages = append(h.messages, m)
			h.receivers = append(h.receivers, to)
		},
	})
	h.sidecar.SetService(portal)
	return h
}

// forward passes the sidecar a packet from a balancer, or from a sibling that searches
// for the owner on behalf of the balancer.
func (h *harness) forward(from netip.AddrPort, forSearch bool, raw []byte) {
	m := relay.Message{Kind: relay.KindForward, Service: portal, Packet: raw}
	if forSearch {
		m.Requester, from = from, sibling
	}
	h.sidecar.HandleMessage(h.now, from, m)
}

// search requests the sidecar to find the owner of a packet's flow.
func (h *harness) search(raw []byte) {
	h.sidecar.HandleMessage(h.now, balancer, relay.Message{Kind: relay.KindSearch, Service: portal, Packet: raw})
}

// reportAbsent notifies the sidecar that the upstream of a sibling does not hold the test
// flow.
func (h *harness) reportAbsent(from netip.AddrPort) {
	h.sidecar.HandleMessage(h.now, from, relay.Message{Kind: relay.KindAbsent, Key: key})
}

// takeLastKind returns the kind of the last sent message, or 0 if none was sent, and
// clears the record of sent messages.
func (h *harness) takeLastKind() relay.Kind {
	if len(h.messages) == 0 {
		return 0
	}
	m := h.messages[len(h.messages)-1]
	h.messages, h.receivers = nil, nil
	return m.Kind
}

// open opens the test flow at the upstream and sends a request on it.
func (h *harness) open() {
	h.sidecar.Accept()
	h.forward(balancer, false, packet(true, opens, 1, 0, 0))
	h.sidecar.HandleUpstream(h.now, packet(false, opens|acks, 500, 2, 0))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAccepted)
	h.forward(balancer, false, packet(true, acks, 2, 501, 100))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.Kind(0))
}

// offerOther sends the request of a second flow, which the sidecar refuses with the given reason,
// or offers if that is 0.
func (h *harness) offerOther(reason relay.Reason) {
	h.c.Helper()
	toUpstream := h.toUpstream
	raw := packet(true, opens, 1, 0, 0)
	other := platform.EncodeReset(segment.NewKey(serviceAddress, netip.AddrPortFrom(client.Addr(), 9)), 1)
	copy(raw[12:24], other[12:24])
	h.forward(balancer, false, raw)
	if reason == 0 {
		h.c.Assert(h.toUpstream, qt.Equals, toUpstream+1)
		return
	}
	h.c.Assert(h.toUpstream, qt.Equals, toUpstream)
	h.c.Assert(h.messages[len(h.messages)-1].Reason, qt.Equals, reason)
}

// Guards against new flows in an evacuated data centre, against open flows that do not
// continue, and against an evacuation that hides why the upstream itself takes no flows.
func TestEvacuationRefusesNewFlowsOnly(t *testing.T) {
	h := newHarness(t)
	h.open()
	h.sidecar.SetEvacuated(true)
	h.c.Assert(h.sidecar.Accepting(), qt.IsFalse)
	h.c.Assert(h.sidecar.UpstreamAccepting(), qt.IsTrue)
	toUpstream := h.toUpstream
	h.forward(balancer, false, packet(true, acks, 102, 501, 100))
	h.c.Assert(h.toUpstream, qt.Equals, toUpstream+1)
	h.offerOther(relay.ReasonEvacuated)
	h.sidecar.Refuse(relay.ReasonDraining)
	h.offerOther(relay.ReasonDraining)
	h.sidecar.Accept()
	h.sidecar.SetEvacuated(false)
	h.offerOther(0)
}

// Guards against offering new flows to an upstream that drains, that has not registered,
// or that belongs to another service since its address was reused.
func TestRefusesNewFlows(t *testing.T) {
	h := newHarness(t)
	refused := func(reason relay.Reason) {
		h.c.Helper()
		h.forward(balancer, false, packet(true, opens, 1, 0, 0))
		h.c.Assert(h.messages, qt.HasLen, 1)
		h.c.Assert(h.messages[0].Reason, qt.Equals, reason)
		h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindRefused)
		h.c.Assert(h.toUpstream, qt.Equals, 0)
	}
	refused(relay.ReasonUnregistered)
	h.sidecar.Accept()
	h.sidecar.SetService(platform.ServiceID("weighbridge"))
	refused(relay.ReasonOtherService)
	h.sidecar.SetService(portal)
	h.sidecar.Refuse(relay.ReasonDraining)
	refused(relay.ReasonDraining)
}

// Guards against a drain that ends open flows, in particular those whose packets come
// from another balancer than before.
func TestDrainingKeepsOpenFlows(t *testing.T) {
	h := newHarness(t)
	h.open()
	h.sidecar.Refuse(relay.ReasonDraining)
	h.forward(otherBalancer, false, packet(true, acks, 102, 501, 100))
	h.c.Assert(h.toUpstream, qt.Equals, 3)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.Kind(0))
}

// Guards against packets of an unknown flow that reach an upstream which does not hold
// it, and against an owner that does not respond to a search.
func TestSearch(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	data := packet(true, acks, 2, 501, 100)
	h.forward(otherBalancer, true, data)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
	h.forward(otherBalancer, false, data)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindNotHeld)
	h.c.Assert(h.toUpstream, qt.Equals, 0)
	h.open()
	h.forward(otherBalancer, true, data)
	h.c.Assert(h.messages, qt.HasLen, 2)
	h.c.Assert(h.messages[0].Kind, qt.Equals, relay.KindClaimed)
	h.c.Assert(h.receivers[1], qt.Equals, sibling)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindHint)
}

// Guards against claiming a flow whose client has acknowledged another upstream. The
// balancer sent the request to both, and both accepted it.
func TestClientAcknowledgedOtherUpstream(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.forward(balancer, false, packet(true, opens, 1, 0, 0))
	h.sidecar.HandleUpstream(h.now, packet(false, opens|acks, 500, 2, 0))
	h.forward(balancer, false, packet(true, acks, 2, 4_000_000, 100))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindNotHeld)
	h.c.Assert(h.toUpstream, qt.Equals, 1)
}

// Guards against the loss of open flows when a sidecar restarts while its upstream keeps
// running.
func TestLearnsFlowsAfterRestart(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetLearning(true)
	h.forward(balancer, true, packet(true, acks, 2, 501, 100))
	h.c.Assert(h.toUpstream, qt.Equals, 1)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.Kind(0))
	h.sidecar.HandleUpstream(h.now, packet(false, acks, 501, 102, 50))
	h.c.Assert(h.messages[0].Kind, qt.Equals, relay.KindClaimed)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindHint)
	h.c.Assert(h.toClient, qt.Equals, 1)
}

// Guards against claiming a probed flow whose packet the upstream returns because it does
// not hold the flow.
func TestReturnedProbeIsAbsent(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetLearning(true)
	h.forward(balancer, true, packet(true, acks, 2, 501, 100))
	h.sidecar.HandleUpstream(h.now, packet(true, acks|returned, 2, 501, 100))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
	h.c.Assert(h.toClient, qt.Equals, 0)
}

// Guards against the reset of an open flow by an upstream that was only probed for it and
// does not hold it.
func TestResetOfProbedFlowIsNotSentToClient(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetLearning(true)
	h.forward(balancer, true, packet(true, acks, 2, 501, 100))
	h.sidecar.HandleUpstream(h.now, packet(false, reset, 501, 102, 0))
	h.c.Assert(h.toClient, qt.Equals, 0)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
}

// Guards against a reported load that never falls after requests and flows have ended, so
// that balancers place no new flows here.
func TestLoad(t *testing.T) {
	h := newHarness(t)
	h.open()
	h.c.Assert(h.sidecar.Load(), qt.Equals, relay.Load{Active: 1, Flows: 1})
	h.sidecar.HandleUpstream(h.now, packet(false, acks, 501, 102, 50))
	h.c.Assert(h.sidecar.Load(), qt.Equals, relay.Load{Flows: 1})
	h.forward(balancer, false, packet(true, acks|final, 102, 551, 0))
	h.sidecar.HandleUpstream(h.now, packet(false, acks|final, 551, 103, 0))
	h.now += 10 * clock.Second
	h.sidecar.Tick(h.now)
	h.c.Assert(h.sidecar.Load(), qt.Equals, relay.Load{})
}

// Guards against the loss of a new flow's request that the upstream returns because its
// queue is full.
func TestReturnedRequestIsRefused(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.forward(balancer, false, packet(true, opens, 1, 0, 0))
	h.sidecar.HandleUpstream(h.now, packet(true, opens|returned, 1, 0, 0))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindRefused)
	h.c.Assert(h.sidecar.Load(), qt.Equals, relay.Load{})
}

// Guards against a search that leaves out a sidecar, and against notifying the balancer
// that no upstream holds the flow before all sidecars have responded.
func TestSearchAmongAll(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{otherSibling, self, sibling, otherSibling})
	h.search(packet(true, acks, 2, 501, 100))
	h.c.Assert(h.messages, qt.HasLen, 2)
	for i, to := range []netip.AddrPort{sibling, otherSibling} {
		h.c.Assert(h.receivers[i], qt.Equals, to)
		h.c.Assert(h.messages[i].Kind, qt.Equals, relay.KindForward)
		h.c.Assert(h.messages[i].Requester, qt.Equals, balancer)
	}
	h.takeLastKind()
	h.reportAbsent(otherSibling)
	h.reportAbsent(otherSibling)
	h.c.Assert(h.messages, qt.HasLen, 0)
	h.reportAbsent(sibling)
	h.c.Assert(h.messages, qt.HasLen, 1)
	h.c.Assert(h.messages[0].Queried, qt.Equals, uint16(3))
	h.c.Assert(h.receivers[0], qt.Equals, balancer)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
}

// Guards against querying all sidecars although an owner hint is known, and against a
// search that ends without a result because the hint is out of date.
func TestSearchByHint(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.sidecar.HandleMessage(h.now, otherSibling, relay.Message{Kind: relay.KindHint, Keys: []segment.Key{key}})
	h.search(packet(true, acks, 2, 501, 100))
	h.c.Assert(h.messages, qt.HasLen, 1)
	h.c.Assert(h.receivers[0], qt.Equals, otherSibling)
	h.takeLastKind()
	h.reportAbsent(otherSibling)
	h.c.Assert(h.messages, qt.HasLen, 2)
}

// Guards against a search among siblings for a flow that the sidecar's own upstream holds.
func TestSearchFindsOwnFlow(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.open()
	h.search(packet(true, acks, 102, 501, 100))
	h.c.Assert(h.messages, qt.HasLen, 1)
	h.c.Assert(h.receivers[0], qt.Equals, balancer)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindClaimed)
}

// Guards against locators that do not learn the owner of a long flow, and against hints
// for short flows.
func TestLongFlowsArePublished(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.open()
	h.sidecar.Tick(h.now)
	h.c.Assert(h.messages, qt.HasLen, 0)
	h.now += 500
	h.sidecar.Tick(h.now)
	sent := len(h.messages)
	h.c.Assert(sent == 1 || sent == 2, qt.IsTrue)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindHint)
	h.now += 500
	h.sidecar.Tick(h.now)
	h.c.Assert(h.messages, qt.HasLen, 0)
}

// Guards against offering all new flows to an upstream that has ended without
// deregistering, and against a silent upstream that gets no trial flow.
func TestSilentUpstream(t *testing.T) {
	h := newHarness(t)
	h.sidecar.Accept()
	offer := func(port uint16) {
		raw := packet(true, opens, 1, 0, 0)
		binary.LittleEndian.PutUint16(raw[16:], port)
		h.forward(balancer, false, raw)
	}
	for port := range uint16(4) {
		offer(1000 + port)
	}
	h.c.Assert(h.toUpstream, qt.Equals, 4)
	h.now += 200
	offer(1010)
	h.c.Assert(h.toUpstream, qt.Equals, 4)
	h.c.Assert(h.messages[0].Reason, qt.Equals, relay.ReasonSilent)
	h.now += 200
	offer(1011)
	offer(1012)
	h.c.Assert(h.toUpstream, qt.Equals, 5)
	h.sidecar.HandleUpstream(h.now, packet(false, opens|acks, 500, 2, 0))
	offer(1013)
	h.c.Assert(h.toUpstream, qt.Equals, 6)
}

// Guards against searches that get no response because the flow was probed at an upstream
// that does not run.
func TestProbedFlowIsForgotten(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetLearning(true)
	h.forward(balancer, true, packet(true, acks, 2, 501, 100))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.Kind(0))
	h.sidecar.SetLearning(false)
	h.forward(balancer, true, packet(true, acks, 2, 501, 100))
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindAbsent)
	h.c.Assert(h.sidecar.Load(), qt.Equals, relay.Load{})
}

// Guards against requests whose response or loss is missing from the log.
func TestRequestsAreReported(t *testing.T) {
	h := newHarness(t)
	h.open()
	h.now += 40
	h.sidecar.HandleUpstream(h.now, packet(false, acks, 501, 102, 50))
	e := h.events[len(h.events)-1]
	h.c.Assert(e.Outcome, qt.Equals, sidecar.OutcomeAnswered)
	h.c.Assert(e.Request, qt.Equals, "\x00\x00")
	h.c.Assert(e.Status, qt.Equals, 200)
	h.c.Assert(int(e.ResponseTime), qt.Equals, 40)

	h.forward(balancer, false, packet(true, acks, 102, 551, 100))
	h.sidecar.HandleUpstream(h.now, packet(true, acks|returned, 102, 551, 100))
	h.c.Assert(h.events[len(h.events)-2].Outcome, qt.Equals, sidecar.OutcomeLost)
}

// Guards against a crashed upstream that is not detected although packets are sent to it.
func TestUpstreamUnresponsive(t *testing.T) {
	h := newHarness(t)
	h.open()
	h.now += 249
	h.c.Assert(h.sidecar.UpstreamUnresponsive(h.now), qt.IsFalse)
	h.now++
	h.c.Assert(h.sidecar.UpstreamUnresponsive(h.now), qt.IsTrue)
	h.sidecar.HandleUpstream(h.now, packet(false, acks, 501, 102, 50))
	h.c.Assert(h.sidecar.UpstreamUnresponsive(h.now), qt.IsFalse)
}

// Guards against a sidecar at a reused address that reports the absence of a flow of
// another service: the balancer would reset the flow although it is open.
func TestSearchForAnotherService(t *testing.T) {
	h := newHarness(t)
	h.sidecar.SetSiblings(h.now, []netip.AddrPort{sibling, otherSibling})
	h.sidecar.HandleMessage(h.now, balancer, relay.Message{
		Kind: relay.KindSearch, Service: platform.ServiceID("weighbridge"), Packet: packet(true, acks, 2, 501, 100),
	})
	h.c.Assert(h.messages, qt.HasLen, 1)
	h.c.Assert(h.takeLastKind(), qt.Equals, relay.KindNotHeld)
}
