package membership_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/protobuf/proto"
)

const (
	// messageOverhead is the number of bytes that one message adds on the wire:
	// 5 of gRPC, 9 of HTTP/2, 22 of TLS, and 52 of TCP and IP with timestamps.
	messageOverhead     = 88
	scaleDataCentres    = 11
	sidecarsPerBalancer = 9.4
	// membersPerService results in 40 services at the target size.
	membersPerService = 118
	// changesPerDay applies to 500 balancers. Each day 690 members are
	// restarted or replaced, each with 20 versions (the states, and 15 steps of
	// the weight).
	changesPerDay   = 690 * 20
	contractsPerDay = 1700
	documentSize    = 2000
	secondsPerDay   = 24 * 60 * 60
)

// scaleNode is one balancer in a simulated environment: 8 neighbours, its share
// of announced members, and 2 watchers.
type scaleNode struct {
	machine        *membership.Balancer
	now            clock.Millis
	counter        uint64
	members        []membership.RecordConfig
	sessions       map[membership.StreamID]membership.RecordConfig
	links          []membership.StreamID
	watchers       map[membership.StreamID]bool
	versions       map[identity.OwnerID]uint64
	bytes          int
	messages       int
	heartbeatCount int
	processingTime time.Duration
	changes        float64
	revision       uint64
	digests        map[membership.StreamID]*controlpb.Digest
}

func scaleMember(i, balancers int) membership.RecordConfig {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 12), byte(i >> 4), byte(i)}), uint16(10000+i))
	m := membership.RecordConfig{
		// Multiplication by an odd number distributes the IDs.
		ID: identity.OwnerID(uint64(i+1) * 0x9e3779b97f4a7c15 >> 16), Version: 20, Role: membership.RoleSidecar, State: membership.StateServing,
		DataCentre: fmt.Sprintf("region-%d-%d", i%3, i%scaleDataCentres), Host: fmt.Sprint("host-", i),
		Tunnel: address, Customer: "ferncliff-willow", Service: fmt.Sprint("service-", i/membersPerService), Weight: membership.MaxWeight,
	}
	if i < balancers {
		m.Role, m.Control, m.Customer, m.Service = membership.RoleBalancer, address, "", ""
	}
	return m
}

func newScaleNode(balancers int) *scaleNode {
	n := &scaleNode{
		sessions: map[membership.StreamID]membership.RecordConfig{}, watchers: map[membership.StreamID]bool{},
		versions: map[identity.OwnerID]uint64{}, digests: map[membership.StreamID]*controlpb.Digest{}, now: 1,
	}
	total := balancers + int(float64(balancers)*sidecarsPerBalancer)
	for i := range total {
		n.members = append(n.members, scaleMember(i, balancers))
	}
	n.machine = membership.NewBalancer(n.now, membership.NewRecord(n.members[0]))
	n.apply(n.machine.SetSeeds(n.now, []netip.AddrPort{n.members[1].Control}))
	for i := 2; len(n.links) < 5; i++ {
		stream := n.machine.NextStream()
		n.links = append(n.links, stream)
		n.apply(n.machine.SyncAccepted(n.now, stream))
		n.identify(stream, n.members[i])
	}
	for _, m := range n.members[1:] {
		n.receive(n.links[0], &controlpb.SyncMessage{Ready: true, Members: []*controlpb.Member{membership.NewRecord(m).Member()}})
	}
	n.receive(n.links[0], &controlpb.SyncMessage{Ready: true, Complete: true})
	n.apply(n.machine.Tick(n.now))
	byID := map[identity.OwnerID]membership.RecordConfig{}
	for _, m := range n.members {
		byID[m.ID] = m
	}
	for _, id := range n.machine.Watched() {
		n.sessions[n.machine.NextStream()] = byID[id]
	}
	return n
}

func (n *scaleNode) identify(stream membership.StreamID, m membership.RecordConfig) {
	n.receive(stream, &controlpb.SyncMessage{Self: membership.NewRecord(m).Member(), Ready: true})
}

func (n *scaleNode) receive(stream membership.StreamID, m *controlpb.SyncMessage) {
	n.apply(n.machine.Receive(n.now, stream, m))
}

func (n *scaleNode) count(m proto.Message) {
	n.bytes += proto.Size(m) + messageOverhead
	n.messages++
}

