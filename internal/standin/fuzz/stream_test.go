package fuzz_test

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/protobuf/proto"
)

// end is one side of a control stream. Its messages go to the other side.
type end struct {
	owner  *process
	id     membership.StreamID
	other  *end
	silent bool
	// arrival is when the last message arrives. Without faults a stream keeps the
	// order of its messages, as TCP does.
	arrival clock.Millis
}

// apply does what the membership state machine of p asks for.
func (w *world) apply(p *process, a membership.Actions) {
	for _, id := range a.Close {
		if s, ok := p.streams[id]; ok {
			w.disconnect(s, false)
		}
	}
	for _, id := range a.Release {
		if s, ok := p.streams[id]; ok {
			w.disconnect(s, true)
		}
	}
	for _, o := range a.OpenSync {
		w.open(p, o, true)
	}
	for _, o := range a.OpenAnnounce {
		w.open(p, o, false)
	}
	for _, m := range a.Sync {
		w.send(p, m.Stream, m.Message)
	}
	for _, m := range a.Announce {
		w.send(p, m.Stream, m.Message)
	}
	for _, c := range w.decisions.contracts(p, a.Contracts) {
		p.applyContract(c)
	}
	if len(a.Changed)+len(a.Removed) > 0 {
		p.applyMembers(a.Changed, a.Removed)
	}
	if a.SiblingsChanged {
		p.applySiblings()
	}
	if a.WantSeeds {
		w.schedule(w.latency(), p, func() { w.seed(p) })
	}
	if a.Reader != nil {
		p.reader = *a.Reader
	}
}

func (w *world) seed(p *process) {
	var addresses []netip.AddrPort
	for _, candidate := range w.places {
		if candidate.balancer {
			addresses = append(addresses, candidate.address)
		}
	}
	if p.balancer != nil {
		w.apply(p, p.balancer.SetSeeds(w.now, addresses))
	} else {
		w.apply(p, p.sidecar.SetSeeds(w.now, addresses))
	}
}

func (w *world) open(p *process, o membership.Open, sync bool) {
	local := &end{owner: p, id: o.Stream}
	p.streams[o.Stream] = local
	p.opened = append(p.opened, o.Stream)
	q := w.atAddress(o.Address)
	if q == nil || q.balancer == nil {
		w.schedule(w.latency(), p, func() { w.closed(local) })
		return
	}
	// A connection needs both directions.
	if w.cut(p, q) || w.cut(q, p) {
		return
	}
	remote := &end{owner: q, id: q.balancer.NextStream(), other: local}
	local.other = remote
	q.streams[remote.id] = remote
	q.opened = append(q.opened, remote.id)
	if sync {
		w.schedule(0, q, func() { w.apply(q, q.balancer.SyncAccepted(w.now, remote.id)) })
	}
}

func (w *world) disconnect(s *end, released bool) {
	delete(s.owner.streams, s.id)
	if s.other == nil || w.cut(s.owner, s.other.owner) || s.silent {
		return
	}
	remote := s.other
	w.schedule(w.latency(), remote.owner, func() {
		if b := remote.owner.balancer; released && remote.owner.streams[remote.id] == remote && b != nil {
			w.apply(remote.owner, b.StreamReleased(w.now, remote.id))
		}
		w.closed(remote)
	})
}

func (w *world) closed(s *end) {
	if s.owner.streams[s.id] != s {
		return
	}
	delete(s.owner.streams, s.id)
	if s.owner.balancer != nil {
		w.apply(s.owner, s.owner.balancer.StreamClosed(w.now, s.id))
	} else {
		w.apply(s.owner, s.owner.sidecar.StreamClosed(w.now, s.id))
	}
}

// send applies the faults. Single messages are lost only on Sync streams, because
// a stream of heartbeats relies on TCP and either works or falls silent.
func (w *world) send(p *process, id membership.StreamID, m proto.Message) {
	s, ok := p.streams[id]
	if !ok || s.other == nil || s.silent {
		return
	}
	_, sync := m.(*controlpb.SyncMessage)
	delay, copies := w.latency(), 1
	if w.faulty {
		switch w.random.IntN(40) {
		case 0:
			s.silent = w.random.IntN(10) == 0
			if sync || s.silent {
				copies = 0
			}
		case 1:
			copies = 2
		case 2:
			delay += w.lateness()
		}
	}
	if !w.faulty {
		delay = max(delay, s.arrival-w.now)
		s.arrival = w.now + delay
	}
	remote := s.other
	for i := range copies {
		// Messages are encoded, so that processes share no memory.
		data, _ := proto.Marshal(m)
		received := m.ProtoReflect().New().Interface()
		_ = proto.Unmarshal(data, received)
		w.schedule(delay+clock.Millis(i), remote.owner, func() {
			if w.cut(p, remote.owner) {
				s.silent = s.silent || !sync
				return
			}
			w.receive(remote, received)
		})
	}
}

func (w *world) receive(s *end, m proto.Message) {
	p := s.owner
	if p.streams[s.id] != s {
		return
	}
	switch m := m.(type) {
	case *controlpb.SyncMessage:
		w.decisions.received(p, m)
		w.apply(p, p.balancer.Receive(w.now, s.id, m))
	case *controlpb.AnnounceRequest:
		response, actions, err := p.balancer.ReceiveHeartbeat(w.now, s.id, m)
		if err != nil {
			panic(err)
		}
		w.apply(p, actions)
		w.send(p, s.id, response)
	case *controlpb.AnnounceResponse:
		if p.balancer != nil {
			w.apply(p, p.balancer.ReceiveResponse(w.now, s.id, m))
		} else {
			w.apply(p, p.sidecar.ReceiveResponse(w.now, s.id, m))
		}
	}
}
