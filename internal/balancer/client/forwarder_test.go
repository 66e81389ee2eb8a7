package client

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// fixture is a forwarder between the sockets of a client and a fake sidecar, with a
// clock that the test advances.
type fixture struct {
	c         *qt.C
	ring      *keyring.Ring
	member    routing.Member
	now       atomic.Int64
	forwarder *Forwarder
	client    *net.UDPConn
	sidecar   *net.UDPConn
}

func newFixture(t *testing.T) *fixture {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	f := &fixture{c: c, ring: ring, sidecar: listenLoopback(c)}
	f.forwarder, err = NewForwarder(ctx, Config{
		Entry: loopback, Tunnel: listenLoopback(c), Self: 1, Keys: keyring.NewStore(ring),
		Clock:    clock.New(func() clock.Millis { return clock.Millis(f.now.Load()) }),
		LogEvent: func(string, error) {},
	})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() {
		cancel()
		f.forwarder.Wait()
	})
	f.member = routing.Member{
		Owner: 5, Service: identity.NewServiceID("customer", "a"), Weight: routing.MaxWeight,
		Tunnel: f.sidecar.LocalAddr().(*net.UDPAddr).AddrPort(),
	}
	f.forwarder.SetTable(routing.NewTable().With([]routing.Member{f.member}, nil))
	free := listenLoopback(c)
	port := free.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	c.Assert(free.Close(), qt.IsNil)
	c.Assert(f.forwarder.SetServices(map[identity.ServiceID]Service{f.member.Service: {Port: port}}), qt.IsNil)
	f.client, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, port)))
	c.Assert(err, qt.IsNil)
	return f
}

// sendAt sets the clock to now and sends a packet of an established flow. It returns
// the header and the source address of the next datagram that the sidecar receives,
// which may be a probe.
func (f *fixture) sendAt(now clock.Millis) (tunnel.Header, netip.AddrPort) {
	f.now.Store(int64(now))
	id := quic.EncodeConnectionID(f.ring.Active(), f.member.Service, f.member.Owner, 1, 0)
	_, err := f.client.Write(append(append([]byte{0x40}, id[:]...), make([]byte, 40)...))
	f.c.Assert(err, qt.IsNil)
	return f.receive()
}

func (f *fixture) receive() (tunnel.Header, netip.AddrPort) {
	buffer := make([]byte, bufferSize)
	n, from, err := f.sidecar.ReadFromUDPAddrPort(buffer)
	f.c.Assert(err, qt.IsNil)
	header, _, err := tunnel.Open(f.ring, buffer[:n])
	f.c.Assert(err, qt.IsNil)
	return header, from
}

// TestSilentPathMovesToAnotherSocket guards against datagrams that keep using a path on
// which the sidecar has not responded for three seconds.
func TestSilentPathMovesToAnotherSocket(t *testing.T) {
	f := newFixture(t)
	_, first := f.sendAt(0)
	// After one second a probe is sent before the datagram itself.
	header, from := f.sendAt(1 * clock.Second)
	f.c.Check(header.Type, qt.Equals, tunnel.TypeProbe)
	f.c.Check(from, qt.Equals, first)
	header, from = f.receive()
	f.c.Check(header.Type, qt.Equals, tunnel.TypeInbound)
	f.c.Check(from, qt.Equals, first)
	_, moved := f.sendAt(3 * clock.Second)
	f.c.Check(moved, qt.Not(qt.Equals), first)
	f.c.Check(f.forwarder.LinkSocketsReplaced(), qt.Equals, uint64(1))
}

// TestReplyReachesClient guards against replies that the balancer cannot map to their
// client. The balancer keeps no state per flow, so it takes the client's address from
// the header.
func TestReplyReachesClient(t *testing.T) {
	f := newFixture(t)
	header, from := f.sendAt(0)
	header.Type = tunnel.TypeOutbound
	buffer := make([]byte, bufferSize)
	n := copy(buffer[tunnel.HeaderSize:], "reply")
	sealed := tunnel.NewSealer(f.member.Owner).Seal(f.ring.Active(), header, buffer, n)
	_, err := f.sidecar.WriteToUDPAddrPort(sealed, from)
	f.c.Assert(err, qt.IsNil)
	n, err = f.client.Read(buffer)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(string(buffer[:n]), qt.Equals, "reply")
}
