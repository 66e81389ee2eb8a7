package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Receive takes a message from a neighbour.
func (b *Balancer) Receive(now clock.Millis, stream StreamID, m *controlpb.SyncMessage) Actions {
	l, ok := b.links[stream]
	if !ok {
		return b.take()
	}
	l.heard = now
	l.ready = m.GetReady()
	if m.GetSelf() != nil && !l.greeted {
		b.greet(now, l, m.GetSelf())
	}
	if !l.greeted || b.links[stream] != l {
		return b.take()
	}
	for _, h := range m.GetHeartbeats() {
		b.receiveHeartbeat(now, l, h)
	}
	for _, member := range m.GetMembers() {
		if r, err := ParseMember(member); err == nil {
			b.accept(now, r, now-tombstoneAge(member), l)
		}
	}
	for _, c := range m.GetContracts() {
		b.acceptContract(Contract{Customer: c.GetCustomer(), Revision: c.GetRevision(), Document: c.GetDocument()}, l)
	}
	if m.GetDigest() != nil {
		b.answerDigest(l, m.GetDigest())
	}
	if m.GetAnswer() != nil {
		b.receiveAnswer(l, m.GetAnswer())
	}
	if m.GetWanted() != nil {
		b.receiveWanted(l, m.GetWanted())
	}
	if m.GetComplete() {
		b.exchanged(l)
	}
	return b.take()
}

func (b *Balancer) receiveHeartbeat(now clock.Millis, l *link, h *controlpb.DataCentreHeartbeat) {
	name, value := h.GetDataCentre(), h.GetCounter()
	l.counters[name] = max(l.counters[name], value)
	if b.reach.receive(now, name, value) {
		b.emitDataCentre(name)
	}
}

// joiningFrom reports whether this balancer is taking its first state from l.
func (b *Balancer) joiningFrom(l *link) bool { return !b.complete && b.source == l.stream }

// fillDigest adds a digest if one is due. While joining, only the source gets
// one: several neighbours would send the whole state several times.
func (b *Balancer) fillDigest(now clock.Millis, l *link, m *controlpb.SyncMessage) bool {
	periodic := l.outgoing || b.joiningFrom(l)
	if !l.digestDue && !(periodic && now >= l.digested+DigestInterval) {
		return false
	}
	if !b.complete && b.source != l.stream && (b.source != 0 || l.ready) {
		return false
	}
	l.digestDue, l.digested = false, now
	digest := &controlpb.Digest{Members: map[string]uint64{}, Contracts: b.contracts.digest}
	for name, d := range b.table.dataCentres {
		if d.digest != 0 {
			digest.Members[name] = d.digest
		}
	}
	m.Digest = digest
	return true
}

// answerDigest sends what is needed to find the differing members.
func (b *Balancer) answerDigest(l *link, theirs *controlpb.Digest) {
	if !b.complete && b.source != 0 && b.source != l.stream {
		return
	}
	names := map[string]struct{}{}
	for name := range theirs.GetMembers() {
		names[name] = struct{}{}
	}
	for name := range b.table.dataCentres {
		names[name] = struct{}{}
	}
	answer := &controlpb.Answer{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var own dataCentre
		if d, ok := b.table.dataCentres[name]; ok {
			own = *d
		}
		if own.digest == theirs.GetMembers()[name] || b.reach.isRetired(name) {
			continue
		}
		answer.Buckets = append(answer.Buckets, &controlpb.BucketDigest{DataCentre: name, Hashes: own.buckets[:]})
	}
	if b.contracts.digest != theirs.GetContracts() {
		answer.ContractsDiffer = true
		answer.Contracts = b.contracts.Status()
	}
	b.send(l, &controlpb.SyncMessage{Answer: answer})
}

// receiveAnswer queues the own side of the differences and asks for the other.
func (b *Balancer) receiveAnswer(l *link, answer *controlpb.Answer) {
	wanted := &controlpb.Wanted{}
	for _, theirs := range answer.GetBuckets() {
		if len(theirs.GetHashes()) != bucketCount || b.reach.isRetired(theirs.GetDataCentre()) {
			continue
		}
		var own buckets
		if d, ok := b.table.dataCentres[theirs.GetDataCentre()]; ok {
			own = d.buckets
		}
		var mask uint64
		for i, hash := range theirs.GetHashes() {
			if hash != own[i] {
				mask |= 1 << i
			}
		}
		if mask != 0 {
			b.queueBuckets(l, theirs.GetDataCentre(), mask)
			wanted.Buckets = append(wanted.Buckets, &controlpb.WantedBuckets{DataCentre: theirs.GetDataCentre(), Buckets: mask})
		}
	}
	if answer.GetContractsDiffer() {
		wanted.Customers = b.compareContracts(l, answer.GetContracts())
	}
	if len(wanted.GetBuckets()) == 0 && len(wanted.GetCustomers()) == 0 {
		if l.ready {
			b.exchanged(l)
		}
		return
	}
	b.send(l, &controlpb.SyncMessage{Wanted: wanted})
}

func (b *Balancer) queueBuckets(l *link, name string, mask uint64) {
	match := func(id identity.OwnerID) bool { return mask&(1<<bucketOf(id)) != 0 }
	for _, id := range b.table.membersIn(name, match) {
		l.members.add(id)
	}
}

// compareContracts queues the contracts that are newer here and returns the
// customers whose contracts are newer there.
func (b *Balancer) compareContracts(l *link, theirs []*controlpb.ContractStatus) []string {
	revisions := map[string]uint64{}
	var wanted []string
	for _, c := range theirs {
		revisions[c.GetCustomer()] = c.GetRevision()
		if held, _ := b.contracts.Get(c.GetCustomer()); held.Revision < c.GetRevision() {
			wanted = append(wanted, c.GetCustomer())
		}
	}
	for _, customer := range b.contracts.Customers() {
		if held, _ := b.contracts.Get(customer); held.Revision > revisions[customer] {
			l.contracts.add(customer)
		}
	}
	return wanted
}

func (b *Balancer) receiveWanted(l *link, wanted *controlpb.Wanted) {
	for _, w := range wanted.GetBuckets() {
		b.queueBuckets(l, w.GetDataCentre(), w.GetBuckets())
	}
	for _, customer := range wanted.GetCustomers() {
		l.contracts.add(customer)
	}
	l.wanted = true
}

// exchanged ends the join if l is the source.
func (b *Balancer) exchanged(l *link) {
	if b.joiningFrom(l) {
		b.becomeComplete()
	}
}

func (b *Balancer) becomeComplete() {
	b.complete = true
	b.source = 0
	for _, l := range b.links {
		l.digestDue = true
	}
}

// checkComplete selects the source of a join, or ends the join if no neighbour
// is ahead and the contracts were read from the platform.
func (b *Balancer) checkComplete() {
	if b.complete || b.source != 0 {
		return
	}
	waiting := false
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		if l.greeted && l.ready {
			b.source = stream
			l.digestDue = true
			return
		}
		waiting = waiting || !l.greeted
	}
	if b.marked && b.seedsKnown && !waiting {
		b.becomeComplete()
	}
}
