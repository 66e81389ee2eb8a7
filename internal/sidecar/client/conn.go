// Package client terminates the QUIC connections and HTTP/3 requests that clients
// send to a sidecar through the tunnel. A flow is a QUIC connection.
package client

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

const (
	// inboundQueueLength is the number of datagrams that can wait for the QUIC stack.
	// Further ones are dropped, as they are when a socket buffer is full.
	inboundQueueLength = 4096
	datagramSize       = tunnel.MaxPayload + tunnel.Overhead + viaSize
	socketBufferSize   = 4 << 20
	viaAddressSize     = 16
	// viaSize is the size in bytes of the address and port of the balancer that are put
	// before the payload of a relayed datagram.
	viaSize = viaAddressSize + 2
)

// ConnConfig configures a Conn.
type ConnConfig struct {
	// Tunnel is the socket for traffic with balancers and siblings. The Conn closes
	// it.
	Tunnel  *net.UDPConn
	Self    identity.OwnerID
	Service identity.ServiceID
	Keys    *keyring.Store
	Clock   clock.Clock
	// Load returns the load of this sidecar.
	Load func() Load
	// Siblings returns the loads of the other sidecars of the service.
	Siblings func() map[identity.OwnerID]Load
	// Address returns the tunnel address of a sibling.
	Address func(identity.OwnerID) (netip.AddrPort, bool)
	// OnLoad is called with each load message from a sibling.
	OnLoad func(sender identity.OwnerID, payload []byte)
}

// Conn is a net.PacketConn that carries the QUIC packets of clients over the
// tunnel. Its peer addresses are those of clients.
type Conn struct {
	config     ConnConfig
	sealer     *tunnel.Sealer
	paths      *Paths
	dispatcher *Dispatcher
	inbound    chan inboundDatagram
	buffers    sync.Pool
	ctx        context.Context
	cancel     context.CancelFunc
	counters   Counters
	goroutines sync.WaitGroup
}

// Counters count the datagrams of a Conn by outcome. Invalid datagrams are malformed or
// not authentic. Misdirected ones are not for this process or hold no QUIC packet that
// can be assigned to a sidecar. Overflowed ones are dropped because the inbound queue is
// full. Unroutable ones cannot be sent.
type Counters struct {
	Delivered, Relayed, Invalid, Misdirected, Overflowed, Unroutable atomic.Uint64
}

type inboundDatagram struct {
	data   []byte
	client netip.AddrPort
}

// NewConn starts to receive from the tunnel. The Conn is closed by Close or when
// ctx ends.
func NewConn(ctx context.Context, config ConnConfig) *Conn {
	ctx, cancel := context.WithCancel(ctx)
	c := &Conn{
		config: config,
		sealer: tunnel.NewSealer(config.Self),
		paths:  NewPaths(),
		dispatcher: NewDispatcher(DispatcherConfig{
			Self: config.Self, Service: config.Service, Load: config.Load, Siblings: config.Siblings,
		}),
		inbound: make(chan inboundDatagram, inboundQueueLength),
		buffers: sync.Pool{New: func() any { b := make([]byte, datagramSize); return &b }},
		ctx:     ctx,
		cancel:  cancel,
	}
	// The kernel reduces a size above its limit. A smaller buffer is not an error.
	_ = config.Tunnel.SetReadBuffer(socketBufferSize)
	_ = config.Tunnel.SetWriteBuffer(socketBufferSize)
	c.goroutines.Go(c.receive)
	c.goroutines.Go(func() {
		<-ctx.Done()
		_ = config.Tunnel.Close()
	})
	return c
}

// Counters returns the counters of c.
func (c *Conn) Counters() *Counters { return &c.counters }

