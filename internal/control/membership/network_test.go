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
	// maxExtraDelay is less than SilenceTimeout.
	maxExtraDelay clock.Millis = 1500
)

// location is an address at which one process runs at a time. When that process
// has ended, another one can start there.
type location struct {
	address    netip.AddrPort
	dataCentre string
	role       membership.Role
	service    string
}

// process is one incarnation at a location.
type process struct {
	location location
	id       identity.OwnerID
	balancer *membership.Balancer
	sidecar  *membership.Sidecar
	running  bool
	// resumesAt is when a paused process processes messages again.
	resumesAt clock.Millis
	revisions map[string]uint64
	streams   map[membership.StreamID]*streamEnd
	opened    []membership.StreamID
}

// streamEnd is one end of a stream. Messages sent on it arrive at the other
// end.
type streamEnd struct {
	owner *process
	id    membership.StreamID
	other *streamEnd
	// silent is set when the end still looks open but sends nothing any more.
	silent bool
}

type event struct {
	at       clock.Millis
	sequence int
	to       *process
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
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
	t         testing.TB
	random    *rand.Rand
	now       clock.Millis
	sequence  int
	events    events
	locations []location
	processes []*process
	// partitioned data centres reach each other but not the rest.
	partitioned map[string]bool
	faulty      bool
	// falselyDead describes running processes that another process considered
	// dead.
	falselyDead []string
	sent        int
}

func newNetwork(seed uint64, locations []location) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 1)), locations: locations, partitioned: map[string]bool{}}
}

// standardLocations has one data centre with three balancers, one with two, one
// with a single balancer and one with none.
func standardLocations() []location {
	var locations []location
	add := func(dataCentre string, balancers, sidecars int) {
		for i := range balancers + sidecars {
			added := location{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+len(locations))), dataCentre: dataCentre}
			added.role, added.service = membership.RoleSidecar, fmt.Sprint("service-", i%2)
			if i < balancers {
				added.role = membership.RoleBalancer
			}
			locations = append(locations, added)
		}
	}
	add("agassiz", 3, 3)
	add("chilliwack", 2, 2)
	add("hope", 1, 1)
	add("yale", 0, 1)
	return locations
}

func (n *network) start(at int) *process {
	p := &process{
		location: n.locations[at], id: identity.OwnerID(n.random.Uint64N(1<<48-1) + 1), running: true,
		revisions: map[string]uint64{}, streams: map[membership.StreamID]*streamEnd{},
	}
	self := membership.NewRecord(membership.RecordConfig{
		ID: p.id, Version: 1, Role: p.location.role, State: membership.StateServing,
		DataCentre: p.location.dataCentre, Host: "host", Tunnel: p.location.address, Control: p.location.address,
		Customer: "ferncliff-willow", Service: p.location.service, Weight: membership.MaxWeight,
	})
	if p.location.role == membership.RoleBalancer {
		p.balancer = membership.NewBalancer(n.now, self)
	} else {
		p.sidecar = membership.NewSidecar(n.now, self)
	}
	n.processes = append(n.processes, p)
	n.tick(p)
	return p
}

// at returns the process that runs at a location, or nil.
func (n *network) at(location int) *process {
	for _, p := range n.processes {
		if p.running && p.location.address == n.locations[location].address {
			return p
		}
	}
	return nil
}

func (n *network) running(role membership.Role) []*process {
	var running []*process
	for _, p := range n.processes {
		if p.running && p.location.role == role {
			running = append(running, p)
		}
	}
	return running
}

// crash ends a process without notice. The streams of reachable peers fail.
func (n *network) crash(p *process) {
	p.running = false
	for _, id := range p.opened {
		if s, ok := p.streams[id]; ok {
			n.disconnect(s, false)
		}
	}
}

func (n *network) schedule(delay clock.Millis, to *process, action func()) {
	n.sequence++
	heap.Push(&n.events, event{at: n.now + delay, sequence: n.sequence, to: to, action: action})
}

