package routing

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/wire/quic"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

func testRing(c *qt.C) *keyring.Ring {
	ring, err := keyring.New(2, map[keyring.Generation][]byte{
		1: make([]byte, keyring.SecretSize),
		2: append(make([]byte, keyring.SecretSize-1), 1),
	})
	c.Assert(err, qt.IsNil)
	return ring
}

func testMembers(services, members int) []Member {
	random := rand.New(rand.NewPCG(1, 2))
	all := make([]Member, members)
	for i := range all {
		all[i] = Member{
			Owner:   identity.OwnerID(random.Uint64()>>16 | 1),
			Service: identity.NewServiceID("customer", fmt.Sprint(i%services)),
			Tunnel:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 4000),
			Weight:  MaxWeight,
		}
	}
	return all
}

func shortPacket(ring *keyring.Ring, m Member, nonce uint64) []byte {
	id := quic.EncodeConnectionID(ring.Active(), m.Service, m.Owner, nonce, byte(nonce))
	return append(append([]byte{0x40}, id[:]...), make([]byte, 40)...)
}

func initialPacket(connectionID []byte) []byte {
	packet := []byte{0xc0, 0, 0, 0, 1, byte(len(connectionID))}
	return append(append(packet, connectionID...), make([]byte, 40)...)
}

func clientConnectionID(n uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, 8), n*0x9e3779b97f4a7c15)
}

// TestEstablishedFlowIgnoresChange guards against an established flow that moves to
// another sidecar when members join or stop accepting new flows.
func TestEstablishedFlowIgnoresChange(t *testing.T) {
	c := qt.New(t)
	ring := testRing(c)
	members := testMembers(1, 7)
	owner := members[3]
	packet := shortPacket(ring, owner, 9)
	var router Router
	table := NewTable().With(members[:4], nil)
	for i := range 3 {
		decision := router.Route(table, ring, owner.Service, packet)
		known, _ := table.Member(owner.Owner)
		want := Decision{Reason: ToOwner, Owner: owner.Owner, Target: owner.Tunnel, Link: known.Link()}
		c.Check(decision, qt.Equals, want)
		owner.Weight = 0
		table = table.With([]Member{owner, members[4+i]}, []identity.OwnerID{members[i].Owner})
	}
}

// TestForeignServiceIsDropped guards against forwarding a packet with a connection ID
// of one service that arrives at the address of another service.
func TestForeignServiceIsDropped(t *testing.T) {
	c := qt.New(t)
	ring := testRing(c)
	members := testMembers(2, 8)
	table := NewTable().With(members, nil)
	var router Router
	decision := router.Route(table, ring, members[1].Service, shortPacket(ring, members[0], 1))
	c.Check(decision, qt.Equals, Decision{Reason: DropForeignConnectionID})
}

// TestUnknownOwnerIsRelayed guards against the loss of flows whose owner is not yet in
// the routing table of this balancer.
func TestUnknownOwnerIsRelayed(t *testing.T) {
	c := qt.New(t)
	ring := testRing(c)
	members := testMembers(1, 3)
	table := NewTable().With(members[:2], nil)
	var router Router
	decision := router.Route(table, ring, members[2].Service, shortPacket(ring, members[2], 1))
	c.Check(decision.Reason, qt.Equals, ToRelay)
	c.Check(decision.Owner, qt.Equals, members[2].Owner)
	c.Check(decision.Flags, qt.Equals, tunnel.FlagRelay)
	c.Check(decision.Target == members[0].Tunnel || decision.Target == members[1].Tunnel, qt.IsTrue)
}

// TestPlacementAgreesAcrossTables guards against a client hello whose datagrams reach
// different sidecars because balancers learn of a change at different times. Removing
// one of eight members must move only that member's share of the flows.
func TestPlacementAgreesAcrossTables(t *testing.T) {
	c := qt.New(t)
	ring := testRing(c)
	members := testMembers(1, 8)
	before := NewTable().With(members, nil)
	after := before.With(nil, []identity.OwnerID{members[0].Owner})
	var router Router
	const flows = 4096
	moved, ofRemoved := 0, 0
	for i := range uint64(flows) {
		packet := initialPacket(clientConnectionID(i))
		a := router.Route(before, ring, members[0].Service, packet)
		b := router.Route(after, ring, members[0].Service, packet)
		if a.Owner == members[0].Owner {
			ofRemoved++
		} else if a.Owner != b.Owner {
			moved++
		}
	}
	c.Check(moved, qt.Equals, 0)
	c.Check(ofRemoved > flows/16 && ofRemoved < flows/4, qt.IsTrue, qt.Commentf("%d flows", ofRemoved))
}

