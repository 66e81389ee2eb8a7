package peer_test

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/control/peer"
)

// eventBuffer exceeds the number of events of any test, so that a callback
// never blocks.
const eventBuffer = 1024

type contractEvent struct {
	customer string
	revision uint64
	document string
}

type balancerNode struct {
	*peer.Balancer
	address   netip.AddrPort
	stop      context.CancelFunc
	contracts chan contractEvent
	members   chan []membership.Record
	removed   chan identity.OwnerID
	readers   chan bool
}

type sidecarNode struct {
	*peer.Sidecar
	stop      context.CancelFunc
	siblings  chan []membership.Record
	contracts chan contractEvent
}

func newKeys(c *qt.C, fill byte) *keyring.Store {
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: bytes.Repeat([]byte{fill}, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	return keyring.NewStore(ring)
}

func seeds(addresses ...netip.AddrPort) func(context.Context) ([]netip.AddrPort, error) {
	return func(context.Context) ([]netip.AddrPort, error) { return addresses, nil }
}

func listen(c *qt.C) (net.Listener, netip.AddrPort) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return listener, listener.Addr().(*net.TCPAddr).AddrPort()
}

func startBalancer(c *qt.C, id identity.OwnerID, store *keyring.Store, known ...netip.AddrPort) *balancerNode {
	listener, address := listen(c)
	return startBalancerOn(c, id, store, listener, address, known...)
}

