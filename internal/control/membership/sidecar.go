package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Sidecar is the state machine of a sidecar's part in membership: it announces
// itself to its watchers and learns its siblings and its customer's contract
// from them. Methods must not run concurrently.
type Sidecar struct {
	self       Record
	announcer  *announcer
	candidates []netip.AddrPort
	// balancers are the balancers at the addresses of candidates.
	balancers  map[netip.AddrPort]identity.OwnerID
	seeds      []netip.AddrPort
	siblings   *siblings
	expired    clock.Millis
	contracts  *Contracts
	complete   bool
	ticked     clock.Millis
	seedsAsked clock.Millis
	lastStream StreamID
}

// NewSidecar returns the state machine of the member self.
func NewSidecar(now clock.Millis, self Record) *Sidecar {
	s := &Sidecar{
		self: self, siblings: newSiblings(), contracts: NewContracts(),
		ticked: now, seedsAsked: now - seedsInterval,
	}
	s.announcer = newAnnouncer(func() StreamID {
		s.lastStream++
		return s.lastStream
	})
	return s
}

// Self returns the own record.
func (s *Sidecar) Self() Record { return s.self }

// Ready reports whether a watcher has sent its complete state.
func (s *Sidecar) Ready() bool { return s.complete }

// Siblings returns the other members of the service that have not ended, in
// order of their IDs.
func (s *Sidecar) Siblings() []Record { return s.siblings.records() }

// Contract returns the contract of the own customer.
func (s *Sidecar) Contract() (Contract, bool) { return s.contracts.Get(s.self.Customer()) }

// SetSelf changes state and weight of the own record.
func (s *Sidecar) SetSelf(now clock.Millis, state State, weight int) Actions {
	if state != s.self.State() || weight != s.self.Weight() {
		s.self = s.self.withState(state).withWeight(weight).withVersion(s.self.Version() + 1)
		s.announcer.hurry(now)
	}
	return s.Tick(now)
}

// SetSeeds sets the addresses to try when no balancer is known.
func (s *Sidecar) SetSeeds(now clock.Millis, addresses []netip.AddrPort) Actions {
	s.seeds = slices.Clone(addresses)
	// Sidecars try the seeds in different orders, which spreads the load.
	slices.SortFunc(s.seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(s.seedScore(a), s.seedScore(b))
	})
	return s.Tick(now)
}

func (s *Sidecar) seedScore(a netip.AddrPort) uint64 {
	return score(uint64(s.self.ID()), identity.OwnerID(xxhash.Sum64String(a.String())))
}

// Tick does what is due at the given time.
func (s *Sidecar) Tick(now clock.Millis) Actions {
	var out Actions
	if now-s.ticked > pauseThreshold {
		s.announcer.postpone(now)
	}
	s.ticked = now
	s.announcer.backoff.forget(now)
	if now >= s.expired+clock.Minute {
		s.expired = now
		s.siblings.expire(now)
	}
	s.announcer.tick(now, s.self, slices.Concat(s.candidates, s.seeds), &out)
	out.SiblingsChanged = s.siblings.keep(func(id StreamID) bool { return s.announcer.streams[id] != nil })
	if !s.announcer.connected() && now >= s.seedsAsked+seedsInterval {
		s.seedsAsked = now
		out.WantSeeds = true
	}
	return out
}

// StreamClosed tells that a stream failed.
func (s *Sidecar) StreamClosed(now clock.Millis, stream StreamID) Actions {
	s.announcer.closed(now, stream, s.self)
	return s.Tick(now)
}

// ReceiveResponse takes an answer from a watcher.
func (s *Sidecar) ReceiveResponse(now clock.Millis, stream StreamID, m *controlpb.AnnounceResponse) Actions {
	var out Actions
	if !s.announcer.heard(now, stream, m.GetVersion()) {
		return out
	}
	for _, id := range m.GetRemoved() {
		if s.siblings.remove(stream, identity.OwnerID(id)) {
			out.SiblingsChanged = true
		}
	}
	for _, member := range m.GetMembers() {
		if r, err := ParseMember(member); err == nil {
			s.receiveMember(now, stream, r, &out)
		}
	}
	for _, c := range m.GetContracts() {
		contract := Contract{Customer: c.GetCustomer(), Revision: c.GetRevision(), Document: c.GetDocument()}
		if contract.Customer == s.self.Customer() && s.contracts.Put(contract) {
			out.Contracts = append(out.Contracts, contract)
		}
	}
	s.receiveBalancers(m.GetBalancers())
	if m.GetComplete() {
		s.complete = true
		out.SiblingsChanged = s.siblings.completed(stream) || out.SiblingsChanged
	}
	return out
}

func (s *Sidecar) receiveMember(now clock.Millis, stream StreamID, r Record, out *Actions) {
	if r.ID() == s.self.ID() {
		if r.Supersedes(s.self) {
			s.self = s.self.withVersion(r.Version() + 1)
			s.announcer.hurry(now)
		}
		return
	}
	if r.Role() != RoleSidecar || r.ServiceID() != s.self.ServiceID() {
		return
	}
	if s.siblings.put(now, stream, r) {
		out.SiblingsChanged = true
	}
}

// receiveBalancers takes the next candidates. A balancer that is new at its
// address is tried at once, whatever failed there before: as a new watcher it
// declares this member dead if it hears nothing.
func (s *Sidecar) receiveBalancers(members []*controlpb.Member) {
	if len(members) == 0 {
		return
	}
	s.candidates = s.candidates[:0]
	balancers := map[netip.AddrPort]identity.OwnerID{}
	for _, m := range members {
		r, err := ParseMember(m)
		if err != nil || !r.Control().IsValid() {
			continue
		}
		s.candidates = append(s.candidates, r.Control())
		balancers[r.Control()] = r.ID()
		if s.balancers[r.Control()] != r.ID() {
			s.announcer.backoff.succeeded(r.Control())
		}
	}
	s.balancers = balancers
}