func (n *network) latency() clock.Millis {
	return minLatency + clock.Millis(n.random.Int64N(int64(maxLatency-minLatency)))
}

// partitionedFrom reports whether a partition separates a and b.
func (n *network) partitionedFrom(a, b *process) bool {
	return n.partitioned[a.location.dataCentre] != n.partitioned[b.location.dataCentre]
}

// advance moves the virtual time forward by d and runs the events that are due.
func (n *network) advance(d clock.Millis) {
	for until := n.now + d; len(n.events) > 0 && n.events[0].at <= until; {
		e := heap.Pop(&n.events).(event)
		n.now = max(n.now, e.at)
		if !e.to.running {
			continue
		}
		if e.to.resumesAt > n.now {
			n.schedule(e.to.resumesAt-n.now, e.to, e.action)
			continue
		}
		e.action()
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
				n.falselyDead = append(n.falselyDead, fmt.Sprintf("%d ms: %s (%s) at %s (%s)", n.now, id, q.location.dataCentre, p.id, p.location.dataCentre))
			}
		}
	}
	if a.WantSeeds {
		n.schedule(n.latency(), p, func() { n.provideSeeds(p) })
	}
	if a.Reader != nil && *a.Reader {
		n.schedule(n.latency(), p, func() { n.apply(p, p.balancer.MarkComplete(n.now)) })
	}
}

func (n *network) provideSeeds(p *process) {
	var addresses []netip.AddrPort
	for _, location := range n.locations {
		if location.role == membership.RoleBalancer {
			addresses = append(addresses, location.address)
		}
	}
	if p.balancer != nil {
		n.apply(p, p.balancer.SetSeeds(n.now, addresses))
	} else {
		n.apply(p, p.sidecar.SetSeeds(n.now, addresses))
	}
}

func (n *network) open(p *process, o membership.Open, sync bool) {
	local := &streamEnd{owner: p, id: o.Stream}
	p.streams[o.Stream] = local
	p.opened = append(p.opened, o.Stream)
	index := slices.IndexFunc(n.locations, func(candidate location) bool { return candidate.address == o.Address })
	q := n.at(index)
	if q == nil {
		n.schedule(n.latency(), p, func() { n.closed(local) })
		return
	}
	if n.partitionedFrom(p, q) {
		return
	}
	// The remote end exists at once. Its process is notified of a Sync stream,
	// and learns of an Announce stream with the first heartbeat.
	remote := &streamEnd{owner: q, id: q.balancer.NextStream(), other: local}
	local.other = remote
	q.streams[remote.id] = remote
	q.opened = append(q.opened, remote.id)
	if sync {
		n.schedule(0, q, func() { n.apply(q, q.balancer.SyncAccepted(n.now, remote.id)) })
	}
}

func (n *network) disconnect(s *streamEnd, released bool) {
	delete(s.owner.streams, s.id)
	if s.other == nil || n.partitionedFrom(s.owner, s.other.owner) || s.silent {
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

func (n *network) closed(s *streamEnd) {
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

// send delivers a message to the other end, subject to the faults. Single
// messages are lost only on Sync streams. A stream of heartbeats relies on TCP,
// so it either works or becomes silent.
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
			delay += clock.Millis(n.random.Int64N(int64(maxExtraDelay)))
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
			if !n.partitionedFrom(p, remote.owner) {
				n.receive(remote, received)
			}
		})
	}
}

func (n *network) receive(s *streamEnd, m proto.Message) {
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

// leave ends a process that notifies its peers first.
func (n *network) leave(p *process) {
	if p.balancer != nil {
		n.apply(p, p.balancer.SetState(n.now, membership.StateLeft))
	} else {
		n.apply(p, p.sidecar.SetSelf(n.now, membership.StateLeft, 0))
	}
	n.crash(p)
}
