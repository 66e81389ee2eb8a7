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

// Sidecar is the membership state machine of a sidecar. It announces itself to
// its watchers, and receives its siblings and its customer's contract from
// them. Its methods must not be called concurrently.
type Sidecar struct {
	self      Record
	announcer *announcer
	// candidates are the control addresses of possible watchers, best first.
	candidates []netip.AddrPort
	// balancers maps each address in candidates to the ID of the balancer
	// there.
	balancers map[netip.AddrPort]identity.OwnerID
	seeds     []netip.AddrPort
	siblings  *siblings
	lastSweep clock.Millis
	contracts *Contracts
	// complete is the result of Ready.
	complete bool
	lastTick clock.Millis
	// seedsRequestedAt is the time of the last request for seeds.
	seedsRequestedAt clock.Millis
	lastStream       StreamID
}

// NewSidecar returns the state machine of a sidecar whose own record is self.
func NewSidecar(now clock.Millis, self Record) *Sidecar {
	s := &Sidecar{
		self: self, siblings: newSiblings(), contracts: NewContracts(),
		lastTick: now, seedsRequestedAt: now - seedsInterval,
	}
	s.announcer = newAnnouncer(func() StreamID {
		s.lastStream++
		return s.lastStream
	})
	return s
}

// Self returns the sidecar's own record in its latest version.
func (s *Sidecar) Self() Record { return s.self }

// Ready reports whether a watcher has sent its complete state.
func (s *Sidecar) Ready() bool { return s.complete }

// Siblings returns the other members of the service that have not ended, in
// order of their IDs.
func (s *Sidecar) Siblings() []Record { return s.siblings.records() }

// Contract returns the contract of the sidecar's customer, and false if none
// has been received.
func (s *Sidecar) Contract() (Contract, bool) { return s.contracts.Get(s.self.Customer()) }

// SetSelf changes the state and weight in the sidecar's own record.
func (s *Sidecar) SetSelf(now clock.Millis, state State, weight int) Actions {
	if state != s.self.State() || weight != s.self.Weight() {
		s.self = s.self.withState(state).withWeight(weight).withVersion(s.self.Version() + 1)
		s.announcer.heartbeatNow(now)
	}
	return s.Tick(now)
}

// SetSeeds sets the addresses of balancers to which the sidecar connects while
// fewer than WatcherCount candidates are available.
func (s *Sidecar) SetSeeds(now clock.Millis, addresses []netip.AddrPort) Actions {
	s.seeds = slices.Clone(addresses)
	// Each sidecar uses the seeds in a different order, which spreads the load.
	slices.SortFunc(s.seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(s.seedScore(a), s.seedScore(b))
	})
	return s.Tick(now)
}

func (s *Sidecar) seedScore(a netip.AddrPort) uint64 {
	return score(uint64(s.self.ID()), identity.OwnerID(xxhash.Sum64String(a.String())))
}

// Tick performs everything that is due at the given time.
func (s *Sidecar) Tick(now clock.Millis) Actions {
	var out Actions
	if now-s.lastTick > pauseThreshold {
		s.announcer.restartTimeouts(now)
	}
	s.lastTick = now
	s.announcer.backoff.expire(now)
	if now >= s.lastSweep+clock.Minute {
		s.lastSweep = now
		s.siblings.expire(now)
	}
	s.announcer.tick(now, s.self, slices.Concat(s.candidates, s.seeds), &out)
	out.SiblingsChanged = s.siblings.retain(func(id StreamID) bool { return s.announcer.streams[id] != nil })
	if !s.announcer.connected() && now >= s.seedsRequestedAt+seedsInterval {
		s.seedsRequestedAt = now
		out.WantSeeds = true
	}
	return out
}

// StreamClosed reports that a stream failed.
func (s *Sidecar) StreamClosed(now clock.Millis, stream StreamID) Actions {
	s.announcer.streamFailed(now, stream, s.self)
	return s.Tick(now)
}

// ReceiveResponse handles a response from a watcher.
func (s *Sidecar) ReceiveResponse(now clock.Millis, stream StreamID, m *controlpb.AnnounceResponse) Actions {
	var out Actions
	if !s.announcer.receive(now, stream, m.GetVersion()) {
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
		out.SiblingsChanged = s.siblings.markComplete(stream) || out.SiblingsChanged
	}
	return out
}

func (s *Sidecar) receiveMember(now clock.Millis, stream StreamID, r Record, out *Actions) {
	if r.ID() == s.self.ID() {
		if r.Supersedes(s.self) {
			s.self = s.self.withVersion(r.Version() + 1)
			s.announcer.heartbeatNow(now)
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

// receiveBalancers replaces the candidates. It ends the backoff of an address
// at which there is a new balancer. If that balancer is a new watcher of this
// member, it declares the member dead unless it receives a heartbeat in time.
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
			s.announcer.backoff.reset(r.Control())
		}
	}
	s.balancers = balancers
}
