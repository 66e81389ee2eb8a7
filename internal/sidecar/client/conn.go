// Package client terminates the QUIC connections and HTTP/3 requests of clients,
// which reach a sidecar through the tunnel.
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
	// inboundQueue is the number of datagrams that wait for the QUIC stack.
	// Beyond it they are lost, as in a full socket buffer.
	inboundQueue   = 4096
	datagramSize   = tunnel.MaxPayload + tunnel.Overhead + viaSize
	tunnelBuffers  = 4 << 20
	viaAddressSize = 16
	viaSize        = viaAddressSize + 2
)

// ConnConfig configures a Conn.
type ConnConfig struct {
	// Tunnel is the socket towards balancers and siblings. The Conn closes it.
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
	// OnLoad gets the load messages of siblings.
	OnLoad func(sender identity.OwnerID, payload []byte)
}

// Conn is a net.PacketConn that carries the QUIC packets of clients over the
// tunnel. Addresses are those of clients.
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
	done       sync.WaitGroup
}

// Counters count datagrams of a Conn.
type Counters struct {
	Delivered, Relayed, Invalid, Misdirected, Overflowed, Unroutable atomic.Uint64
}

type inboundDatagram struct {
	data   []byte
	client netip.AddrPort
}

// NewConn starts to receive from the tunnel. The Conn ends with ctx or Close.
func NewConn(ctx context.Context, config ConnConfig) *Conn {
	ctx, cancel := context.WithCancel(ctx)
	c := &Conn{
		config: config,
		sealer: tunnel.NewSealer(config.Self),
		paths:  NewPaths(),
		dispatcher: NewDispatcher(DispatcherConfig{
			Self: config.Self, Service: config.Service, Load: config.Load, Siblings: config.Siblings,
		}),
		inbound: make(chan inboundDatagram, inboundQueue),
		buffers: sync.Pool{New: func() any { b := make([]byte, datagramSize); return &b }},
		ctx:     ctx,
		cancel:  cancel,
	}
	// The kernel limits the size silently; a smaller buffer is not an error.
	_ = config.Tunnel.SetReadBuffer(tunnelBuffers)
	_ = config.Tunnel.SetWriteBuffer(tunnelBuffers)
	c.done.Go(c.receive)
	c.done.Go(func() {
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
		if via, payload, err = cutVia(payload); err != nil {
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
		// A reply that is lost is asked for again.
		_ = c.Send(tunnel.TypeProbeReply, c.config.Self, from, nil)
	default:
		c.counters.Misdirected.Add(1)
	}
}

// Balancer returns the balancer through which replies to a client go.
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
	putVia(buffer[tunnel.HeaderSize:], via)
	n := copy(buffer[tunnel.HeaderSize+viaSize:], payload)
	sealed := c.sealer.Seal(c.config.Keys.Ring().Active(), header, buffer, viaSize+n)
	if _, err := c.config.Tunnel.WriteToUDPAddrPort(sealed, target); err != nil {
		c.counters.Unroutable.Add(1)
		return
	}
	c.counters.Relayed.Add(1)
}

// Send sends payload in a datagram of the given type, which names owner.
func (c *Conn) Send(kind tunnel.Type, owner identity.OwnerID, target netip.AddrPort, payload []byte) error {
	buffer := make([]byte, len(payload)+tunnel.Overhead)
	copy(buffer[tunnel.HeaderSize:], payload)
	header := tunnel.Header{Type: kind, Service: c.config.Service, Owner: owner, Client: target}
	sealed := c.sealer.Seal(c.config.Keys.Ring().Active(), header, buffer, len(payload))
	_, err := c.config.Tunnel.WriteToUDPAddrPort(sealed, target)
	return err
}

// ReadFrom returns the next QUIC packet of a client.
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

// WriteTo sends a QUIC packet to a client. A packet that cannot be sent is lost,
// which QUIC repairs.
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
	pooled := c.buffers.Get().(*[]byte)
	defer c.buffers.Put(pooled)
	copy((*pooled)[tunnel.HeaderSize:], p)
	header := tunnel.Header{Type: tunnel.TypeOutbound, Service: c.config.Service, Owner: c.config.Self, Client: client}
	sealed := c.sealer.Seal(c.config.Keys.Ring().Active(), header, *pooled, len(p))
	if _, err := c.config.Tunnel.WriteToUDPAddrPort(sealed, balancer); err != nil {
		c.counters.Unroutable.Add(1)
	}
	return len(p), nil
}

// Close ends the Conn.
func (c *Conn) Close() error {
	c.cancel()
	c.done.Wait()
	return nil
}

// LocalAddr returns the address of the tunnel socket.
func (c *Conn) LocalAddr() net.Addr { return c.config.Tunnel.LocalAddr() }

// SetReadBuffer does nothing: NewConn has set the size.
func (c *Conn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing: NewConn has set the size.
func (c *Conn) SetWriteBuffer(int) error { return nil }

// SetDeadline does nothing: the QUIC stack ends its reads by closing.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing: the QUIC stack ends its reads by closing.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: writes do not block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

func putVia(b []byte, via netip.AddrPort) {
	address := via.Addr().As16()
	copy(b, address[:])
	binary.BigEndian.PutUint16(b[viaAddressSize:], via.Port())
}

func cutVia(payload []byte) (netip.AddrPort, []byte, error) {
	if len(payload) < viaSize {
		return netip.AddrPort{}, nil, tunnel.ErrInvalid
	}
	address := netip.AddrFrom16([16]byte(payload[:viaAddressSize])).Unmap()
	port := binary.BigEndian.Uint16(payload[viaAddressSize:])
	return netip.AddrPortFrom(address, port), payload[viaSize:], nil
}
