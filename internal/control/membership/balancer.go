package membership

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Balancer is the state machine of a balancer's part in membership: it watches
// members, exchanges changes with its neighbours and announces itself to its
// own watchers. Methods must not run concurrently.
type Balancer struct {
	self      Record
	table     *Table
	contracts *Contracts
	reach     *reachability
	announcer *announcer
	view      view

	links       map[StreamID]*link
	linkBackoff *backoff
	// source is the neighbour from which a joining balancer takes its state.
	source StreamID

	sessions map[StreamID]*session
	watched  map[identity.OwnerID]*watch
	refuted  map[identity.OwnerID]*refutation

	seeds      []netip.AddrPort
	seedsKnown bool
	// aliases are seeds that differ from the control address that the balancer
	// behind them announces.
	aliases    map[netip.AddrPort]netip.AddrPort
	seedsAsked clock.Millis
	marked     bool
	complete   bool
	reader     bool

	ticked     clock.Millis
	lastStream StreamID
	out        Actions
}

// NewBalancer returns the state machine of the member self.
func NewBalancer(now clock.Millis, self Record) *Balancer {
	b := &Balancer{
		self: self, table: NewTable(), contracts: NewContracts(),
		reach: newReachability(self.DataCentre()),
		links: map[StreamID]*link{}, linkBackoff: newBackoff(),
		sessions: map[StreamID]*session{}, watched: map[identity.OwnerID]*watch{},
		refuted: map[identity.OwnerID]*refutation{},
		aliases: map[netip.AddrPort]netip.AddrPort{},
		ticked:  now, seedsAsked: now - seedsInterval,
	}
	b.announcer = newAnnouncer(b.NextStream)
	b.table.put(self, 0)
	b.view.stale = true
	return b
}

// NextStream returns an ID for a stream that a peer opened.
func (b *Balancer) NextStream() StreamID {
	b.lastStream++
	return b.lastStream
}

// Self returns the own record.
func (b *Balancer) Self() Record { return b.self }

// Table returns the records held. The caller must not keep it.
func (b *Balancer) Table() *Table { return b.table }

// Contracts returns the contracts held. The caller must not keep it.
func (b *Balancer) Contracts() *Contracts { return b.contracts }

// Ready reports whether the balancer holds the complete state: a peer sent its
// own, or no peer is ahead and the contracts were read from the platform.
func (b *Balancer) Ready() bool { return b.complete }

// Unreachable reports whether a data centre is on the other side of a
// partition or lost.
func (b *Balancer) Unreachable(dataCentre string) bool { return b.reach.unreachable(dataCentre) }

// SetState changes the state of the own record.
func (b *Balancer) SetState(now clock.Millis, state State) Actions {
	if state != b.self.State() {
		b.changeSelf(now, b.self.withState(state).withVersion(b.self.Version()+1))
	}
	return b.Tick(now)
}

// Publish distributes a contract read from the platform.
func (b *Balancer) Publish(now clock.Millis, c Contract) Actions {
	b.marked = true
	b.acceptContract(c, nil)
	return b.Tick(now)
}

// MarkComplete tells that all contracts of the platform were published.
func (b *Balancer) MarkComplete(now clock.Millis) Actions {
	b.marked = true
	return b.Tick(now)
}

// SetSeeds sets the addresses to try when they belong to no known balancer.
func (b *Balancer) SetSeeds(now clock.Millis, addresses []netip.AddrPort) Actions {
	b.seeds = slices.Clone(addresses)
	b.seedsKnown = true
	return b.Tick(now)
}

// StreamClosed tells that a stream of any kind failed or was closed by the peer.
func (b *Balancer) StreamClosed(now clock.Millis, stream StreamID) Actions {
	b.closeLink(now, stream, true)
	delete(b.sessions, stream)
	b.announcer.closed(now, stream, b.self)
	return b.Tick(now)
}

