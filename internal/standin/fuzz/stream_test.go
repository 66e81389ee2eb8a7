package fuzz_test

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/protobuf/proto"
)

// streamEnd is one end of a control stream. peer is nil if the stream was not
// connected. A silent end sends nothing more, but stays open.
type streamEnd struct {
	owner  *process
	id     membership.StreamID
	peer   *streamEnd
	silent bool
	// lastArrival is the latest arrival at the peer of the messages that were sent
	// without faults. Without faults a stream keeps the order of its messages, as TCP
	// does.
	lastArrival clock.Millis
}

// apply carries out the actions that the membership state machine of p returned.
func (sim *simulation) apply(p *process, a membership.Actions) {
	for _, id := range a.Close {
		if s, ok := p.streams[id]; ok {
			sim.disconnect(s, false)
		}
	}
	for _, id := range a.Release {
		if s, ok := p.streams[id]; ok {
			sim.disconnect(s, true)
		}
	}
	for _, o := range a.OpenSync {
		sim.openStream(p, o, true)
	}
	for _, o := range a.OpenAnnounce {
		sim.openStream(p, o, false)
	}
	for _, m := range a.Sync {
		sim.send(p, m.Stream, m.Message)
	}
	for _, m := range a.Announce {
		sim.send(p, m.Stream, m.Message)
	}
	for _, c := range sim.decisions.filterContracts(p, a.Contracts) {
		p.applyContract(c)
	}
	if len(a.Changed)+len(a.Removed) > 0 {
		p.applyMembers(a.Changed, a.Removed)
	}
	if a.SiblingsChanged {
		p.applySiblings()
	}
	if a.WantSeeds {
		sim.schedule(sim.latency(), p, func() { sim.provideSeeds(p) })
	}
	if a.Reader != nil {
		p.reader = *a.Reader
	}
}

// provideSeeds passes the addresses of all balancer locations to p.
func (sim *simulation) provideSeeds(p *process) {
	var addresses []netip.AddrPort
	for _, candidate := range sim.locations {
		if candidate.balancer {
			addresses = append(addresses, candidate.address)
		}
	}
	if p.balancer != nil {
		sim.apply(p, p.balancer.SetSeeds(sim.now, addresses))
	} else {
		sim.apply(p, p.sidecar.SetSeeds(sim.now, addresses))
	}
}

func (sim *simulation) openStream(p *process, o membership.Open, sync bool) {
	local := &streamEnd{owner: p, id: o.Stream}
	p.streams[o.Stream] = local
	p.streamOrder = append(p.streamOrder, o.Stream)
	q := sim.processByAddress(o.Address)
	if q == nil || q.balancer == nil {
		sim.schedule(sim.latency(), p, func() { sim.streamClosed(local) })
		return
	}
	// A connection needs both directions. Without both, the attempt gets neither a
	// response nor an error.
	if sim.cut(p, q) || sim.cut(q, p) {
		return
	}
	remote := &streamEnd{owner: q, id: q.balancer.NextStream(), peer: local}
	local.peer = remote
	q.streams[remote.id] = remote
	q.streamOrder = append(q.streamOrder, remote.id)
	if sync {
		sim.schedule(0, q, func() { sim.apply(q, q.balancer.SyncAccepted(sim.now, remote.id)) })
	}
}

// disconnect removes an end of a stream and closes its peer. If released is true,
// the peer first sees a release, which it can distinguish from a failure.
func (sim *simulation) disconnect(s *streamEnd, released bool) {
	delete(s.owner.streams, s.id)
	if s.peer == nil || sim.cut(s.owner, s.peer.owner) || s.silent {
		return
	}
	remote := s.peer
	sim.schedule(sim.latency(), remote.owner, func() {
		if b := remote.owner.balancer; released && remote.owner.streams[remote.id] == remote && b != nil {
			sim.apply(remote.owner, b.StreamReleased(sim.now, remote.id))
		}
		sim.streamClosed(remote)
	})
}

func (sim *simulation) streamClosed(s *streamEnd) {
	if s.owner.streams[s.id] != s {
		return
	}
	delete(s.owner.streams, s.id)
	if s.owner.balancer != nil {
		sim.apply(s.owner, s.owner.balancer.StreamClosed(sim.now, s.id))
	} else {
		sim.apply(s.owner, s.owner.sidecar.StreamClosed(sim.now, s.id))
	}
}

// send sends a control message and applies the network faults. Single messages are
// lost only on Sync streams, because a stream of heartbeats relies on TCP and either
// works or falls silent.
func (sim *simulation) send(p *process, id membership.StreamID, m proto.Message) {
	s, ok := p.streams[id]
	if !ok || s.peer == nil || s.silent {
		return
	}
	_, sync := m.(*controlpb.SyncMessage)
	delay, copies := sim.latency(), 1
	if sim.faulty {
		switch sim.random.IntN(40) {
		case 0:
			s.silent = sim.random.IntN(10) == 0
			if sync || s.silent {
				copies = 0
			}
		case 1:
			copies = 2
		case 2:
			delay += sim.extraDelay()
		}
	}
	if !sim.faulty {
		delay = max(delay, s.lastArrival-sim.now)
		s.lastArrival = sim.now + delay
	}
	remote := s.peer
	for i := range copies {
		// Encoding and decoding the message ensures that processes share no memory.
		data, _ := proto.Marshal(m)
		received := m.ProtoReflect().New().Interface()
		_ = proto.Unmarshal(data, received)
		sim.schedule(delay+clock.Millis(i), remote.owner, func() {
			if sim.cut(p, remote.owner) {
				s.silent = s.silent || !sync
				return
			}
			sim.receive(remote, received)
		})
	}
}

func (sim *simulation) receive(s *streamEnd, m proto.Message) {
	p := s.owner
	if p.streams[s.id] != s {
		return
	}
	switch m := m.(type) {
	case *controlpb.SyncMessage:
		sim.decisions.syncReceived(p, m)
		sim.apply(p, p.balancer.Receive(sim.now, s.id, m))
	case *controlpb.AnnounceRequest:
		response, actions, err := p.balancer.ReceiveHeartbeat(sim.now, s.id, m)
		if err != nil {
			panic(err)
		}
		sim.apply(p, actions)
		sim.send(p, s.id, response)
	case *controlpb.AnnounceResponse:
		if p.balancer != nil {
			sim.apply(p, p.balancer.ReceiveResponse(sim.now, s.id, m))
		} else {
			sim.apply(p, p.sidecar.ReceiveResponse(sim.now, s.id, m))
		}
	}
}
