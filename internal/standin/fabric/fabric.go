// Package fabric is a stand-in for the network in front of the balancers: it
// sprays the datagrams of clients over all balancers.
package fabric

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

const datagramSize = 2048

// Config configures a Fabric.
type Config struct {
	// Listen is the address at which clients reach the service.
	Listen netip.AddrPort
	// Balancers are the addresses of the service on each balancer.
	Balancers []netip.AddrPort
}

// Fabric forwards the datagrams of one service address. Each client has one
// socket towards the balancers, whose address stands for the client's.
type Fabric struct {
	conn      *net.UDPConn
	ctx       context.Context
	done      sync.WaitGroup
	mutex     sync.Mutex
	balancers []netip.AddrPort
	next      int
	clients   map[netip.AddrPort]*net.UDPConn
}

// New starts a Fabric. It ends with ctx; Wait returns when it has.
func New(ctx context.Context, config Config) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Listen))
	if err != nil {
		return nil, err
	}
	f := &Fabric{conn: conn, ctx: ctx, balancers: config.Balancers, clients: map[netip.AddrPort]*net.UDPConn{}}
	f.done.Go(f.receiveFromClients)
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

// Wait returns when every goroutine of the Fabric has ended.
func (f *Fabric) Wait() { f.done.Wait() }

func (f *Fabric) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_ = f.conn.Close()
	for _, c := range f.clients {
		_ = c.Close()
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
		if socket, target, ok := f.route(from); ok {
			// A balancer that has ended refuses datagrams; they are lost.
			_, _ = socket.WriteToUDPAddrPort(buffer[:n], target)
		}
	}
}

func (f *Fabric) route(client netip.AddrPort) (*net.UDPConn, netip.AddrPort, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.ctx.Err() != nil || len(f.balancers) == 0 {
		return nil, netip.AddrPort{}, false
	}
	socket, ok := f.clients[client]
	if !ok {
		var err error
		if socket, err = net.ListenUDP("udp", &net.UDPAddr{IP: f.conn.LocalAddr().(*net.UDPAddr).IP}); err != nil {
			return nil, netip.AddrPort{}, false
		}
		f.clients[client] = socket
		f.done.Go(func() { f.receiveFromBalancers(socket, client) })
	}
	f.next = (f.next + 1) % len(f.balancers)
	return socket, f.balancers[f.next], true
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
		_, _ = f.conn.WriteToUDPAddrPort(buffer[:n], client)
	}
}
