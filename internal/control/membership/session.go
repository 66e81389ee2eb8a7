package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// maxResponseMembers is the maximum number of members in one response to a
// heartbeat. At 110 bytes each, 4,700 siblings take 5 responses.
const maxResponseMembers = 1024

// session is a stream on which a member announces itself to this balancer.
type session struct {
	id       identity.OwnerID
	role     Role
	service  identity.ServiceID
	customer string
	lastSeen clock.Millis
	// members are queued for the next responses.
	members queue[identity.OwnerID]
	// removed lists members whose records are no longer in the table.
	removed     []uint64
	contractDue bool
	// sentBalancers is the list of candidate watchers that was sent last. It
	// contains IDs and not addresses, because a new balancer at the address of
	// an ended one is a change.
	sentBalancers []identity.OwnerID
	// balancersStale is set when the list may have changed.
	balancersStale bool
	sentComplete   bool
}

// ReceiveHeartbeat handles a heartbeat on a stream that a member opened, and
// returns the response. After an error the caller must close the stream.
func (b *Balancer) ReceiveHeartbeat(now clock.Millis, stream StreamID, m *controlpb.AnnounceRequest) (*controlpb.AnnounceResponse, Actions, error) {
	id := identity.OwnerID(m.GetMember().GetId())
	if m.GetMember().GetRole() != controlpb.Role_ROLE_UNSPECIFIED {
		r, err := ParseMember(m.GetMember())
		if err != nil {
			return nil, b.takeActions(), err
		}
		b.mergeRecord(now, r, now, nil)
		b.startSession(stream, r)
	}
	b.recordHeartbeat(now, id)
	response := &controlpb.AnnounceResponse{}
	held, known := b.table.Get(id)
	if known {
		response.Version = held.Version()
	}
	s, ok := b.sessions[stream]
	if !ok || s.id != id {
		// The member sends its full record when the response shows that this
		// balancer does not hold it.
		response.Version = 0
		return response, b.takeActions(), nil
	}
	s.lastSeen = now
	if known && held.State().Ended() {
		response.Members = append(response.Members, held.Member())
	}
	if s.role == RoleSidecar {
		b.fillResponse(now, s, held, response)
	}
	return response, b.takeActions(), nil
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
	s.contractDue = true
	for _, id := range slices.Sorted(maps.Keys(b.table.services[s.service])) {
		if id != s.id {
			s.members.add(id)
		}
	}
}

// fillResponse adds what changed for the sidecar of s since the last response.
func (b *Balancer) fillResponse(now clock.Millis, s *session, self Record, m *controlpb.AnnounceResponse) {
	if s.contractDue {
		s.contractDue = false
		if c, ok := b.contracts.Get(s.customer); ok {
			m.Contracts = append(m.Contracts, c.message())
		}
	}
	m.Removed, s.removed = s.removed, nil
	for len(m.Members) < maxResponseMembers {
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
	if !s.sentComplete && b.complete && s.members.empty() {
		s.sentComplete, m.Complete = true, true
	}
}

func (b *Balancer) fillBalancers(s *session, self Record, m *controlpb.AnnounceResponse) {
	records := b.watchersOf(self, CandidateCount)
	ids := make([]identity.OwnerID, len(records))
	for i, r := range records {
		ids[i] = r.ID()
	}
	if slices.Equal(ids, s.sentBalancers) {
		return
	}
	s.sentBalancers = ids
	for _, r := range records {
		m.Balancers = append(m.Balancers, r.Member())
	}
}

// notifySessions queues a changed or removed sidecar for its siblings that
// announce themselves to this balancer.
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

// checkSessions closes the streams of members that have been silent for
// SilenceTimeout.
func (b *Balancer) checkSessions(now clock.Millis) {
	for _, stream := range sortedStreams(b.sessions) {
		if now >= b.sessions[stream].lastSeen+SilenceTimeout {
			delete(b.sessions, stream)
			b.out.Close = append(b.out.Close, stream)
		}
	}
}