// startBalancerOn starts a balancer that may announce another address than that
// of its listener.
func startBalancerOn(c *qt.C, id identity.OwnerID, store *keyring.Store, listener net.Listener, address netip.AddrPort, known ...netip.AddrPort) *balancerNode {
	n := &balancerNode{
		address:   address,
		contracts: make(chan contractEvent, eventBuffer),
		members:   make(chan []membership.Record, eventBuffer),
		removed:   make(chan identity.OwnerID, eventBuffer),
		readers:   make(chan bool, eventBuffer),
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	var err error
	n.Balancer, err = peer.NewBalancer(ctx, peer.BalancerConfig{
		Self: membership.RecordConfig{
			ID: id, DataCentre: "agassiz", Host: "host", Control: n.address, State: membership.StateServing,
		},
		Keys: store, Clock: clock.System(), Listener: listener, Seeds: seeds(known...),
		OnMembers: func(changed []membership.Record, removed []identity.OwnerID) {
			n.members <- changed
			for _, id := range removed {
				n.removed <- id
			}
		},
		OnContract: func(customer string, revision uint64, document []byte) {
			n.contracts <- contractEvent{customer, revision, string(document)}
		},
		OnReader: func(reader bool) { n.readers <- reader },
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		stop()
		n.Wait()
	})
	return n
}

func startSidecar(c *qt.C, id identity.OwnerID, store *keyring.Store, known ...netip.AddrPort) *sidecarNode {
	n := &sidecarNode{siblings: make(chan []membership.Record, eventBuffer), contracts: make(chan contractEvent, eventBuffer)}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	var err error
	n.Sidecar, err = peer.NewSidecar(ctx, peer.SidecarConfig{
		Self: membership.RecordConfig{
			ID: id, DataCentre: "agassiz", Tunnel: netip.MustParseAddrPort("127.0.0.1:4000"),
			Customer: "ferncliff-willow", Service: "bundle-desk",
		},
		Keys: store, Clock: fastClock(), Seeds: seeds(known...),
		OnSiblings: func(siblings []membership.Record) { n.siblings <- siblings },
		OnContract: func(customer string, revision uint64, document []byte) {
			n.contracts <- contractEvent{customer, revision, string(document)}
		},
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		stop()
		n.Wait()
	})
	return n
}

// fastClock runs at 4 times the normal speed, so that no test waits long for
// SilenceTimeout. A tick still takes less than the pause threshold.
func fastClock() clock.Clock {
	system := clock.System()
	return clock.New(func() clock.Millis { return 4 * system.Now() })
}

// waitFor receives events until one satisfies the condition.
func waitFor[T any](events <-chan T, satisfied func(T) bool) {
	for event := range events {
		if satisfied(event) {
			return
		}
	}
}

// TestContractReachesEveryProcess guards against a process that receives no
// contracts, and against a stop that is not reported to the peers.
func TestContractReachesEveryProcess(t *testing.T) {
	c := qt.New(t)
	store := newKeys(c, 1)
	first := startBalancer(c, 1, store)
	c.Assert(<-first.readers, qt.IsTrue)
	first.PublishContract("ferncliff-willow", 3, []byte("{}"))
	c.Assert(<-first.contracts, qt.Equals, contractEvent{"ferncliff-willow", 3, "{}"})
	second := startBalancer(c, 2, store, first.address)
	third := startBalancer(c, 3, store, first.address)
	for _, n := range []*balancerNode{second, third} {
		c.Assert(<-n.contracts, qt.Equals, contractEvent{"ferncliff-willow", 3, "{}"})
	}

	a := startSidecar(c, 101, store, second.address)
	b := startSidecar(c, 102, store, third.address)
	c.Assert(<-a.contracts, qt.Equals, contractEvent{"ferncliff-willow", 3, "{}"})
	c.Assert(<-b.contracts, qt.Equals, contractEvent{"ferncliff-willow", 3, "{}"})
	b.Announce(membership.StateServing, 16)
	waitFor(a.siblings, func(siblings []membership.Record) bool {
		return len(siblings) == 1 && siblings[0].ID() == 102 && siblings[0].Weight() == 16
	})
	third.PublishContract("ferncliff-willow", 2, []byte("old"))
	third.PublishContract("ferncliff-willow", 4, []byte("new"))
	c.Assert(<-a.contracts, qt.Equals, contractEvent{"ferncliff-willow", 4, "new"})

	b.stop()
	for _, n := range []*balancerNode{first, second, third} {
		c.Assert(<-n.removed, qt.Equals, identity.OwnerID(102))
	}
	waitFor(a.siblings, func(siblings []membership.Record) bool { return len(siblings) == 0 })
}

// TestUnauthenticatedPeerIsRejected guards against a process outside the key
// ring that reads the state or becomes a member.
func TestUnauthenticatedPeerIsRejected(t *testing.T) {
	c := qt.New(t)
	node := startBalancer(c, 1, newKeys(c, 1))
	node.MarkComplete()
	status, err := peer.Status(context.Background(), newKeys(c, 1), node.address)
	c.Assert(err, qt.IsNil)
	c.Assert(status.GetMembers(), qt.HasLen, 1)
	_, err = peer.Status(context.Background(), newKeys(c, 2), node.address)
	c.Assert(err, qt.ErrorMatches, ".*certificate signed by unknown authority.*")
}

// proxy forwards connections to a target. When silenceNext is set, the
// connection on which data arrives next becomes silent: it stays open but
// nothing is forwarded any more.
type proxy struct {
	silenceNext atomic.Bool
	accepted    chan struct{}
}

func startProxy(c *qt.C, listener net.Listener, target netip.AddrPort) *proxy {
	p := &proxy{accepted: make(chan struct{}, eventBuffer)}
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted <- struct{}{}
			to, err := net.Dial("tcp", target.String())
			if err != nil {
				from.Close()
				continue
			}
			// A connection stays silent, but later ones are forwarded.
			silent := &atomic.Bool{}
			go p.copy(to, from, silent)
			go p.copy(from, to, silent)
		}
	}()
	return p
}

func (p *proxy) copy(to, from net.Conn, silent *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.silenceNext.CompareAndSwap(true, false) {
			silent.Store(true)
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// TestSilentConnectionIsReplaced guards against a sidecar that waits forever on
// a connection that stays open but delivers nothing.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	store := newKeys(c, 1)
	front, announced := listen(c)
	back, target := listen(c)
	proxy := startProxy(c, front, target)
	node := startBalancerOn(c, 1, store, back, announced)
	node.PublishContract("ferncliff-willow", 1, []byte("{}"))
	sidecar := startSidecar(c, 101, store, announced)
	c.Assert(<-sidecar.contracts, qt.Equals, contractEvent{"ferncliff-willow", 1, "{}"})
	<-proxy.accepted
	proxy.silenceNext.Store(true)
	<-proxy.accepted
	node.PublishContract("ferncliff-willow", 2, []byte("{}"))
	waitFor(sidecar.contracts, func(e contractEvent) bool { return e.revision == 2 })
}
