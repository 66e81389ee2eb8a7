package measure

import (
	"encoding/binary"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/wire/quic"
)

const (
	// keepAlive is the period of datagrams on a flow, which the sidecar answers.
	keepAlive = 2 * second
	// firstTimeout doubles with every retransmission up to maxTimeout.
	firstTimeout = 100 * millisecond
	maxTimeout   = second
	// stallLimit is how late an answer may be before the flow counts as broken.
	stallLimit = 5 * second
	// Streams last from minStream to maxStream.
	minStream = 30 * second
	maxStream = 90 * second
	// reactionTime is the longest time until a client acts on GOAWAY.
	reactionTime = 200 * millisecond
)

// phone is a client. It keeps one long stream open and sends requests on the
// connection that it opened last.
type phone struct {
	world *world
	// current takes new requests. draining is an older one whose stream goes on.
	current, draining *conn
}

// conn is a QUIC connection of a client with one long stream.
type conn struct {
	phone       *phone
	address     netip.AddrPort
	packet      []byte
	owner       *sidecar
	established bool
	ended       bool
	// unanswered is when the first datagram was sent that has no answer yet, or
	// negative.
	unanswered micros
}

func (c *phone) open() {
	w := c.world
	w.ports++
	n := &conn{
		phone: c, unanswered: -1,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(w.ports >> 24), byte(w.ports >> 16)}), uint16(w.ports)),
	}
	// An Initial packet of QUIC version 1 with a connection ID of 8 bytes.
	n.packet = []byte{0xc0, 0, 0, 0, 1, 8}
	n.packet = binary.BigEndian.AppendUint64(n.packet, w.network.Uint64())
	n.packet = append(n.packet, make([]byte, 16)...)
	c.current = n
	n.send()
}

// own gives the connection an ID of its owner.
func (n *conn) own(s *sidecar, nonce uint64) {
	n.owner = s
	id := quic.EncodeConnectionID(s.world.ring.Active(), s.world.service, s.owner, nonce, byte(nonce))
	n.packet = append(append([]byte{0x40}, id[:]...), make([]byte, 8)...)
}

// send sends a datagram and repeats it until an answer comes.
func (n *conn) send() {
	if n.ended || n.unanswered >= 0 {
		return
	}
	n.unanswered = n.phone.world.time
	n.transmit(n.unanswered, firstTimeout)
}

func (n *conn) transmit(since, timeout micros) {
	w := n.phone.world
	if n.ended || n.unanswered != since {
		return
	}
	if w.time-since > stallLimit {
		n.breakOff()
		return
	}
	w.enter(n, n.packet)
	w.after(timeout, func() { n.transmit(since, min(2*timeout, maxTimeout)) })
}

// heard takes an answer.
func (n *conn) heard() {
	if n.ended || n.unanswered < 0 {
		return
	}
	w := n.phone.world
	n.unanswered = -1
	w.after(keepAlive, n.send)
	if !n.established {
		n.established = true
		w.established++
		w.after(w.lifetime(), n.end)
	}
}

// lifetime returns how long a new stream lasts. Those of the start are caught at a
// random moment of their lives, so that they do not all end together.
func (w *world) lifetime() micros {
	life := minStream + micros(w.network.Int64N(int64(maxStream-minStream)))
	if w.time < warmUp {
		return micros(w.network.Int64N(int64(life)))
	}
	return life
}

// breakOff counts a flow that was reset or stalled, and opens another one.
func (n *conn) breakOff() {
	if n.ended {
		return
	}
	n.phone.world.broken(n)
	n.end()
}

// end closes the connection. If it was the one for requests, a new client takes
// the place of this one.
func (n *conn) end() {
	if n.ended {
		return
	}
	n.ended = true
	if n.owner != nil {
		delete(n.owner.conns, n)
	}
	c := n.phone
	if c.draining == n {
		c.draining = nil
	}
	if c.current == n {
		c.open()
	}
}

// goAway opens another connection for requests. The stream goes on.
func (c *phone) goAway(n *conn) {
	if n.ended || c.current != n {
		return
	}
	w := c.world
	w.after(micros(w.network.Int64N(int64(reactionTime))), func() {
		if n.ended || c.current != n {
			return
		}
		c.draining = n
		c.open()
	})
}

// request sends a request to the owner of the current connection, or of the
// draining one during a handshake.
func (c *phone) request(r *request) {
	n := c.current
	if !n.established && c.draining != nil {
		n = c.draining
	}
	if n.owner == nil {
		return
	}
	w := c.world
	s := n.owner
	w.after(w.deployment.toClient+w.latency(int(w.time)%dataCentreCount, s.dataCentre), func() { s.receive(r) })
}
