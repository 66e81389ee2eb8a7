package measure

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/wire/quic"
)

const (
	// keepAliveInterval is the time between the response to a datagram and the next
	// datagram on a flow. The sidecar responds to every datagram.
	keepAliveInterval = 2 * second
	// The retransmission timeout starts at firstTimeout and doubles with every
	// retransmission up to maxTimeout.
	firstTimeout = 100 * millisecond
	maxTimeout   = second
	// stallLimit is how long a response may take before the flow counts as broken.
	stallLimit = 5 * second
	// Streams last between minStreamDuration and maxStreamDuration.
	minStreamDuration = 30 * second
	maxStreamDuration = 90 * second
	// maxReactionTime is the longest time until a client acts on GOAWAY.
	maxReactionTime = 200 * millisecond
)

// flowClient is a client that keeps one long stream open.
type flowClient struct {
	sim *simulation
	// current is the connection that the client opened last. draining is an older
	// connection whose stream continues. request selects between them.
	current, draining *conn
}

// conn is a flow, that is, a QUIC connection of a client with one long stream.
type conn struct {
	client      *flowClient
	address     netip.AddrPort
	packet      []byte
	owner       *sidecar
	established bool
	ended       bool
	// unansweredSince is when the outstanding datagram was first sent. It is negative
	// if there is none.
	unansweredSince micros
}

// open opens another connection, which becomes the current one.
func (c *flowClient) open() {
	sim := c.sim
	sim.portCount++
	opened := &conn{
		client: c, unansweredSince: -1,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(sim.portCount >> 24), byte(sim.portCount >> 16)}), uint16(sim.portCount)),
	}
	// An Initial packet of QUIC version 1 with a connection ID of 8 bytes.
	opened.packet = []byte{0xc0, 0, 0, 0, 1, 8}
	opened.packet = binary.BigEndian.AppendUint64(opened.packet, sim.network.Uint64())
	opened.packet = append(opened.packet, make([]byte, 16)...)
	c.current = opened
	opened.send()
}

// assignOwner sets the owner and a connection ID that the owner encoded.
func (n *conn) assignOwner(s *sidecar, nonce uint64) {
	n.owner = s
	id := quic.EncodeConnectionID(s.sim.ring.Active(), s.sim.service, s.owner, nonce, byte(nonce))
	n.packet = append(append([]byte{0x40}, id[:]...), make([]byte, 8)...)
}

// send sends a datagram and retransmits it until a response arrives.
func (n *conn) send() {
	if n.ended || n.unansweredSince >= 0 {
		return
	}
	n.unansweredSince = n.client.sim.time
	n.transmit(n.unansweredSince, firstTimeout)
}

// transmit sends the datagram that was first sent at the given time, and schedules its
// retransmission.
func (n *conn) transmit(since, timeout micros) {
	sim := n.client.sim
	if n.ended || n.unansweredSince != since {
		return
	}
	if sim.time-since > stallLimit {
		n.fail()
		return
	}
	sim.sendToFabric(n, n.packet)
	sim.after(timeout, func() { n.transmit(since, min(2*timeout, maxTimeout)) })
}

// receiveResponse handles a response to the outstanding datagram.
func (n *conn) receiveResponse() {
	if n.ended || n.unansweredSince < 0 {
		return
	}
	sim := n.client.sim
	n.unansweredSince = -1
	sim.after(keepAliveInterval, n.send)
	if !n.established {
		n.established = true
		sim.establishedFlows++
		sim.after(sim.streamDuration(), n.end)
	}
}

// streamDuration returns how long a new stream lasts. A stream that starts during the
// warm-up lasts for a random part of its full duration, so that these streams do not
// all end together.
func (sim *simulation) streamDuration() micros {
	full := minStreamDuration + micros(sim.network.Int64N(int64(maxStreamDuration-minStreamDuration)))
	if sim.time < warmUp {
		return micros(sim.network.Int64N(int64(full)))
	}
	return full
}

// fail ends a flow that was reset or has stalled. If it was established, it counts as
// broken.
func (n *conn) fail() {
	if n.ended {
		return
	}
	n.client.sim.countBroken(n)
	n.end()
}

// end closes the connection. If it was the current one, the client opens another one.
// This models a new client that replaces the old one.
func (n *conn) end() {
	if n.ended {
		return
	}
	n.ended = true
	if n.owner != nil {
		delete(n.owner.conns, n)
	}
	c := n.client
	if c.draining == n {
		c.draining = nil
	}
	if c.current == n {
		c.open()
	}
}

// receiveGoAway opens another connection for requests after a reaction time. The
// stream on the old connection continues.
func (c *flowClient) receiveGoAway(n *conn) {
	if n.ended || c.current != n {
		return
	}
	sim := c.sim
	sim.after(micros(sim.network.Int64N(int64(maxReactionTime))), func() {
		if n.ended || c.current != n {
			return
		}
		c.draining = n
		c.open()
	})
}

// request sends a request to the owner of the current connection, or of the draining
// connection during the handshake of the current one. Without an owner the request is
// dropped.
func (c *flowClient) request(r *request) {
	n := c.current
	if !n.established && c.draining != nil {
		n = c.draining
	}
	if n.owner == nil {
		return
	}
	sim := c.sim
	s := n.owner
	// The time selects the data centre of the balancer through which the request passes.
	sim.after(sim.deployment.toClient+sim.latency(int(sim.time)%dataCentreCount, s.dataCentre), func() { s.receive(r) })
}
