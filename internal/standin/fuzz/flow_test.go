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
	// Times of the fake QUIC endpoints. A client that hears nothing for
	// idleTimeout gives its flow up.
	idleTimeout      = 30 * clock.Second
	handshakeTimeout = 10 * clock.Second
	keepAlive        = 5 * clock.Second
	retransmit       = clock.Second
	// deliveryTime is the longest way of one packet without faults: client,
	// balancer, sibling, owner.
	deliveryTime = 10 * maxLatency
)

type flowState int

const (
	flowOpening flowState = iota
	flowOpen
	flowClosed
	flowBroken
	flowFailed
)

// flow is a QUIC connection as its client sees it.
type flow struct {
	id         int
	service    int
	stream     bool
	client     netip.AddrPort
	state      flowState
	chosen     []byte
	assigned   []byte
	generation keyring.Generation
	owner      *process
	began      clock.Millis
	heard      clock.Millis
	attempts   []*attempt
}

// session is a flow as the sidecar sees it.
type session struct {
	flow       *flow
	assigned   []byte
	generation keyring.Generation
	answers    map[*attempt]*answer
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

// message is what a packet carries. A real packet names it by its index.
type message struct {
	kind messageKind
	flow *flow
	// service is the one to whose address the client sent the packet.
	service   int
	from      *process
	session   *session
	attempt   *attempt
	delivered bool
}

func (w *world) packet(header []byte, m message) []byte {
	w.packets = append(w.packets, &m)
	packet := binary.BigEndian.AppendUint64(header, uint64(len(w.packets)-1))
	return append(packet, make([]byte, 16)...)
}

func (w *world) unpack(packet []byte) *message {
	return w.packets[binary.BigEndian.Uint64(packet[len(packet)-24:])]
}

func (w *world) openFlow(service int, stream bool, chosen int) *flow {
	id := len(w.flows) + 1
	f := &flow{
		id: id, service: service, stream: stream, began: w.now, heard: w.now,
		client: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(id >> 8), byte(id)}), 9000),
	}
	for range chosen {
		f.chosen = append(f.chosen, byte(w.random.Uint32()))
	}
	w.flows = append(w.flows, f)
	w.tickFlow(f)
	return f
}

// tickFlow is the timer of a client: handshake, keep-alive, retransmission.
func (w *world) tickFlow(f *flow) {
	switch {
	case f.state > flowOpen:
		return
	case f.state == flowOpening && w.now-f.began >= handshakeTimeout:
		f.state = flowFailed
		return
	case f.state == flowOpening:
		w.sendClient(f, f.service, message{kind: messageInitial, flow: f})
	case w.now-f.heard >= idleTimeout:
		f.state = flowBroken
		w.oracle.broken(f)
		return
	case w.now-f.heard >= keepAlive:
		w.sendClient(f, f.service, message{kind: messagePing, flow: f})
	}
	for _, a := range f.attempts {
		w.tickAttempt(a)
	}
	w.schedule(retransmit, nil, func() { w.tickFlow(f) })
}

