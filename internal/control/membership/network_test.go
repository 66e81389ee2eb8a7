package membership_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/protobuf/proto"
)

const (
	minLatency clock.Millis = 1
	maxLatency clock.Millis = 5
	// maxLateness stays below the silence timeout.
	maxLateness clock.Millis = 1500
)

// place is an address at which processes start one after the other.
type place struct {
	address    netip.AddrPort
	dataCentre string
	role       membership.Role
	service    string
}

// process is one incarnation at a place.
type process struct {
	place    place
	id       identity.OwnerID
	balancer *membership.Balancer
	sidecar  *membership.Sidecar
	running  bool
	// resumes is when a paused process reads its messages again.
	resumes   clock.Millis
	revisions map[string]uint64
	streams   map[membership.StreamID]*end
	opened    []membership.StreamID
}

// end is one side of a stream. Its messages go to the other side.
type end struct {
	owner  *process
	id     membership.StreamID
	other  *end
	silent bool
}

type event struct {
	at    clock.Millis
	order int
	to    *process
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// network delivers messages between processes in virtual time. Faults apply
// only while faulty is set.
type network struct {
	t           testing.TB
	random      *rand.Rand
	now         clock.Millis
	order       int
	events      events
	places      []place
	processes   []*process
	partitioned map[string]bool
	faulty      bool
	// killed are live processes that some process considered dead.
	killed []string
	sent   int
}

func newNetwork(seed uint64, places []place) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), places: places, partitioned: map[string]bool{}}
}

// standardPlaces has a data centre with three balancers, one with two, one with
// a single one and one with none.
func standardPlaces() []place {
	var places []place
	add := func(dataCentre string, balancers, sidecars int) {
		for i := range balancers + sidecars {
			p := place{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+len(places))), dataCentre: dataCentre}
			p.role, p.service = membership.RoleSidecar, fmt.Sprint("service-", i%2)
			if i < balancers {
				p.role = membership.RoleBalancer
			}
			places = append(places, p)
		}
	}
	add("agassiz", 3, 3)
	add("chilliwack", 2, 2)
	add("hope", 1, 1)
	add("yale", 0, 1)
	return places
}

func (n *network) start(at int) *process {
	p := &process{
		place: n.places[at], id: identity.OwnerID(n.random.Uint64N(1<<48-1) + 1), running: true,
		revisions: map[string]uint64{}, streams: map[membership.StreamID]*end{},
	}
	self := membership.NewRecord(membership.RecordConfig{
		ID: p.id, Version: 1, Role: p.place.role, State: membership.StateServing,
		DataCentre: p.place.dataCentre, Host: "host", Tunnel: p.place.address, Control: p.place.address,
		Customer: "ferncliff-willow", Service: p.place.service, Weight: membership.MaxWeight,
	})
	if p.place.role == membership.RoleBalancer {
		p.balancer = membership.NewBalancer(n.now, self)
	} else {
		p.sidecar = membership.NewSidecar(n.now, self)
	}
	n.processes = append(n.processes, p)
	n.tick(p)
	return p
}

func (n *network) at(place int) *process {
	for _, p := range n.processes {
		if p.running && p.place.address == n.places[place].address {
			return p
		}
	}
	return nil
}

func (n *network) running(role membership.Role) []*process {
	var running []*process
	for _, p := range n.processes {
		if p.running && p.place.role == role {
			running = append(running, p)
		}
	}
	return running
}

// crash ends a process; peers that can be reached see their streams fail.
func (n *network) crash(p *process) {
	p.running = false
	for _, id := range p.opened {
		if s, ok := p.streams[id]; ok {
			n.disconnect(s, false)
		}
	}
}

func (n *network) schedule(delay clock.Millis, to *process, run func()) {
	n.order++
	heap.Push(&n.events, event{at: n.now + delay, order: n.order, to: to, run: run})
}

func (n *network) latency() clock.Millis {
	return minLatency + clock.Millis(n.random.Int64N(int64(maxLatency-minLatency)))
}

func (n *network) cut(a, b *process) bool {
	return n.partitioned[a.place.dataCentre] != n.partitioned[b.place.dataCentre]
}

// advance lets the given time pass.
func (n *network) advance(d clock.Millis) {
	for until := n.now + d; len(n.events) > 0 && n.events[0].at <= until; {
		e := heap.Pop(&n.events).(event)
		n.now = max(n.now, e.at)
		if !e.to.running {
			continue
		}
		if e.to.resumes > n.now {
			n.schedule(e.to.resumes-n.now, e.to, e.run)
			continue
		}
		e.run()
	}
}

func (n *network) tick(p *process) {
	if p.balancer != nil {
		n.apply(p, p.balancer.Tick(n.now))
	} else {
		n.apply(p, p.sidecar.Tick(n.now))
	}
	n.schedule(membership.TickInterval, p, func() { n.tick(p) })
}