// StreamReleased tells that the peer ended a stream on purpose. A member that chose
// other watchers is alive, although this balancer may not know the others yet.
func (b *Balancer) StreamReleased(now clock.Millis, stream StreamID) Actions {
	if s, ok := b.sessions[stream]; ok {
		if w, ok := b.watched[s.id]; ok {
			w.heard, w.direct = now, false
		}
	}
	return b.StreamClosed(now, stream)
}

// ReceiveResponse takes an answer from one of the balancer's own watchers.
func (b *Balancer) ReceiveResponse(now clock.Millis, stream StreamID, m *controlpb.AnnounceResponse) Actions {
	if !b.announcer.heard(now, stream, m.GetVersion()) {
		return b.take()
	}
	for _, member := range m.GetMembers() {
		if r, err := ParseMember(member); err == nil && r.ID() == b.self.ID() {
			b.accept(now, r, now, nil)
		}
	}
	return b.take()
}

// Tick does what is due at the given time.
func (b *Balancer) Tick(now clock.Millis) Actions {
	if pause := now - b.ticked; pause > pauseThreshold {
		b.postpone(now, pause)
	}
	b.ticked = now
	b.expire(now)
	b.checkReachability(now)
	if b.view.stale {
		b.refreshView(now)
	}
	b.checkSessions(now)
	b.checkLinks(now)
	b.checkWatched(now)
	b.connectLinks(now)
	b.announcer.tick(now, b.self, b.view.watchers, &b.out)
	b.checkComplete()
	b.flushLinks(now)
	b.wantSeeds(now)
	return b.take()
}

func (b *Balancer) take() Actions {
	out := b.out
	b.out = Actions{}
	return out
}

// postpone treats a pause of this process as not elapsed: the messages that
// arrived meanwhile are still unread.
func (b *Balancer) postpone(now, pause clock.Millis) {
	b.reach.postpone(pause)
	b.announcer.postpone(now)
	for _, l := range b.links {
		l.heard = now
	}
	for _, s := range b.sessions {
		s.heard = now
	}
	for _, w := range b.watched {
		w.heard = now
	}
}

// expire drops old tombstones. They are kept while a data centre is unreachable
// and until its records were exchanged, because it may still hold live records
// of the same members.
func (b *Balancer) expire(now clock.Millis) {
	b.linkBackoff.forget(now)
	b.announcer.backoff.forget(now)
	if !b.reach.settled(now) {
		return
	}
	for _, id := range b.table.expire(now) {
		delete(b.refuted, id)
	}
}

func (b *Balancer) checkReachability(now clock.Millis) {
	b.reach.beat(now)
	lost, retired := b.reach.check(now)
	for _, name := range lost {
		b.view.stale = true
		b.emitDataCentre(name)
	}
	for _, name := range retired {
		b.retire(name)
	}
}

// emitDataCentre reports all sidecars of a data centre, because their weight
// for placement changed.
func (b *Balancer) emitDataCentre(name string) {
	b.view.stale = true
	for _, id := range b.table.membersIn(name, func(identity.OwnerID) bool { return true }) {
		if r, _ := b.table.Get(id); !r.State().Ended() {
			b.emit(r)
		}
	}
}

// retire removes all records of a data centre that was unreachable too long.
func (b *Balancer) retire(name string) {
	b.view.stale = true
	for _, id := range b.table.membersIn(name, func(identity.OwnerID) bool { return true }) {
		r, _ := b.table.Get(id)
		b.table.remove(id)
		delete(b.watched, id)
		if !r.State().Ended() {
			b.emit(r.withState(StateDead))
			b.notifySessions(r)
		}
	}
}

// emit reports a record to the runtime.
func (b *Balancer) emit(r Record) {
	if r.Role() != RoleSidecar {
		return
	}
	if r.State().Ended() {
		b.out.Removed = append(b.out.Removed, r.ID())
		return
	}
	if r.State() != StateServing || b.reach.unreachable(r.DataCentre()) {
		r = r.withWeight(0)
	}
	b.out.Changed = append(b.out.Changed, r)
}

