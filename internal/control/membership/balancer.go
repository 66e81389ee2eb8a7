package membership

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Balancer is the membership state machine of a balancer. It watches members,
// exchanges changes with its neighbours and announces itself to its own
// watchers. Its methods must not be called concurrently.
type Balancer struct {
	self      Record
	table     *Table
	contracts *Contracts
	reach     *reachability
	announcer *announcer
	view      view

	links       map[StreamID]*link
	linkBackoff *backoff
	// joinSource is the neighbour from which a joining balancer takes its
	// state. It is 0 if there is none.
	joinSource StreamID

	sessions map[StreamID]*session
	watched  map[identity.OwnerID]*watch
	// declarations holds the members that this balancer declared dead.
	declarations map[identity.OwnerID]*declaration

	seeds      []netip.AddrPort
	seedsKnown bool
	// aliases maps the address of a seed to the control address that the
	// balancer behind it announces, if the two differ.
	aliases map[netip.AddrPort]netip.AddrPort
	// seedsRequestedAt is the time of the last request for seeds.
	seedsRequestedAt clock.Millis
	// contractsRead is set by MarkComplete.
	contractsRead bool
	// complete is the result of Ready.
	complete bool
	reader   bool

	lastTick   clock.Millis
	lastStream StreamID
	out        Actions
}

// NewBalancer returns the state machine of a balancer whose own record is self.
func NewBalancer(now clock.Millis, self Record) *Balancer {
	b := &Balancer{
		self: self, table: NewTable(), contracts: NewContracts(),
		reach: newReachability(self.DataCentre()),
		links: map[StreamID]*link{}, linkBackoff: newBackoff(),
		sessions: map[StreamID]*session{}, watched: map[identity.OwnerID]*watch{},
		declarations: map[identity.OwnerID]*declaration{},
		aliases:      map[netip.AddrPort]netip.AddrPort{},
		lastTick:     now, seedsRequestedAt: now - seedsInterval,
	}
	b.announcer = newAnnouncer(b.NextStream)
	b.table.put(self, 0)
	b.view.stale = true
	return b
}

// NextStream returns an unused ID for a stream that a peer opened.
func (b *Balancer) NextStream() StreamID {
	b.lastStream++
	return b.lastStream
}

// Self returns the balancer's own record in its latest version.
func (b *Balancer) Self() Record { return b.self }

// Table returns the records that the balancer holds. It is owned by the
// balancer, and the caller must not retain it.
func (b *Balancer) Table() *Table { return b.table }

// Contracts returns the contracts that the balancer holds. They are owned by
// the balancer, and the caller must not retain them.
func (b *Balancer) Contracts() *Contracts { return b.contracts }

// Ready reports whether the balancer holds the complete state. A joining
// balancer becomes ready when a neighbour has sent its complete state. If no
// neighbour is ready, it becomes ready when the seeds are known and contracts
// have been read from the platform.
func (b *Balancer) Ready() bool { return b.complete }

// Unreachable reports whether a data centre is lost or on the other side of a
// partition.
func (b *Balancer) Unreachable(dataCentre string) bool { return b.reach.unreachable(dataCentre) }

// SetState changes the state in the balancer's own record.
func (b *Balancer) SetState(now clock.Millis, state State) Actions {
	if state != b.self.State() {
		b.updateSelf(now, b.self.withState(state).withVersion(b.self.Version()+1))
	}
	return b.Tick(now)
}

// Publish distributes a contract that was read from the platform. Others may still be
// missing until MarkComplete is called.
func (b *Balancer) Publish(now clock.Millis, c Contract) Actions {
	b.mergeContract(c, nil)
	return b.Tick(now)
}

// MarkComplete reports that every contract of the platform has been published.
func (b *Balancer) MarkComplete(now clock.Millis) Actions {
	b.contractsRead = true
	return b.Tick(now)
}