func (c *Conn) receive() {
	buffer := make([]byte, datagramSize)
	for {
		n, from, err := c.config.Tunnel.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if c.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		c.handle(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (c *Conn) handle(datagram []byte, from netip.AddrPort) {
	ring := c.config.Keys.Ring()
	header, payload, err := tunnel.Open(ring, datagram)
	if err != nil {
		c.counters.Invalid.Add(1)
		return
	}
	via := from
	if header.Type == tunnel.TypeInbound && header.Flags&tunnel.FlagRelayed != 0 {
		if via, payload, err = readVia(payload); err != nil {
			c.counters.Invalid.Add(1)
			return
		}
	}
	decision := c.dispatcher.Dispatch(ring, header, payload, c.config.Clock.Now())
	switch decision.Verdict {
	case Deliver:
		c.deliver(header.Client, via, payload)
	case Relay:
		c.relay(header, decision.Owner, via, payload)
	case Receive:
		c.config.OnLoad(header.Sender, payload)
	case ReplyToProbe:
		// If the reply is lost, the sender probes again.
		_ = c.Send(tunnel.TypeProbeReply, c.config.Self, from, nil)
	default:
		c.counters.Misdirected.Add(1)
	}
}

// Balancer returns the balancer through which packets to a client are sent. It
// reports false for an unknown client.
func (c *Conn) Balancer(client netip.AddrPort) (netip.AddrPort, bool) {
	return c.paths.Choose(client)
}

func (c *Conn) deliver(client, via netip.AddrPort, payload []byte) {
	c.paths.Record(client, via, c.config.Clock.Now())
	buffer := *c.buffers.Get().(*[]byte)
	n := copy(buffer, payload)
	select {
	case c.inbound <- inboundDatagram{data: buffer[:n], client: client}:
		c.counters.Delivered.Add(1)
	default:
		c.buffers.Put(&buffer)
		c.counters.Overflowed.Add(1)
	}
}

func (c *Conn) relay(header tunnel.Header, owner identity.OwnerID, via netip.AddrPort, payload []byte) {
	target, ok := c.config.Address(owner)
	if !ok || len(payload)+viaSize > tunnel.MaxPayload {
		c.counters.Unroutable.Add(1)
		return
	}
	header.Owner = owner
	header.Flags = tunnel.FlagRelayed
	buffer := make([]byte, datagramSize)
	writeVia(buffer[tunnel.HeaderSize:], via)
	n := copy(buffer[tunnel.HeaderSize+viaSize:], payload)
	sealed := c.sealer.Seal(c.config.Keys.Ring().Active(), header, buffer, viaSize+n)
	if _, err := c.config.Tunnel.WriteToUDPAddrPort(sealed, target); err != nil {
		c.counters.Unroutable.Add(1)
		return
	}
	c.counters.Relayed.Add(1)
}

// Send sends payload to target in a datagram of the given type. Its header carries
// owner, which is the receiver of a load message and the sender of a probe reply.
func (c *Conn) Send(datagramType tunnel.Type, owner identity.OwnerID, target netip.AddrPort, payload []byte) error {
	buffer := make([]byte, len(payload)+tunnel.Overhead)
	copy(buffer[tunnel.HeaderSize:], payload)
	header := tunnel.Header{Type: datagramType, Service: c.config.Service, Owner: owner, Client: target}
	sealed := c.sealer.Seal(c.config.Keys.Ring().Active(), header, buffer, len(payload))
	_, err := c.config.Tunnel.WriteToUDPAddrPort(sealed, target)
	return err
}

// ReadFrom returns the next QUIC packet and the address of its client.
func (c *Conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.inbound:
		n := copy(p, d.data)
		buffer := d.data[:cap(d.data)]
		c.buffers.Put(&buffer)
		return n, net.UDPAddrFromAddrPort(d.client), nil
	case <-c.ctx.Done():
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a QUIC packet to a client. If no balancer for the client is known or
// the tunnel socket reports an error, the packet is dropped without an error, because
// QUIC retransmits lost data.
func (c *Conn) WriteTo(p []byte, address net.Addr) (int, error) {
	udp, ok := address.(*net.UDPAddr)
	if !ok || len(p) > tunnel.MaxPayload {
		return 0, os.ErrInvalid
	}
	if c.ctx.Err() != nil {
		return 0, net.ErrClosed
	}
	client := udp.AddrPort()
	client = netip.AddrPortFrom(client.Addr().Unmap(), client.Port())
	balancer, ok := c.paths.Choose(client)
	if !ok {
		c.counters.Unroutable.Add(1)
		return len(p), nil
	}
	buffer := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(buffer)
	copy((*buffer)[tunnel.HeaderSize:], p)
	header := tunnel.Header{Type: tunnel.TypeOutbound, Service: c.config.Service, Owner: c.config.Self, Client: client}
	sealed := c.sealer.Seal(c.config.Keys.Ring().Active(), header, *buffer, len(p))
	if _, err := c.config.Tunnel.WriteToUDPAddrPort(sealed, balancer); err != nil {
		c.counters.Unroutable.Add(1)
	}
	return len(p), nil
}

// Close closes the tunnel socket and waits for the goroutines of the Conn.
func (c *Conn) Close() error {
	c.cancel()
	c.goroutines.Wait()
	return nil
}

// LocalAddr returns the address of the tunnel socket.
func (c *Conn) LocalAddr() net.Addr { return c.config.Tunnel.LocalAddr() }

// SetReadBuffer does nothing, because NewConn has set the size.
func (c *Conn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing, because NewConn has set the size.
func (c *Conn) SetWriteBuffer(int) error { return nil }

// SetDeadline does nothing, because the QUIC stack ends its reads with Close.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing, because the QUIC stack ends its reads with Close.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing, because writes do not block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// writeVia writes the address of the balancer from which a relayed datagram came.
func writeVia(b []byte, via netip.AddrPort) {
	address := via.Addr().As16()
	copy(b, address[:])
	binary.BigEndian.PutUint16(b[viaAddressSize:], via.Port())
}

// readVia returns the address that writeVia wrote and the rest of the payload.
func readVia(payload []byte) (netip.AddrPort, []byte, error) {
	if len(payload) < viaSize {
		return netip.AddrPort{}, nil, tunnel.ErrInvalid
	}
	address := netip.AddrFrom16([16]byte(payload[:viaAddressSize])).Unmap()
	port := binary.BigEndian.Uint16(payload[viaAddressSize:])
	return netip.AddrPortFrom(address, port), payload[viaSize:], nil
}
