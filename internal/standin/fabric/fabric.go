// Package fabric is a stand-in for the network in front of the balancers. It
// spreads the datagrams of clients over all balancers in round-robin order, so
// that the datagrams of one flow reach different balancers.
package fabric

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/samber/oops"
)

const (
	// receiveBufferSize is in bytes.
	receiveBufferSize = 2048
	// sweepsPerIdleLimit is the number of sweeps for idle client sockets during one
	// idle limit. With 4 sweeps, an idle socket is closed at most a quarter of the
	// limit late.
	sweepsPerIdleLimit = 4

	// outboundStream and inboundStream select the random numbers of the faults
	// towards balancers and towards clients.
	outboundStream = 1
	inboundStream  = 2
)

// Config configures a Fabric.
type Config struct {
	// Listen is the address at which clients reach the service.
	Listen netip.AddrPort
	// Balancers are the addresses of the service on each balancer.
	Balancers []netip.AddrPort
	Faults    Faults
	// Seed determines the faults.
	Seed uint64
	// IdleLimit is the time without datagrams from a client after which its socket
	// is closed. Zero means never. A client that sends again gets a new socket, so
	// balancers then see it at another address.
	IdleLimit clock.Millis
	// Clock is the clock for IdleLimit. Nil means the system clock.
	Clock *clock.Clock
}

// Fabric forwards the datagrams of one service address. For each client it has one
// socket towards the balancers. Balancers see the address of that socket as the
// client's.
type Fabric struct {
	conn         *net.UDPConn
	ctx          context.Context
	goroutines   sync.WaitGroup
	clock        clock.Clock
	idleLimit    clock.Millis
	mutex        sync.Mutex
	balancers    []netip.AddrPort
	nextBalancer int
	clients      map[netip.AddrPort]*clientSocket
	outbound     *faultInjector[outgoingDatagram]
	inbound      *faultInjector[outgoingDatagram]
}

type clientSocket struct {
	conn     *net.UDPConn
	lastUsed clock.Millis
}

// outgoingDatagram is a datagram with the socket that sends it and the destination
// address.
type outgoingDatagram struct {
	from    *net.UDPConn
	to      netip.AddrPort
	payload []byte
}

// New starts a Fabric that listens on config.Listen. The Fabric stops when ctx ends.
// Wait waits until it has stopped.
func New(ctx context.Context, config Config) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, oops.Code("fabric-listen-failed").Wrap(err)
	}
	f := &Fabric{
		conn: conn, ctx: ctx, clock: clock.System(), idleLimit: config.IdleLimit,
		balancers: config.Balancers, clients: map[netip.AddrPort]*clientSocket{},
		outbound: newFaultInjector[outgoingDatagram](config.Faults, config.Seed, outboundStream),
		inbound:  newFaultInjector[outgoingDatagram](config.Faults, config.Seed, inboundStream),
	}
	if config.Clock != nil {
		f.clock = *config.Clock
	}
	f.goroutines.Go(f.receiveFromClients)
	if f.idleLimit > 0 {
		f.goroutines.Go(f.sweepPeriodically)
	}
	f.goroutines.Go(func() {
		<-ctx.Done()
		f.close()
	})
	return f, nil
}

// Address returns the address at which clients reach the service.
func (f *Fabric) Address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetBalancers replaces the list of balancers. Later datagrams go only to balancers
// of the new list. The Fabric keeps the slice.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = balancers
}

// Clients returns the number of clients that have a socket towards the balancers.
func (f *Fabric) Clients() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.clients)
}

// Wait returns when every goroutine of the Fabric has ended.
func (f *Fabric) Wait() { f.goroutines.Wait() }

func (f *Fabric) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_ = f.conn.Close()
	for _, c := range f.clients {
		_ = c.conn.Close()
	}
}

func (f *Fabric) sweepPeriodically() {
	ticker := time.NewTicker(f.idleLimit.Duration() / sweepsPerIdleLimit)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.sweep()
		}
	}
}

// sweep closes the sockets of clients that have been idle for the idle limit.
func (f *Fabric) sweep() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for address, c := range f.clients {
		if now-c.lastUsed >= f.idleLimit {
			_ = c.conn.Close()
			delete(f.clients, address)
		}
	}
}

func (f *Fabric) receiveFromClients() {
	buffer := make([]byte, receiveBufferSize)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		send(f.routeToBalancer(from, buffer[:n]))
	}
}

// routeToBalancer takes a datagram of a client, selects the balancer for it and
// returns the datagrams to send now. It opens a socket for a new client.
func (f *Fabric) routeToBalancer(client netip.AddrPort, payload []byte) []outgoingDatagram {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.ctx.Err() != nil || len(f.balancers) == 0 {
		return nil
	}
	socket, ok := f.clients[client]
	if !ok {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: f.conn.LocalAddr().(*net.UDPAddr).IP})
		if err != nil {
			return nil
		}
		socket = &clientSocket{conn: conn}
		f.clients[client] = socket
		f.goroutines.Go(func() { f.receiveFromBalancers(conn, client) })
	}
	socket.lastUsed = f.clock.Now()
	f.nextBalancer = (f.nextBalancer + 1) % len(f.balancers)
	return f.outbound.apply(outgoingDatagram{from: socket.conn, to: f.balancers[f.nextBalancer], payload: bytes.Clone(payload)})
}

func (f *Fabric) receiveFromBalancers(socket *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, receiveBufferSize)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		send(f.routeToClient(client, buffer[:n]))
	}
}

// routeToClient takes a datagram of a balancer for a client and returns the
// datagrams to send now.
func (f *Fabric) routeToClient(client netip.AddrPort, payload []byte) []outgoingDatagram {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.inbound.apply(outgoingDatagram{from: f.conn, to: client, payload: bytes.Clone(payload)})
}

// send sends datagrams and ignores errors. A balancer that has ended refuses
// datagrams, which are then lost as in a real network.
func send(datagrams []outgoingDatagram) {
	for _, outgoing := range datagrams {
		_, _ = outgoing.from.WriteToUDPAddrPort(outgoing.payload, outgoing.to)
	}
}