// SetSeeds sets addresses of balancers. While the balancer knows no other
// balancer or is a reader, it connects to those addresses that belong to no
// balancer that it knows.
func (b *Balancer) SetSeeds(now clock.Millis, addresses []netip.AddrPort) Actions {
	b.seeds = slices.Clone(addresses)
	b.seedsKnown = true
	return b.Tick(now)
}

// StreamClosed reports that a stream of any kind failed or that the peer closed
// it.
func (b *Balancer) StreamClosed(now clock.Millis, stream StreamID) Actions {
	b.closeLink(now, stream, true)
	delete(b.sessions, stream)
	b.announcer.streamFailed(now, stream, b.self)
	return b.Tick(now)
}

// StreamReleased reports that the peer ended a stream on purpose. A member that
// selected other watchers is alive, although this balancer may not know those
// watchers yet.
func (b *Balancer) StreamReleased(now clock.Millis, stream StreamID) Actions {
	if s, ok := b.sessions[stream]; ok {
		if w, ok := b.watched[s.id]; ok {
			w.lastSeen, w.heartbeatReceived = now, false
		}
	}
	return b.StreamClosed(now, stream)
}

// ReceiveResponse handles a response from one of the balancer's own watchers.
func (b *Balancer) ReceiveResponse(now clock.Millis, stream StreamID, m *controlpb.AnnounceResponse) Actions {
	if !b.announcer.receive(now, stream, m.GetVersion()) {
		return b.takeActions()
	}
	for _, member := range m.GetMembers() {
		if r, err := ParseMember(member); err == nil && r.ID() == b.self.ID() {
			b.mergeRecord(now, r, now, nil)
		}
	}
	return b.takeActions()
}

// Tick performs everything that is due at the given time.
func (b *Balancer) Tick(now clock.Millis) Actions {
	if pause := now - b.lastTick; pause > pauseThreshold {
		b.excludePause(now, pause)
	}
	b.lastTick = now
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
	b.checkJoin()
	b.flushLinks(now)
	b.requestSeeds(now)
	return b.takeActions()
}

func (b *Balancer) takeActions() Actions {
	out := b.out
	b.out = Actions{}
	return out
}

// excludePause treats the time of a pause of this process as not elapsed,
// because the messages that arrived during the pause have not been read yet.
func (b *Balancer) excludePause(now, pause clock.Millis) {
	b.reach.excludePause(pause)
	b.announcer.restartTimeouts(now)
	for _, l := range b.links {
		l.lastSeen = now
	}
	for _, s := range b.sessions {
		s.lastSeen = now
	}
	for _, w := range b.watched {
		w.lastSeen = now
	}
}

// expire removes old tombstones. They are kept while a data centre is
// unreachable and until its records have been exchanged, because that data
// centre may still hold live records of the same members.
func (b *Balancer) expire(now clock.Millis) {
	b.linkBackoff.expire(now)
	b.announcer.backoff.expire(now)
	if !b.reach.settled(now) {
		return
	}
	for _, id := range b.table.expire(now) {
		delete(b.declarations, id)
	}
}

func (b *Balancer) checkReachability(now clock.Millis) {
	b.reach.incrementOwn(now)
	lost, retired := b.reach.check(now)
	for _, name := range lost {
		b.view.stale = true
		b.reportDataCentre(name)
	}
	for _, name := range retired {
		b.retire(name)
	}
}

// reportDataCentre reports all sidecars of a data centre to the runtime,
// because their weight for placement changed.
func (b *Balancer) reportDataCentre(name string) {
	b.view.stale = true
	for _, id := range b.table.membersIn(name, func(identity.OwnerID) bool { return true }) {
		if r, _ := b.table.Get(id); !r.State().Ended() {
			b.reportSidecar(r)
		}
	}
}

