// Package fabric is a stand-in for the network in front of the balancers: it
// sprays the datagrams of clients over all balancers.
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
	datagramSize = 2048
	// sweepsPerIdleLimit sets how late an idle client socket is closed: at most
	// a quarter of the limit.
	sweepsPerIdleLimit = 4

	toBalancers = 1
	toClients   = 2
)

// Config configures a Fabric.
type Config struct {
	// Listen is the address at which clients reach the service.
	Listen netip.AddrPort
	// Balancers are the addresses of the service on each balancer.
	Balancers []netip.AddrPort
	Faults    Faults
	Seed      uint64
	// IdleLimit closes the socket of a client that sent nothing for this long.
	// Zero means never. A client that sends again gets another address.
	IdleLimit clock.Millis
	// Clock is the machine's clock if it is left out.
	Clock *clock.Clock
}

// Fabric forwards the datagrams of one service address. Each client has one
// socket towards the balancers, whose address stands for the client's.
type Fabric struct {
	conn      *net.UDPConn
	ctx       context.Context
	done      sync.WaitGroup
	clock     clock.Clock
	idleLimit clock.Millis
	mutex     sync.Mutex
	balancers []netip.AddrPort
	next      int
	clients   map[netip.AddrPort]*clientSocket
	outbound  *shaper[packet]
	inbound   *shaper[packet]
}

type clientSocket struct {
	conn     *net.UDPConn
	lastUsed clock.Millis
}

// packet is a datagram with the socket and the address that it is sent to.
type packet struct {
	from    *net.UDPConn
	to      netip.AddrPort
	payload []byte
}

// New starts a Fabric. It ends with ctx; Wait returns when it has.
func New(ctx context.Context, config Config) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, oops.Code("fabric-listen-failed").Wrap(err)
	}
	f := &Fabric{
		conn: conn, ctx: ctx, clock: clock.System(), idleLimit: config.IdleLimit,
		balancers: config.Balancers, clients: map[netip.AddrPort]*clientSocket{},
		outbound: newShaper[packet](config.Faults, config.Seed, toBalancers),
		inbound:  newShaper[packet](config.Faults, config.Seed, toClients),
	}
	if config.Clock != nil {
		f.clock = *config.Clock
	}
	f.done.Go(f.receiveFromClients)
	if f.idleLimit > 0 {
		f.done.Go(f.sweepPeriodically)
	}
	f.done.Go(func() {
		<-ctx.Done()
		f.close()
	})
	return f, nil
}

// Address returns the address at which clients reach the service.
func (f *Fabric) Address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// SetBalancers replaces the list of balancers.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = balancers
}

// Clients returns how many clients have a socket.
func (f *Fabric) Clients() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.clients)
}

// Wait returns when every goroutine of the Fabric has ended.
func (f *Fabric) Wait() { f.done.Wait() }

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

// sweep closes the sockets of clients that reached the idle limit.
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
	buffer := make([]byte, datagramSize)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		send(f.route(from, buffer[:n]))
	}
}

// route selects the balancer of a client's datagram and returns the datagrams
// to send now.
func (f *Fabric) route(client netip.AddrPort, payload []byte) []packet {
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
		f.done.Go(func() { f.receiveFromBalancers(conn, client) })
	}
	socket.lastUsed = f.clock.Now()
	f.next = (f.next + 1) % len(f.balancers)
	return f.outbound.pass(packet{from: socket.conn, to: f.balancers[f.next], payload: bytes.Clone(payload)})
}

func (f *Fabric) receiveFromBalancers(socket *net.UDPConn, client netip.AddrPort) {
	buffer := make([]byte, datagramSize)
	for {
		n, err := socket.Read(buffer)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		send(f.reply(client, buffer[:n]))
	}
}

func (f *Fabric) reply(client netip.AddrPort, payload []byte) []packet {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.inbound.pass(packet{from: f.conn, to: client, payload: bytes.Clone(payload)})
}

// send ignores errors: a balancer that has ended refuses datagrams, which are
// lost as they would be in a network.
func send(packets []packet) {
	for _, p := range packets {
		_, _ = p.from.WriteToUDPAddrPort(p.payload, p.to)
	}
}