// accept merges a record that was learned from a neighbour (from), a member
// itself or this process (both nil).
func (b *Balancer) accept(now clock.Millis, r Record, gone clock.Millis, from *link) {
	if b.reach.isRetired(r.DataCentre()) {
		return
	}
	if r.ID() == b.self.ID() {
		if r.Supersedes(b.self) {
			// Someone declared this process dead.
			b.changeSelf(now, b.self.withVersion(r.Version()+1))
		}
		return
	}
	old, known := b.table.Get(r.ID())
	if known && !r.Supersedes(old) {
		b.acceptKnown(r, old, from)
		return
	}
	if !known && r.State().Ended() && now-gone >= TombstoneLifetime {
		return
	}
	b.store(r, gone, from)
	b.noteRefutation(now, r, old)
	if !known || old.State().Ended() || r.State().Ended() {
		b.updateWatch(now, r)
	}
}

// acceptKnown handles a record that is not newer than the one held: the
// neighbour has it, or must be told about the newer one.
func (b *Balancer) acceptKnown(r, held Record, from *link) {
	if from == nil {
		return
	}
	if held.Supersedes(r) {
		from.members.add(r.ID())
	} else {
		from.members.drop(r.ID())
	}
}

// store puts a record into the table and passes it on.
func (b *Balancer) store(r Record, gone clock.Millis, from *link) {
	old, known := b.table.Get(r.ID())
	b.table.put(r, gone)
	if r.Role() == RoleBalancer && (!known || old.State() != r.State()) {
		b.view.stale = true
	}
	if r.Role() == RoleBalancer && !known && !r.State().Ended() {
		// What failed at its address was another balancer.
		b.announcer.backoff.succeeded(r.Control())
		b.linkBackoff.succeeded(r.Control())
	}
	b.emit(r)
	b.notifySessions(r)
	if from != nil {
		from.members.drop(r.ID())
		if b.joiningFrom(from) {
			// The other neighbours have most of this already; digests are
			// compared with them after the join.
			return
		}
	}
	for _, l := range b.links {
		if l != from {
			l.members.add(r.ID())
		}
	}
}

func (b *Balancer) changeSelf(now clock.Millis, self Record) {
	b.self = self
	b.store(self, now, nil)
	b.announcer.hurry(now)
}

func (b *Balancer) acceptContract(c Contract, from *link) {
	held, known := b.contracts.Get(c.Customer)
	if !b.contracts.Put(c) {
		if from != nil && known {
			if held.Revision > c.Revision {
				from.contracts.add(c.Customer)
			} else {
				from.contracts.drop(c.Customer)
			}
		}
		return
	}
	b.out.Contracts = append(b.out.Contracts, c)
	for _, s := range b.sessions {
		s.contract = s.contract || s.customer == c.Customer
	}
	for _, l := range b.links {
		if l == from {
			l.contracts.drop(c.Customer)
		} else if from == nil || !b.joiningFrom(from) {
			l.contracts.add(c.Customer)
		}
	}
}

// wantSeeds asks for seeds at the start, when no neighbour is left, and now and
// then as a reader, so that both sides of a long partition find each other.
func (b *Balancer) wantSeeds(now clock.Millis) {
	interval := seedsInterval
	for _, l := range b.links {
		if l.greeted {
			interval = clock.Minute
		}
	}
	if b.seedsKnown && interval == clock.Minute && !b.reader {
		return
	}
	if now >= b.seedsAsked+interval {
		b.seedsAsked = now
		b.out.WantSeeds = true
	}
}

// Status returns what the balancer holds: all contracts and members, or only the
// contract of one customer.
func (b *Balancer) Status(customer string) *controlpb.StatusResponse {
	status := &controlpb.StatusResponse{Self: b.self.Member(), Ready: b.complete}
	for _, c := range b.contracts.Status() {
		if customer == "" || c.GetCustomer() == customer {
			status.Contracts = append(status.Contracts, c)
		}
	}
	if customer != "" {
		return status
	}
	for _, r := range b.table.Records() {
		status.Members = append(status.Members, r.Member())
	}
	return status
}

func sortedStreams[T any](m map[StreamID]T) []StreamID {
	return slices.Sorted(maps.Keys(m))
}