// retire removes all records of a data centre whose counter did not change for
// RetirementTimeout.
func (b *Balancer) retire(name string) {
	b.view.stale = true
	for _, id := range b.table.membersIn(name, func(identity.OwnerID) bool { return true }) {
		r, _ := b.table.Get(id)
		b.table.remove(id)
		delete(b.watched, id)
		if !r.State().Ended() {
			b.reportSidecar(r.withState(StateDead))
			b.notifySessions(r)
		}
	}
}

// reportSidecar reports a changed or ended sidecar to the runtime. It ignores
// records of balancers.
func (b *Balancer) reportSidecar(r Record) {
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

// mergeRecord merges a record into the table. from is the neighbour that sent
// it, or nil if it comes from the member itself, from a watcher or from this
// process. endedAt is used only for tombstones.
func (b *Balancer) mergeRecord(now clock.Millis, r Record, endedAt clock.Millis, from *link) {
	if b.reach.isRetired(r.DataCentre()) {
		return
	}
	if r.ID() == b.self.ID() {
		if r.Supersedes(b.self) {
			// Another balancer declared this process dead. A higher version
			// refutes that.
			b.updateSelf(now, b.self.withVersion(r.Version()+1))
		}
		return
	}
	old, known := b.table.Get(r.ID())
	if known && !r.Supersedes(old) {
		b.mergeKnown(r, old, from)
		return
	}
	if !known && r.State().Ended() && now-endedAt >= TombstoneLifetime {
		return
	}
	b.storeRecord(r, endedAt, from)
	b.recordRefutation(now, r, old)
	if !known || old.State().Ended() || r.State().Ended() {
		b.updateWatch(now, r)
	}
}

// mergeKnown handles a record that is not newer than the one held. Either the
// neighbour holds the same record, or it must receive the newer one.
func (b *Balancer) mergeKnown(r, held Record, from *link) {
	if from == nil {
		return
	}
	if held.Supersedes(r) {
		from.members.add(r.ID())
	} else {
		from.members.drop(r.ID())
	}
}

// storeRecord puts a record into the table and forwards it to the other
// neighbours and to sessions.
func (b *Balancer) storeRecord(r Record, endedAt clock.Millis, from *link) {
	old, known := b.table.Get(r.ID())
	b.table.put(r, endedAt)
	if r.Role() == RoleBalancer && (!known || old.State() != r.State()) {
		b.view.stale = true
	}
	if r.Role() == RoleBalancer && !known && !r.State().Ended() {
		// The failures at this address concerned another balancer.
		b.announcer.backoff.reset(r.Control())
		b.linkBackoff.reset(r.Control())
	}
	b.reportSidecar(r)
	b.notifySessions(r)
	if from != nil {
		from.members.drop(r.ID())
		if b.joiningFrom(from) {
			// The other neighbours already hold most of this state. Digests are
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

func (b *Balancer) updateSelf(now clock.Millis, self Record) {
	b.self = self
	b.storeRecord(self, now, nil)
	b.announcer.heartbeatNow(now)
}

func (b *Balancer) mergeContract(c Contract, from *link) {
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
		s.contractDue = s.contractDue || s.customer == c.Customer
	}
	for _, l := range b.links {
		if l == from {
			l.contracts.drop(c.Customer)
		} else if from == nil || !b.joiningFrom(from) {
			l.contracts.add(c.Customer)
		}
	}
}

// requestSeeds requests seeds at the start and while no neighbour is connected.
// Readers request them every minute, so that the two sides of a long partition
// find each other again.
func (b *Balancer) requestSeeds(now clock.Millis) {
	interval := seedsInterval
	for _, l := range b.links {
		if l.identified {
			interval = clock.Minute
		}
	}
	if b.seedsKnown && interval == clock.Minute && !b.reader {
		return
	}
	if now >= b.seedsRequestedAt+interval {
		b.seedsRequestedAt = now
		b.out.WantSeeds = true
	}
}

// Status returns all contracts and members that the balancer holds. If customer
// is not empty, it returns only that customer's contract and no members.
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