// fabric returns the balancer that gets the next packet of a client. The fabric
// knows which balancers are ready, but not which are paused.
func (w *world) fabric() *process {
	var ready []*process
	for _, b := range w.live(true) {
		if b.ready >= 0 && !(b.leaving && w.now-b.left > fabricDelay) {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.random.IntN(len(ready))]
}

// sendClient sends a packet of a flow to the address of a service.
func (w *world) sendClient(f *flow, service int, m message) {
	b := w.fabric()
	if b == nil {
		return
	}
	header := append([]byte{0x40}, f.assigned...)
	if f.state == flowOpening {
		header = append([]byte{0xc0, 0, 0, 0, 1, byte(len(f.chosen))}, f.chosen...)
	}
	m.service = service
	packet := w.packet(header, m)
	w.oracle.sent(w.unpack(packet), b)
	for _, delay := range w.copies() {
		w.schedule(delay, b, func() { b.fromClient(service, slices.Clone(packet), f.client) })
	}
}

// copies returns the delay of each copy of a datagram that arrives.
func (w *world) copies() []clock.Millis {
	delay := w.latency()
	if !w.faulty {
		return []clock.Millis{delay}
	}
	switch w.random.IntN(10) {
	case 0:
		return nil
	case 1:
		return []clock.Millis{delay, delay + w.lateness()}
	case 2:
		return []clock.Millis{delay + w.lateness()}
	default:
		return []clock.Millis{delay}
	}
}

func (w *world) lateness() clock.Millis { return clock.Millis(w.random.Int64N(int64(maxLateness))) }

func (p *process) fromClient(service int, packet []byte, from netip.AddrPort) {
	p.inbound = p.w.now
	if !p.opens(service) {
		return
	}
	id := identity.NewServiceID(customer, services[service])
	d := p.w.decisions.route(p, id, packet)
	if !d.Forward() {
		return
	}
	header := tunnel.Header{Type: tunnel.TypeInbound, Flags: d.Flags, Service: id, Owner: d.Owner, Client: from}
	p.sendTunnel(header, packet, d.Target, netip.AddrPort{})
}

// sendTunnel seals a datagram. via is the balancer of a relayed one.
func (p *process) sendTunnel(header tunnel.Header, payload []byte, target, via netip.AddrPort) {
	w := p.w
	buffer := make([]byte, len(payload)+tunnel.Overhead)
	copy(buffer[tunnel.HeaderSize:], payload)
	sealed := p.sealer.Seal(p.keys.Ring().Active(), header, buffer, len(payload))
	for _, delay := range w.copies() {
		datagram := slices.Clone(sealed)
		w.schedule(delay, nil, func() { w.arrive(p, datagram, target, via) })
	}
}

// arrive passes a datagram to the process that has the address now.
func (w *world) arrive(from *process, datagram []byte, target, via netip.AddrPort) {
	q := w.atAddress(target)
	if q == nil || w.cut(from, q) {
		return
	}
	if !via.IsValid() {
		via = w.places[from.at].address
	}
	w.schedule(0, q, func() { q.fromTunnel(datagram, via) })
}

func (p *process) fromTunnel(datagram []byte, via netip.AddrPort) {
	w := p.w
	header, payload, err := tunnel.Open(p.keys.Ring(), datagram)
	if err != nil {
		return
	}
	if p.balancer != nil {
		if header.Type == tunnel.TypeOutbound {
			m := w.unpack(payload)
			w.schedule(w.latency(), nil, func() { w.clientReceives(header.Client, m) })
		}
		return
	}
	d := w.decisions.dispatch(p, header, payload)
	switch d.Verdict {
	case client.Deliver:
		w.decisions.heard(p, header.Client, via)
		p.receivePacket(w.unpack(payload))
	case client.Relay:
		if to, ok := p.exchange.Find(d.Owner); ok {
			header.Owner, header.Flags = d.Owner, tunnel.FlagRelayed
			p.sendTunnel(header, payload, to.Tunnel, via)
		}
	case client.Receive:
		p.exchange.Receive(header.Sender, payload, w.now)
	default:
	}
}

// receivePacket is the QUIC stack of a sidecar.
func (p *process) receivePacket(m *message) {
	f := m.flow
	p.w.oracle.entered(p, m)
	s := p.held[f]
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
		p.reply(s, message{kind: messagePong, flow: f, from: p})
	case messageRequest:
		p.receiveRequest(s, m.attempt)
	default:
	}
}

// accept creates a flow. After the start of a stop the server closes new flows at
// once, so that the client opens another one.
func (p *process) accept(f *flow) *session {
	p.w.oracle.accepted(p, f)
	if p.leaving {
		p.reply(&session{flow: f}, message{kind: messageRefused, flow: f, from: p})
		return nil
	}
	p.nonce++
	keys := p.keys.Ring().Active()
	id := quic.EncodeConnectionID(keys, p.serviceID, p.id, p.nonce, 0)
	s := &session{flow: f, assigned: id[:], generation: keys.Generation(), answers: map[*attempt]*answer{}}
	p.held[f] = s
	p.sessions = append(p.sessions, s)
	p.reply(s, message{kind: messageAccepted, flow: f, from: p, session: s})
	return s
}

// reply sends a packet to the client through a balancer.
func (p *process) reply(s *session, m message) {
	via, ok := p.paths.Choose(s.flow.client)
	if !ok {
		return
	}
	header := tunnel.Header{Type: tunnel.TypeOutbound, Service: p.serviceID, Owner: p.id, Client: s.flow.client}
	p.sendTunnel(header, p.w.packet([]byte{0x40}, m), via, netip.AddrPort{})
}

func (w *world) clientReceives(to netip.AddrPort, m *message) {
	f := m.flow
	if f.client != to {
		w.oracle.fail(3, "a packet for %s reached %s", f.client, to)
		return
	}
	switch {
	case f.state == flowOpening && m.kind == messageAccepted:
		f.state, f.owner, f.heard = flowOpen, m.from, w.now
		f.assigned, f.generation = m.session.assigned, m.session.generation
	case f.state == flowOpening && m.kind == messageRefused:
		f.state = flowFailed
	case f.state == flowOpen && m.from == f.owner:
		f.heard = w.now
		if m.kind == messageResponse {
			w.answered(m.attempt)
		}
	}
}

// forget drops the state of flows that have ended. Sidecars learn of it by the
// idle timeout, which matters to none of the decisions.
func (p *process) forget() {
	p.sessions = slices.DeleteFunc(p.sessions, func(s *session) bool {
		f := s.flow
		ended := f.state > flowOpen || f.state == flowOpen && f.owner != p
		if ended {
			delete(p.held, f)
		}
		return ended
	})
}