func (n *scaleNode) apply(a membership.Actions) {
	for _, o := range a.OpenSync {
		for _, m := range n.members {
			if m.Control == o.Address {
				n.links = append(n.links, o.Stream)
				n.identify(o.Stream, m)
			}
		}
	}
	for _, o := range a.OpenAnnounce {
		n.watchers[o.Stream] = true
	}
	for _, s := range a.Sync {
		n.count(s.Message)
		if d := s.Message.GetDigest(); d != nil {
			// The neighbour holds the same state, so its response contains no
			// differences.
			n.digests[s.Stream] = d
			n.receive(s.Stream, &controlpb.SyncMessage{Ready: true, Answer: &controlpb.Answer{}})
		}
	}
	for _, s := range a.Announce {
		n.count(s.Message)
		n.apply(n.machine.ReceiveResponse(n.now, s.Stream, &controlpb.AnnounceResponse{Version: n.machine.Self().Version()}))
	}
}

// simulateSecond simulates one second of a day with the average rate of
// changes.
func (n *scaleNode) simulateSecond(balancers int) {
	start := time.Now()
	n.counter++
	for range clock.Second / membership.TickInterval {
		n.now += membership.TickInterval
		n.apply(n.machine.Tick(n.now))
	}
	for i, stream := range n.links {
		m := &controlpb.SyncMessage{Ready: true}
		for j := range scaleDataCentres {
			m.Heartbeats = append(m.Heartbeats, &controlpb.DataCentreHeartbeat{DataCentre: fmt.Sprintf("region-%d-%d", j%3, j), Counter: n.counter})
		}
		if own := n.digests[n.links[len(n.links)-1]]; own != nil && n.counter%10 == uint64(i) {
			m.Digest = own
		}
		n.receive(stream, m)
	}
	scale := float64(balancers) / 500
	n.changes += changesPerDay * scale / secondsPerDay
	for ; n.changes >= 1; n.changes-- {
		m := &n.members[balancers+int(n.counter)%(len(n.members)-balancers)]
		m.Version++
		n.receive(n.links[int(n.counter)%len(n.links)], &controlpb.SyncMessage{Ready: true, Members: []*controlpb.Member{membership.NewRecord(*m).Member()}})
	}
	if n.counter%(secondsPerDay/contractsPerDay) == 0 {
		n.revision++
		c := &controlpb.Contract{Customer: fmt.Sprint("customer-", n.revision%50), Revision: n.revision, Document: make([]byte, documentSize)}
		n.receive(n.links[int(n.counter)%len(n.links)], &controlpb.SyncMessage{Ready: true, Contracts: []*controlpb.Contract{c}})
	}
	n.processingTime += time.Since(start)
	n.processHeartbeats()
}

func (n *scaleNode) processHeartbeats() {
	for stream, m := range n.sessions {
		request := &controlpb.AnnounceRequest{Member: &controlpb.Member{Id: uint64(m.ID), Version: m.Version}}
		if n.versions[m.ID] < m.Version {
			request.Member = membership.NewRecord(m).Member()
		}
		start := time.Now()
		response, actions, err := n.machine.ReceiveHeartbeat(n.now, stream, request)
		n.processingTime += time.Since(start)
		if err != nil {
			panic(err)
		}
		n.heartbeatCount++
		n.versions[m.ID] = response.GetVersion()
		n.count(response)
		n.apply(actions)
	}
}

// BenchmarkScale measures one balancer in steady state. One operation is one
// second of a day with the average rate of changes. The time includes the
// simulated neighbours but not gRPC.
func BenchmarkScale(b *testing.B) {
	for _, balancers := range []int{50, 150, 300, 500} {
		b.Run(fmt.Sprint("balancers=", balancers), func(b *testing.B) {
			before := heldHeap()
			n := newScaleNode(balancers)
			for range 120 {
				n.simulateSecond(balancers)
			}
			held := heldHeap() - before
			n.bytes, n.messages, n.heartbeatCount, n.processingTime = 0, 0, 0, 0
			var seconds float64
			for b.Loop() {
				n.simulateSecond(balancers)
				seconds++
			}
			b.ReportMetric(float64(n.bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(n.messages)/seconds, "messages/s")
			b.ReportMetric(float64(n.processingTime.Nanoseconds())/seconds, "ns/s")
			b.ReportMetric(float64(held)/float64(n.machine.Table().Len()), "B/member")
			b.ReportMetric(float64(n.machine.Table().Len()), "members")
			b.ReportMetric(float64(len(n.sessions)), "watched")
			measureHeartbeat(b, n)
		})
	}
}

// measureHeartbeat reports the processing time of a heartbeat that changes
// nothing.
func measureHeartbeat(b *testing.B, n *scaleNode) {
	const repetitions = 1000
	before := n.heartbeatCount
	start := time.Now()
	for range repetitions {
		n.processHeartbeats()
	}
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(n.heartbeatCount-before), "ns/heartbeat")
}

func heldHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