// TestWeightsSteerNewFlows guards against placing new flows on members that are
// leaving. It also guards against a full share of new flows for a member with cold
// caches.
func TestWeightsSteerNewFlows(t *testing.T) {
	c := qt.New(t)
	ring := testRing(c)
	members := testMembers(1, 3)
	members[0].Weight = 0
	members[1].Weight = 1
	table := NewTable().With(members, nil)
	counts := map[identity.OwnerID]int{}
	var router Router
	for i := range uint64(1700) {
		counts[router.Route(table, ring, members[0].Service, initialPacket(clientConnectionID(i))).Owner]++
	}
	c.Check(counts[members[0].Owner], qt.Equals, 0)
	c.Check(counts[members[1].Owner] > 30 && counts[members[1].Owner] < 250, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestIncrementalTableEqualsFresh guards against stale entries in tables that share
// unchanged services with an older table.
func TestIncrementalTableEqualsFresh(t *testing.T) {
	c := qt.New(t)
	members := testMembers(5, 40)
	table := NewTable()
	for _, m := range members {
		table = table.With([]Member{m}, nil)
	}
	table = table.With(nil, []identity.OwnerID{members[7].Owner, members[8].Owner})
	fresh := NewTable().With(append(append([]Member{}, members[:7]...), members[9:]...), nil)
	c.Assert(table.Len(), qt.Equals, fresh.Len())
	for id, s := range fresh.services {
		c.Check(table.services[id].slots, qt.DeepEquals, s.slots)
	}
	table = table.With(nil, []identity.OwnerID{members[0].Owner, members[5].Owner})
	_, ok := table.Member(members[0].Owner)
	c.Check(ok, qt.IsFalse)
}

// TestSilentLinkIsReplaced guards against a link that keeps its socket although the
// path to the sidecar is broken and another socket would work, and against probes on
// paths that respond.
func TestSilentLinkIsReplaced(t *testing.T) {
	c := qt.New(t)
	members := testMembers(1, 1)
	table := NewTable().With(members, nil)
	known, _ := table.Member(members[0].Owner)
	link := known.Link()
	c.Check(link.Sent(0), qt.Equals, LinkNone)
	c.Check(link.Sent(linkProbeDelay-1), qt.Equals, LinkNone)
	c.Check(link.Sent(linkProbeDelay), qt.Equals, LinkProbe)
	c.Check(link.Sent(linkProbeDelay+1), qt.Equals, LinkNone)
	c.Check(link.Sent(linkProbeDelay+linkProbeInterval), qt.Equals, LinkProbe)
	c.Check(link.Sent(linkTimeout), qt.Equals, LinkSocketReplaced)
	c.Check(link.Socket(), qt.Equals, uint32(1))
	c.Check(link.Sent(linkTimeout+1), qt.Equals, LinkNone)
	link.Received()
	c.Check(link.Sent(10*linkTimeout), qt.Equals, LinkNone)
	// A changed member keeps its link state.
	members[0].Weight = 1
	changed, _ := table.With(members, nil).Member(members[0].Owner)
	c.Check(changed.Link(), qt.Equals, link)
}

// TestLimiterBoundsFirstPackets guards against a flood of new flows that overloads all
// sidecars of a service, and against a limit that blocks a small service completely.
func TestLimiterBoundsFirstPackets(t *testing.T) {
	c := qt.New(t)
	count := func(l *Limiter, flows, members int, from, to clock.Millis) int {
		passed := 0
		for now := from; now < to; now++ {
			for range 10 {
				if l.Allow(flows, members, now) {
					passed++
				}
			}
		}
		return passed
	}
	var l Limiter
	// 7 sidecars with 2,000 flows each allow 4,200 packets per second, in addition to
	// the initially full bucket.
	c.Check(count(&l, 2000, 7, 0, 1000), qt.Equals, 8395)
	c.Check(count(&l, 2000, 7, 1000, 2000), qt.Equals, 4200)
	var small Limiter
	c.Check(count(&small, 1, 1, 0, 1), qt.Equals, packetsPerNewFlow)
	var unlimited Limiter
	c.Check(count(&unlimited, 0, 1, 0, 10), qt.Equals, 100)
}

// BenchmarkRoute measures one routing decision. The target is less than 250 ns and no
// allocation with 1,300 services and 4,700 members.
func BenchmarkRoute(b *testing.B) {
	ring := testRing(qt.New(b))
	for _, size := range []struct{ services, members int }{{3, 10}, {27, 100}, {270, 1000}, {1300, 4700}} {
		members := testMembers(size.services, size.members)
		table := NewTable().With(members, nil)
		established, first := make([][]byte, 4096), make([][]byte, 4096)
		for i := range established {
			established[i] = shortPacket(ring, members[(i*7919)%len(members)], uint64(i))
			first[i] = initialPacket(clientConnectionID(uint64(i)))
		}
		name := fmt.Sprintf("services=%d/members=%d", size.services, size.members)
		b.Run(name+"/established", func(b *testing.B) {
			b.ReportAllocs()
			var router Router
			for i := 0; b.Loop(); i++ {
				index := i % len(established)
				m := &members[(index*7919)%len(members)]
				if !router.Route(table, ring, m.Service, established[index]).Forward() {
					b.Fatal("dropped")
				}
			}
		})
		b.Run(name+"/first", func(b *testing.B) {
			b.ReportAllocs()
			var router Router
			for i := 0; b.Loop(); i++ {
				router.Route(table, ring, members[i%len(members)].Service, first[i%4096])
			}
		})
	}
}

// BenchmarkTableChange measures the change of one member at each table size.
func BenchmarkTableChange(b *testing.B) {
	for _, size := range []struct{ services, members int }{{3, 10}, {27, 100}, {270, 1000}, {1300, 4700}} {
		members := testMembers(size.services, size.members)
		table := NewTable().With(members, nil)
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				m := members[i%len(members)]
				m.Weight = 1 + i%MaxWeight
				table = table.With([]Member{m}, nil)
			}
		})
	}
}
