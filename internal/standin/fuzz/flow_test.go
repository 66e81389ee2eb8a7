package fuzz_test

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

const (
	// idleTimeout is how long a client receives nothing before it abandons its flow.
	idleTimeout        = 30 * clock.Second
	handshakeTimeout   = 10 * clock.Second
	keepAliveInterval  = 5 * clock.Second
	retransmitInterval = clock.Second
	// deliveryTime exceeds the longest time that a packet takes to reach its owner
	// without faults. The longest path leads from the client through a balancer and a
	// sibling.
	deliveryTime = 10 * maxLatency
)

type flowState int

const (
	flowPending flowState = iota
	flowOpen
	// flowClosed is the state after a planned end.
	flowClosed
	// flowBroken is the state after the idle timeout of an open flow.
	flowBroken
	// flowFailed is the state after a handshake that was refused or timed out.
	flowFailed
)

// flow is the client's view of a QUIC connection.
type flow struct {
	id      int
	service int
	// stream marks a flow that carries a stream, which a planned stop must not end.
	stream bool
	client netip.AddrPort
	state  flowState
	// initialID is the connection ID that the client chose for the handshake.
	initialID []byte
	// assignedID is the connection ID that the owner assigned.
	assignedID []byte
	// generation is the generation of the keys in assignedID.
	generation keyring.Generation
	owner      *process
	openedAt   clock.Millis
	// lastSeen is when the client last received a packet of this flow.
	lastSeen clock.Millis
	attempts []*attempt
}

// session is the sidecar's view of a flow.
type session struct {
	flow       *flow
	assignedID []byte
	generation keyring.Generation
	// responses has an entry for each attempt that arrived. The entry is nil until the
	// sidecar has responded.
	responses map[*attempt]*httpResponse
}

type messageKind int

const (
	messageInitial messageKind = iota
	messageAccepted
	messageRefused
	messagePing
	messagePong
	messageRequest
	messageResponse
)

// message is the content of a packet. The packet itself carries only the index of the
// message in simulation.messages.
type message struct {
	kind messageKind
	flow *flow
	// service is the service to whose address the client sent the packet.
	service   int
	from      *process
	session   *session
	attempt   *attempt
	delivered bool
}

// newPacket stores a message and returns a packet that carries its index.
func (sim *simulation) newPacket(header []byte, m message) []byte {
	sim.messages = append(sim.messages, &m)
	encodedPacket := binary.BigEndian.AppendUint64(header, uint64(len(sim.messages)-1))
	return append(encodedPacket, make([]byte, 16)...)
}

func (sim *simulation) messageOf(packet []byte) *message {
	return sim.messages[binary.BigEndian.Uint64(packet[len(packet)-24:])]
}

func (sim *simulation) openFlow(service int, stream bool, idLength int) *flow {
	id := len(sim.flows) + 1
	f := &flow{
		id: id, service: service, stream: stream, openedAt: sim.now, lastSeen: sim.now,
		client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(id >> 8), byte(id)}), 9000),
	}
	for range idLength {
		f.initialID = append(f.initialID, byte(sim.random.Uint32()))
	}
	sim.flows = append(sim.flows, f)
	sim.tickFlow(f)
	return f
}

// tickFlow runs the timers of a client: handshake, keep-alive, retransmission and
// idle timeout.
func (sim *simulation) tickFlow(f *flow) {
	switch {
	case f.state > flowOpen:
		return
	case f.state == flowPending && sim.now-f.openedAt >= handshakeTimeout:
		f.state = flowFailed
		return
	case f.state == flowPending:
		sim.sendClient(f, f.service, message{kind: messageInitial, flow: f})
	case sim.now-f.lastSeen >= idleTimeout:
		f.state = flowBroken
		sim.oracle.flowTimedOut(f)
		return
	case sim.now-f.lastSeen >= keepAliveInterval:
		sim.sendClient(f, f.service, message{kind: messagePing, flow: f})
	}
	for _, a := range f.attempts {
		sim.tickAttempt(a)
	}
	sim.schedule(retransmitInterval, nil, func() { sim.tickFlow(f) })
}