func (n *network) apply(p *process, a membership.Actions) {
	for _, id := range a.Close {
		if s, ok := p.streams[id]; ok {
			n.disconnect(s, false)
		}
	}
	for _, id := range a.Release {
		if s, ok := p.streams[id]; ok {
			n.disconnect(s, true)
		}
	}
	for _, o := range a.OpenSync {
		n.open(p, o, true)
	}
	for _, o := range a.OpenAnnounce {
		n.open(p, o, false)
	}
	for _, m := range a.Sync {
		n.send(p, m.Stream, m.Message)
	}
	for _, m := range a.Announce {
		n.send(p, m.Stream, m.Message)
	}
	for _, c := range a.Contracts {
		if c.Revision <= p.revisions[c.Customer] {
			n.t.Fatalf("%s went from revision %d to %d", p.id, p.revisions[c.Customer], c.Revision)
		}
		p.revisions[c.Customer] = c.Revision
	}
	for _, id := range a.Removed {
		for _, q := range n.processes {
			if q.id == id && q.running {
				n.killed = append(n.killed, fmt.Sprintf("%d ms: %s (%s) at %s (%s)", n.now, id, q.place.dataCentre, p.id, p.place.dataCentre))
			}
		}
	}
	if a.WantSeeds {
		n.schedule(n.latency(), p, func() { n.seed(p) })
	}
	if a.Reader != nil && *a.Reader {
		n.schedule(n.latency(), p, func() { n.apply(p, p.balancer.MarkComplete(n.now)) })
	}
}

func (n *network) seed(p *process) {
	var addresses []netip.AddrPort
	for _, candidate := range n.places {
		if candidate.role == membership.RoleBalancer {
			addresses = append(addresses, candidate.address)
		}
	}
	if p.balancer != nil {
		n.apply(p, p.balancer.SetSeeds(n.now, addresses))
	} else {
		n.apply(p, p.sidecar.SetSeeds(n.now, addresses))
	}
}

func (n *network) open(p *process, o membership.Open, sync bool) {
	local := &end{owner: p, id: o.Stream}
	p.streams[o.Stream] = local
	p.opened = append(p.opened, o.Stream)
	index := slices.IndexFunc(n.places, func(candidate place) bool { return candidate.address == o.Address })
	q := n.at(index)
	if q == nil {
		n.schedule(n.latency(), p, func() { n.closed(local) })
		return
	}
	if n.cut(p, q) {
		return
	}
	// The remote side exists at once, but learns of it with the first message.
	remote := &end{owner: q, id: q.balancer.NextStream(), other: local}
	local.other = remote
	q.streams[remote.id] = remote
	q.opened = append(q.opened, remote.id)
	if sync {
		n.schedule(0, q, func() { n.apply(q, q.balancer.SyncAccepted(n.now, remote.id)) })
	}
}

func (n *network) disconnect(s *end, released bool) {
	delete(s.owner.streams, s.id)
	if s.other == nil || n.cut(s.owner, s.other.owner) || s.silent {
		return
	}
	remote := s.other
	n.schedule(n.latency(), remote.owner, func() {
		if b := remote.owner.balancer; released && remote.owner.streams[remote.id] == remote && b != nil {
			n.apply(remote.owner, b.StreamReleased(n.now, remote.id))
		}
		n.closed(remote)
	})
}

func (n *network) closed(s *end) {
	if s.owner.streams[s.id] != s {
		return
	}
	delete(s.owner.streams, s.id)
	if s.owner.balancer != nil {
		n.apply(s.owner, s.owner.balancer.StreamClosed(n.now, s.id))
	} else {
		n.apply(s.owner, s.owner.sidecar.StreamClosed(n.now, s.id))
	}
}

// send applies the faults: single messages are lost only on Sync streams,
// because a stream of heartbeats relies on TCP and either works or falls silent.
func (n *network) send(p *process, id membership.StreamID, m proto.Message) {
	s, ok := p.streams[id]
	if !ok || s.other == nil || s.silent {
		return
	}
	delay, copies := n.latency(), 1
	if n.faulty {
		_, sync := m.(*controlpb.SyncMessage)
		switch n.random.IntN(40) {
		case 0:
			s.silent = n.random.IntN(10) == 0
			copies = 0
			if !sync && !s.silent {
				copies = 1
			}
		case 1:
			copies = 2
		case 2:
			delay += clock.Millis(n.random.Int64N(int64(maxLateness)))
		}
	}
	n.sent += copies
	for i := range copies {
		// Messages are encoded, so that processes share no memory.
		data, _ := proto.Marshal(m)
		received := m.ProtoReflect().New().Interface()
		_ = proto.Unmarshal(data, received)
		remote := s.other
		n.schedule(delay+clock.Millis(i), remote.owner, func() {
			if !n.cut(p, remote.owner) {
				n.receive(remote, received)
			}
		})
	}
}

func (n *network) receive(s *end, m proto.Message) {
	p := s.owner
	if p.streams[s.id] != s {
		return
	}
	switch m := m.(type) {
	case *controlpb.SyncMessage:
		n.apply(p, p.balancer.Receive(n.now, s.id, m))
	case *controlpb.AnnounceRequest:
		response, actions, err := p.balancer.ReceiveHeartbeat(n.now, s.id, m)
		if err != nil {
			n.t.Fatal(err)
		}
		n.apply(p, actions)
		n.send(p, s.id, response)
	case *controlpb.AnnounceResponse:
		if p.balancer != nil {
			n.apply(p, p.balancer.ReceiveResponse(n.now, s.id, m))
		} else {
			n.apply(p, p.sidecar.ReceiveResponse(n.now, s.id, m))
		}
	}
}

// leave ends a process that tells its peers.
func (n *network) leave(p *process) {
	if p.balancer != nil {
		n.apply(p, p.balancer.SetState(n.now, membership.StateLeft))
	} else {
		n.apply(p, p.sidecar.SetSelf(n.now, membership.StateLeft, 0))
	}
	n.crash(p)
}
