package membership

import (
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Receive handles a message from a neighbour.
func (b *Balancer) Receive(now clock.Millis, stream StreamID, m *controlpb.SyncMessage) Actions {
	l, ok := b.links[stream]
	if !ok {
		return b.takeActions()
	}
	l.lastSeen = now
	l.ready = m.GetReady()
	if m.GetSelf() != nil && !l.identified {
		b.identify(now, l, m.GetSelf())
	}
	if !l.identified || b.links[stream] != l {
		return b.takeActions()
	}
	for _, h := range m.GetHeartbeats() {
		b.receiveCounter(now, l, h)
	}
	for _, member := range m.GetMembers() {
		if r, err := ParseMember(member); err == nil {
			b.mergeRecord(now, r, now-tombstoneAge(member), l)
		}
	}
	for _, c := range m.GetContracts() {
		b.mergeContract(Contract{Customer: c.GetCustomer(), Revision: c.GetRevision(), Document: c.GetDocument()}, l)
	}
	if m.GetDigest() != nil {
		b.respondToDigest(l, m.GetDigest())
	}
	if m.GetAnswer() != nil {
		b.receiveDigestResponse(l, m.GetAnswer())
	}
	if m.GetWanted() != nil {
		b.receiveWanted(l, m.GetWanted())
	}
	if m.GetComplete() {
		b.finishExchange(l)
	}
	return b.takeActions()
}

func (b *Balancer) receiveCounter(now clock.Millis, l *link, h *controlpb.DataCentreHeartbeat) {
	name, value := h.GetDataCentre(), h.GetCounter()
	l.counters[name] = max(l.counters[name], value)
	if b.reach.receive(now, name, value) {
		b.reportDataCentre(name)
	}
}

// joiningFrom reports whether this balancer is joining and takes its initial
// state from l.
func (b *Balancer) joiningFrom(l *link) bool { return !b.complete && b.joinSource == l.streamID }

// fillDigest adds a digest to m if one is due, and reports whether it did.
// While joining from a source, the balancer sends digests only to that source,
// because otherwise several neighbours would each send the whole state.
func (b *Balancer) fillDigest(now clock.Millis, l *link, m *controlpb.SyncMessage) bool {
	periodic := l.outgoing || b.joiningFrom(l)
	if !l.digestDue && !(periodic && now >= l.lastDigest+DigestInterval) {
		return false
	}
	if !b.complete && b.joinSource != l.streamID && (b.joinSource != 0 || l.ready) {
		return false
	}
	l.digestDue, l.lastDigest = false, now
	digest := &controlpb.Digest{Members: map[string]uint64{}, Contracts: b.contracts.digest}
	for name, d := range b.table.dataCentres {
		if d.digest != 0 {
			digest.Members[name] = d.digest
		}
	}
	m.Digest = digest
	return true
}

// respondToDigest sends the bucket hashes and contract revisions from which the
// neighbour finds the differences. While joining from a source, the balancer
// responds only to that source.
func (b *Balancer) respondToDigest(l *link, theirs *controlpb.Digest) {
	if !b.complete && b.joinSource != 0 && b.joinSource != l.streamID {
		return
	}
	names := map[string]struct{}{}
	for name := range theirs.GetMembers() {
		names[name] = struct{}{}
	}
	for name := range b.table.dataCentres {
		names[name] = struct{}{}
	}
	response := &controlpb.Answer{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		var own dataCentre
		if d, ok := b.table.dataCentres[name]; ok {
			own = *d
		}
		if own.digest == theirs.GetMembers()[name] || b.reach.isRetired(name) {
			continue
		}
		response.Buckets = append(response.Buckets, &controlpb.BucketDigest{DataCentre: name, Hashes: own.buckets[:]})
	}
	if b.contracts.digest != theirs.GetContracts() {
		response.ContractsDiffer = true
		response.Contracts = b.contracts.Status()
	}
	b.send(l, &controlpb.SyncMessage{Answer: response})
}

// receiveDigestResponse queues the differing records that this balancer holds,
// and requests those that the neighbour holds. If there is nothing to request,
// the exchange ends.
func (b *Balancer) receiveDigestResponse(l *link, response *controlpb.Answer) {
	wanted := &controlpb.Wanted{}
	for _, theirs := range response.GetBuckets() {
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
	if response.GetContractsDiffer() {
		wanted.Customers = b.compareContracts(l, response.GetContracts())
	}
	if len(wanted.GetBuckets()) == 0 && len(wanted.GetCustomers()) == 0 {
		if l.ready {
			b.finishExchange(l)
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

// compareContracts queues the contracts that are newer in this balancer. It
// returns the customers whose contracts are newer in the neighbour.
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
	l.awaitsComplete = true
}

// finishExchange ends the join if l is the join source.
func (b *Balancer) finishExchange(l *link) {
	if b.joiningFrom(l) {
		b.finishJoin()
	}
}

func (b *Balancer) finishJoin() {
	b.complete = true
	b.joinSource = 0
	for _, l := range b.links {
		l.digestDue = true
	}
}

// checkJoin selects a neighbour that holds the complete state as the source of
// the join. If there is none, it ends the join once every neighbour is
// identified, the seeds are known and contracts have been read from the
// platform.
func (b *Balancer) checkJoin() {
	if b.complete || b.joinSource != 0 {
		return
	}
	waiting := false
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		if l.identified && l.ready {
			b.joinSource = stream
			l.digestDue = true
			return
		}
		waiting = waiting || !l.identified
	}
	if b.contractsRead && b.seedsKnown && !waiting {
		b.finishJoin()
	}
}