// selectBalancer returns the balancer to which the fabric sends the next packet of a
// client, or nil if there is none. The fabric detects which balancers are ready, and
// after fabricDelay which are leaving. It does not detect which are paused.
func (sim *simulation) selectBalancer() *process {
	var ready []*process
	for _, b := range sim.live(true) {
		if b.readyAt >= 0 && !(b.leaving && sim.now-b.leavingSince > fabricDelay) {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[sim.random.IntN(len(ready))]
}

// sendClient sends a packet from the client of a flow to the address of a service.
func (sim *simulation) sendClient(f *flow, service int, m message) {
	b := sim.selectBalancer()
	if b == nil {
		return
	}
	header := append([]byte{0x40}, f.assignedID...)
	if f.state == flowPending {
		header = append([]byte{0xc0, 0, 0, 0, 1, byte(len(f.initialID))}, f.initialID...)
	}
	m.service = service
	packet := sim.newPacket(header, m)
	sim.oracle.packetSent(sim.messageOf(packet), b)
	for _, delay := range sim.arrivalDelays() {
		sim.schedule(delay, b, func() { b.receiveFromClient(service, slices.Clone(packet), f.client) })
	}
}

// arrivalDelays returns a delay for each arrival of a datagram. A faulty network
// loses, duplicates or delays the datagram with a probability of 10 % each.
func (sim *simulation) arrivalDelays() []clock.Millis {
	delay := sim.latency()
	if !sim.faulty {
		return []clock.Millis{delay}
	}
	switch sim.random.IntN(10) {
	case 0:
		return nil
	case 1:
		return []clock.Millis{delay, delay + sim.extraDelay()}
	case 2:
		return []clock.Millis{delay + sim.extraDelay()}
	default:
		return []clock.Millis{delay}
	}
}

// extraDelay returns a random additional delay of a faulty network.
func (sim *simulation) extraDelay() clock.Millis {
	return clock.Millis(sim.random.Int64N(int64(maxExtraDelay)))
}

func (p *process) receiveFromClient(service int, packet []byte, from netip.AddrPort) {
	p.lastInbound = p.sim.now
	if !p.listensFor(service) {
		return
	}
	id := identity.NewServiceID(customer, services[service])
	d := p.sim.decisions.route(p, id, packet)
	if !d.Forward() {
		return
	}
	header := tunnel.Header{Type: tunnel.TypeInbound, Flags: d.Flags, Service: id, Owner: d.Owner, Client: from}
	p.sendTunnel(header, packet, d.Target, netip.AddrPort{})
}

// sendTunnel seals and sends a datagram. For a relayed datagram, via is the balancer
// from which the datagram came. For other datagrams it is the zero value.
func (p *process) sendTunnel(header tunnel.Header, payload []byte, target, via netip.AddrPort) {
	sim := p.sim
	buffer := make([]byte, len(payload)+tunnel.Overhead)
	copy(buffer[tunnel.HeaderSize:], payload)
	sealed := p.sealer.Seal(p.keys.Ring().Active(), header, buffer, len(payload))
	for _, delay := range sim.arrivalDelays() {
		datagram := slices.Clone(sealed)
		sim.schedule(delay, nil, func() { sim.deliverTunnel(p, datagram, target, via) })
	}
}

// deliverTunnel passes a datagram to the process that has the target address on
// arrival.
func (sim *simulation) deliverTunnel(from *process, datagram []byte, target, via netip.AddrPort) {
	q := sim.processByAddress(target)
	if q == nil || sim.cut(from, q) {
		return
	}
	if !via.IsValid() {
		via = sim.locations[from.location].address
	}
	sim.schedule(0, q, func() { q.receiveTunnel(datagram, via) })
}

func (p *process) receiveTunnel(datagram []byte, via netip.AddrPort) {
	sim := p.sim
	header, payload, err := tunnel.Open(p.keys.Ring(), datagram)
	if err != nil {
		return
	}
	if p.balancer != nil {
		if header.Type == tunnel.TypeOutbound {
			m := sim.messageOf(payload)
			sim.schedule(sim.latency(), nil, func() { sim.clientReceives(header.Client, m) })
		}
		return
	}
	d := sim.decisions.dispatch(p, header, payload)
	switch d.Verdict {
	case client.Deliver:
		sim.decisions.recordPath(p, header.Client, via)
		p.receivePacket(sim.messageOf(payload))
	case client.Relay:
		if to, ok := p.loadExchange.Find(d.Owner); ok {
			header.Owner, header.Flags = d.Owner, tunnel.FlagRelayed
			p.sendTunnel(header, payload, to.Tunnel, via)
		}
	case client.Receive:
		p.loadExchange.Receive(header.Sender, payload, sim.now)
	default:
	}
}

// receivePacket stands in for the QUIC stack of a sidecar.
func (p *process) receivePacket(m *message) {
	f := m.flow
	p.sim.oracle.packetEntered(p, m)
	s := p.sessionsByFlow[f]
	if m.kind == messageInitial {
		if s == nil {
			s = p.accept(f)
		}
		return
	}
	if s == nil || f.owner != p {
		return
	}
	m.delivered = true
	switch m.kind {
	case messagePing:
		p.respond(s, message{kind: messagePong, flow: f, from: p})
	case messageRequest:
		p.receiveRequest(s, m.attempt)
	default:
	}
}

// accept creates the session of a new flow. During a planned stop it refuses the flow at
// once. A real client then opens another one.
func (p *process) accept(f *flow) *session {
	p.sim.oracle.flowOffered(p, f)
	if p.leaving {
		p.respond(&session{flow: f}, message{kind: messageRefused, flow: f, from: p})
		return nil
	}
	p.nonce++
	keys := p.keys.Ring().Active()
	id := quic.EncodeConnectionID(keys, p.serviceID, p.id, p.nonce, 0)
	s := &session{flow: f, assignedID: id[:], generation: keys.Generation(), responses: map[*attempt]*httpResponse{}}
	p.sessionsByFlow[f] = s
	p.sessions = append(p.sessions, s)
	p.respond(s, message{kind: messageAccepted, flow: f, from: p, session: s})
	return s
}

// respond sends a packet to the client through the balancer that Paths selects.
func (p *process) respond(s *session, m message) {
	via, ok := p.paths.Choose(s.flow.client)
	if !ok {
		return
	}
	header := tunnel.Header{Type: tunnel.TypeOutbound, Service: p.serviceID, Owner: p.id, Client: s.flow.client}
	p.sendTunnel(header, p.sim.newPacket([]byte{0x40}, m), via, netip.AddrPort{})
}

func (sim *simulation) clientReceives(to netip.AddrPort, m *message) {
	f := m.flow
	if f.client != to {
		sim.oracle.fail(3, "a packet for %s reached %s", f.client, to)
		return
	}
	switch {
	case f.state == flowPending && m.kind == messageAccepted:
		f.state, f.owner, f.lastSeen = flowOpen, m.from, sim.now
		f.assignedID, f.generation = m.session.assignedID, m.session.generation
	case f.state == flowPending && m.kind == messageRefused:
		f.state = flowFailed
	case f.state == flowOpen && m.from == f.owner:
		f.lastSeen = sim.now
		if m.kind == messageResponse {
			sim.receiveResponse(m.attempt)
		}
	}
}

// dropEndedSessions drops the sessions of flows that have ended. A real sidecar detects
// the end by its idle timeout, but no decision depends on that difference.
func (p *process) dropEndedSessions() {
	p.sessions = slices.DeleteFunc(p.sessions, func(s *session) bool {
		f := s.flow
		ended := f.state > flowOpen || f.state == flowOpen && f.owner != p
		if ended {
			delete(p.sessionsByFlow, f)
		}
		return ended
	})
}
