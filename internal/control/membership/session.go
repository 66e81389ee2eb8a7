package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// answerLimit is the number of members in one answer to a heartbeat. At 110
// bytes each, 4,700 siblings take 5 answers.
const answerLimit = 1024

// session is a stream on which a member announces itself to this balancer.
type session struct {
	id       identity.OwnerID
	role     Role
	service  identity.ServiceID
	customer string
	heard    clock.Millis
	members  queue[identity.OwnerID]
	// removed are members whose records the table does not hold any more.
	removed  []uint64
	contract bool
	// balancers is the list that was sent last. A balancer that starts at the
	// address of another one is a change.
	balancers      []identity.OwnerID
	balancersStale bool
	complete       bool
}

// ReceiveHeartbeat takes a heartbeat on a stream that a member opened and returns the
// answer. An error means that the stream must be closed.
func (b *Balancer) ReceiveHeartbeat(now clock.Millis, stream StreamID, m *controlpb.AnnounceRequest) (*controlpb.AnnounceResponse, Actions, error) {
	id := identity.OwnerID(m.GetMember().GetId())
	if m.GetMember().GetRole() != controlpb.Role_ROLE_UNSPECIFIED {
		r, err := ParseMember(m.GetMember())
		if err != nil {
			return nil, b.take(), err
		}
		b.accept(now, r, now, nil)
		b.startSession(stream, r)
	}
	b.hear(now, id)
	response := &controlpb.AnnounceResponse{}
	held, known := b.table.Get(id)
	if known {
		response.Version = held.Version()
	}
	s, ok := b.sessions[stream]
	if !ok || s.id != id {
		// The member sends its record in full when the answer shows that this
		// balancer does not hold it.
		response.Version = 0
		return response, b.take(), nil
	}
	s.heard = now
	if known && held.State().Ended() {
		response.Members = append(response.Members, held.Member())
	}
	if s.role == RoleSidecar {
		b.fillAnswer(now, s, held, response)
	}
	return response, b.take(), nil
}

func (b *Balancer) startSession(stream StreamID, r Record) {
	if s, ok := b.sessions[stream]; ok && s.id == r.ID() {
		return
	}
	s := &session{id: r.ID(), role: r.Role(), service: r.ServiceID(), customer: r.Customer(), balancersStale: true}
	b.sessions[stream] = s
	if s.role != RoleSidecar {
		return
	}
	s.contract = true
	for _, id := range slices.Sorted(maps.Keys(b.table.services[s.service])) {
		if id != s.id {
			s.members.add(id)
		}
	}
}

func (b *Balancer) fillAnswer(now clock.Millis, s *session, self Record, m *controlpb.AnnounceResponse) {
	if s.contract {
		s.contract = false
		if c, ok := b.contracts.Get(s.customer); ok {
			m.Contracts = append(m.Contracts, c.message())
		}
	}
	m.Removed, s.removed = s.removed, nil
	for len(m.Members) < answerLimit {
		id, ok := s.members.pop()
		if !ok {
			break
		}
		if member, ok := b.table.member(now, id); ok {
			m.Members = append(m.Members, member)
		}
	}
	if s.balancersStale {
		s.balancersStale = false
		b.fillBalancers(s, self, m)
	}
	if !s.complete && b.complete && s.members.empty() {
		s.complete, m.Complete = true, true
	}
}

func (b *Balancer) fillBalancers(s *session, self Record, m *controlpb.AnnounceResponse) {
	records := b.watchersOf(self, CandidateCount)
	ids := make([]identity.OwnerID, len(records))
	for i, r := range records {
		ids[i] = r.ID()
	}
	if slices.Equal(ids, s.balancers) {
		return
	}
	s.balancers = ids
	for _, r := range records {
		m.Balancers = append(m.Balancers, r.Member())
	}
}

// notifySessions queues a record for the siblings announced here.
func (b *Balancer) notifySessions(r Record) {
	if r.Role() != RoleSidecar {
		return
	}
	_, held := b.table.Get(r.ID())
	for _, s := range b.sessions {
		switch {
		case s.role != RoleSidecar || s.service != r.ServiceID() || s.id == r.ID():
		case held:
			s.members.add(r.ID())
		default:
			s.removed = append(s.removed, uint64(r.ID()))
		}
	}
}

// checkSessions closes streams of members that fell silent.
func (b *Balancer) checkSessions(now clock.Millis) {
	for _, stream := range sortedStreams(b.sessions) {
		if now >= b.sessions[stream].heard+SilenceTimeout {
			delete(b.sessions, stream)
			b.out.Close = append(b.out.Close, stream)
		}
	}
}
