package client

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

const (
	testSelf    identity.OwnerID   = 7
	testSibling identity.OwnerID   = 8
	testService identity.ServiceID = 70
)

func newTestDispatcher(own Load, siblings map[identity.OwnerID]Load) *Dispatcher {
	return NewDispatcher(DispatcherConfig{
		Self: testSelf, Service: testService,
		Load:     func() Load { return own },
		Siblings: func() map[identity.OwnerID]Load { return siblings },
	})
}

func dispatchRing(c *qt.C) *keyring.Ring {
	ring, err := keyring.New(0, map[keyring.Generation][]byte{0: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	return ring
}

// TestDispatchDropsForeignDatagrams guards against a sidecar that accepts datagrams
// for another service or for a process that had its address before. Each dropped
// datagram fails a single check.
func TestDispatchDropsForeignDatagrams(t *testing.T) {
	c := qt.New(t)
	ring := dispatchRing(c)
	assigned := func(service identity.ServiceID, owner identity.OwnerID) []byte {
		id := quic.EncodeConnectionID(ring.Active(), service, owner, 1, 0)
		return append(append([]byte{0x40}, id[:]...), make([]byte, 40)...)
	}
	own := assigned(testService, testSelf)
	for _, test := range []struct {
		name   string
		header tunnel.Header
		packet []byte
		want   Verdict
	}{
		{"own flow", tunnel.Header{Type: tunnel.TypeInbound, Service: testService, Owner: testSelf}, own, Deliver},
		{"other service in header", tunnel.Header{Type: tunnel.TypeInbound, Service: 71, Owner: testSelf}, own, DropMisdirected},
		{"other owner in header", tunnel.Header{Type: tunnel.TypeInbound, Service: testService, Owner: 9}, own, DropMisdirected},
		{"other owner in connection ID", tunnel.Header{Type: tunnel.TypeInbound, Service: testService, Owner: testSelf}, assigned(testService, 9), DropMisdirected},
		{"other service in connection ID", tunnel.Header{Type: tunnel.TypeInbound, Service: testService, Owner: testSelf}, assigned(71, testSelf), DropMisdirected},
		{"relayed for another", tunnel.Header{Type: tunnel.TypeInbound, Flags: tunnel.FlagRelayed, Service: testService, Owner: 9}, own, DropMisdirected},
		{"load for another", tunnel.Header{Type: tunnel.TypeLoad, Service: testService, Owner: 9}, nil, DropMisdirected},
		{"probe", tunnel.Header{Type: tunnel.TypeProbe, Service: testService, Owner: testSelf}, nil, ReplyToProbe},
		{"probe for another", tunnel.Header{Type: tunnel.TypeProbe, Service: testService, Owner: 9}, nil, DropMisdirected},
		{"outbound datagram", tunnel.Header{Type: tunnel.TypeOutbound, Service: testService, Owner: testSelf}, own, DropMisdirected},
	} {
		got := newTestDispatcher(Load{}, nil).Dispatch(ring, test.header, test.packet, 0)
		c.Check(got.Verdict, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// TestPlacementKeepsHandshake guards against a client hello whose second datagram
// goes to another sidecar because the loads have changed in between.
func TestPlacementKeepsHandshake(t *testing.T) {
	c := qt.New(t)
	p := NewPlacement(testSelf)
	idle := map[identity.OwnerID]Load{testSibling: {}}
	busy := map[identity.OwnerID]Load{testSibling: {Flows: 900}}
	c.Check(p.Decide([]byte("one"), Load{Flows: 100}, idle, 0), qt.Equals, testSibling)
	c.Check(p.Decide([]byte("one"), Load{Flows: 100}, busy, handshakeRetention-1), qt.Equals, testSibling)
	c.Check(p.Decide([]byte("one"), Load{Flows: 100}, busy, handshakeRetention), qt.Equals, testSelf)
	c.Check(p.Decide([]byte("full"), Load{Flows: 9, Full: true}, busy, 0), qt.Equals, testSibling)
	c.Check(p.Decide([]byte("two"), Load{Flows: 100}, map[identity.OwnerID]Load{testSibling: {Leaving: true}}, 0), qt.Equals, testSelf)
}

// TestLeavingPlacesOnUnknownLoad guards against a leaving sidecar that keeps new flows
// because all siblings whose load it knows are leaving too, as in a restart of every
// sidecar. While another sidecar accepts flows, a sibling of unknown load gets none.
func TestLeavingPlacesOnUnknownLoad(t *testing.T) {
	c := qt.New(t)
	p := NewPlacement(testSelf)
	siblings := map[identity.OwnerID]Load{testSibling: {Unknown: true}, testSibling + 1: {Leaving: true}}
	c.Check(p.Decide([]byte("one"), Load{Flows: 100}, siblings, 0), qt.Equals, testSelf)
	c.Check(p.Decide([]byte("two"), Load{Leaving: true}, siblings, 0), qt.Equals, testSibling)
	siblings[testSibling+2] = Load{Flows: 900}
	c.Check(p.Decide([]byte("three"), Load{Leaving: true}, siblings, 0), qt.Equals, testSibling+2)
}

// TestPlacementMemoryIsBounded guards against a flood of first packets that uses
// memory without limit, and against entries that are never dropped.
func TestPlacementMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	p := NewPlacement(testSelf)
	for i := range maxHandshakes + 100 {
		p.Decide([]byte{byte(i), byte(i >> 8), byte(i >> 16)}, Load{}, nil, 0)
	}
	c.Check(len(p.handshakes), qt.Equals, maxHandshakes)
	p.Decide([]byte("late"), Load{}, nil, handshakeRetention)
	c.Check(len(p.handshakes), qt.Equals, 1)
}

// TestPathsAvoidSilentBalancer guards against packets to clients that are sent through
// a failed balancer, and against a change of balancer without a failure.
func TestPathsAvoidSilentBalancer(t *testing.T) {
	c := qt.New(t)
	at := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
	}
	p := NewPaths()
	choose := func() netip.AddrPort {
		balancer, ok := p.Choose(at(1))
		c.Assert(ok, qt.IsTrue)
		return balancer
	}
	_, ok := p.Choose(at(1))
	c.Check(ok, qt.IsFalse)
	p.Record(at(1), at(10), 0)
	p.Record(at(2), at(11), balancerSilence-1)
	c.Check(choose(), qt.Equals, at(10))
	p.Record(at(2), at(11), balancerSilence)
	c.Check(choose(), qt.Equals, at(11))
	p.Record(at(1), at(10), balancerSilence+1)
	c.Check(choose(), qt.Equals, at(10))
	p.Record(at(2), at(11), 2*clientRetention+clock.Second)
	_, ok = p.Choose(at(1))
	c.Check(ok, qt.IsFalse)
}
