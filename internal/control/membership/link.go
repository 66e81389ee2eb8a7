package membership

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"google.golang.org/protobuf/proto"
)

const (
	// NeighbourCount is the number of Sync streams that a balancer opens to
	// balancers that it knows.
	NeighbourCount = 4
	// NearNeighbourCount is how many of these streams lead to balancers of the
	// same data centre. Fewer or more of them lead there only if this data
	// centre or the others have too few balancers that are not in backoff.
	NearNeighbourCount = 2
	// DigestInterval is the time between two digests on one stream.
	DigestInterval = 10 * clock.Second
	// linkBytesPerMilli limits the changes sent to one neighbour to 64 bytes
	// per millisecond (64 KB/s).
	linkBytesPerMilli = 64
	// linkBurstBytes is the maximum size of the changes in one message, not
	// counting the part of the last change that exceeds it.
	linkBurstBytes = 8 << 10
	// linkSettleTime is the minimum age at which a stream that is no longer
	// preferred may be closed. It leaves time for the first exchange.
	linkSettleTime = 30 * clock.Second
)

// link is the state of a Sync stream to or from a neighbour.
type link struct {
	streamID StreamID
	address  netip.AddrPort
	// outgoing is true if this balancer opened the stream.
	outgoing bool
	openedAt clock.Millis
	lastSeen clock.Millis
	// identified is set when the neighbour has sent its own record.
	identified bool
	neighbour  identity.OwnerID
	// ready is true if the neighbour holds the complete state.
	ready    bool
	sentSelf bool

	members   queue[identity.OwnerID]
	contracts queue[string]
	// tokens is the number of bytes that may be sent now. A large message makes
	// it negative.
	tokens        int
	lastRefill    clock.Millis
	nextHeartbeat clock.Millis
	// counters maps each data centre to the highest heartbeat counter that was
	// sent to the neighbour or received from it.
	counters   map[string]uint64
	digestDue  bool
	lastDigest clock.Millis
	// awaitsComplete is set while the neighbour waits for the end of an
	// exchange.
	awaitsComplete bool
}

func newLink(now clock.Millis, stream StreamID) *link {
	return &link{
		streamID: stream, openedAt: now, lastSeen: now, tokens: linkBurstBytes, lastRefill: now,
		nextHeartbeat: now, lastDigest: now, counters: map[string]uint64{},
	}
}

// SyncAccepted reports that a neighbour opened a Sync stream. The caller takes
// stream from NextStream.
func (b *Balancer) SyncAccepted(now clock.Millis, stream StreamID) Actions {
	b.links[stream] = newLink(now, stream)
	return b.Tick(now)
}

func (b *Balancer) closeLink(now clock.Millis, stream StreamID, failed bool) {
	l, ok := b.links[stream]
	if !ok {
		return
	}
	delete(b.links, stream)
	if b.joinSource == stream {
		b.joinSource = 0
	}
	if failed && l.outgoing {
		b.linkBackoff.failed(now, l.address, score(uint64(b.self.ID()), identity.OwnerID(stream)))
	}
}

func (b *Balancer) checkLinks(now clock.Millis) {
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		// If the first message of a neighbour is lost, the neighbour is never
		// identified, although its heartbeats arrive.
		unidentified := !l.identified && now >= l.openedAt+SilenceTimeout
		if unidentified || now >= l.lastSeen+SilenceTimeout {
			b.out.Close = append(b.out.Close, stream)
			b.closeLink(now, stream, true)
		}
	}
}

// connectLinks opens the missing streams to preferred neighbours. Once all of
// these neighbours are identified, it closes other streams that this balancer
// opened.
func (b *Balancer) connectLinks(now clock.Millis) {
	targets := b.targets(now)
	settled := true
	for _, address := range targets {
		l := b.linkTo(address)
		if l == nil {
			l = newLink(now, b.NextStream())
			l.address, l.outgoing = address, true
			b.links[l.streamID] = l
			b.out.OpenSync = append(b.out.OpenSync, Open{Stream: l.streamID, Address: address})
		}
		settled = settled && l.identified
	}
	if !settled {
		return
	}
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		if l.outgoing && !slices.Contains(targets, l.address) && b.mayRelease(now, l) {
			b.out.Close = append(b.out.Close, stream)
			b.closeLink(now, stream, false)
		}
	}
}

func (b *Balancer) mayRelease(now clock.Millis, l *link) bool {
	return now >= l.openedAt+linkSettleTime && b.joinSource != l.streamID && l.members.empty() && l.contracts.empty()
}

func (b *Balancer) linkTo(address netip.AddrPort) *link {
	for _, stream := range sortedStreams(b.links) {
		if l := b.links[stream]; l.address == address || l.address == b.aliases[address] {
			return l
		}
	}
	return nil
}

// targets returns the addresses to which this balancer should have a stream.
func (b *Balancer) targets(now clock.Millis) []netip.AddrPort {
	near := b.connectable(now, b.view.near)
	far := b.connectable(now, b.view.far)
	nearCount := min(len(near), NearNeighbourCount)
	farCount := min(len(far), NeighbourCount-nearCount)
	nearCount = min(len(near), NeighbourCount-farCount)
	targets := append(near[:nearCount:nearCount], far[:farCount]...)
	if len(b.view.balancers) > 1 && !b.reader {
		return targets
	}
	unknown := 0
	for _, address := range b.seeds {
		if !b.knowsAddress(address) && unknown < NeighbourCount && address != b.self.Control() && b.linkBackoff.ready(now, address) {
			targets = append(targets, address)
			unknown++
		}
	}
	return targets
}

// knowsAddress reports whether a known balancer serves at address.
func (b *Balancer) knowsAddress(address netip.AddrPort) bool {
	if control, ok := b.aliases[address]; ok {
		address = control
	}
	_, ok := b.view.addresses[address]
	return ok
}

// connectable returns the control addresses of the given balancers, without the
// addresses in backoff.
func (b *Balancer) connectable(now clock.Millis, records []Record) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(records)+NeighbourCount)
	for _, r := range records {
		if b.linkBackoff.ready(now, r.Control()) {
			addresses = append(addresses, r.Control())
		}
	}
	return addresses
}

// identify handles the first message of a neighbour, which contains its record.
func (b *Balancer) identify(now clock.Millis, l *link, member *controlpb.Member) {
	r, err := ParseMember(member)
	if err != nil || r.ID() == b.self.ID() || r.Role() != RoleBalancer {
		b.out.Close = append(b.out.Close, l.streamID)
		b.closeLink(now, l.streamID, true)
		return
	}
	if l.outgoing && l.address != r.Control() {
		b.aliases[l.address] = r.Control()
	}
	l.identified, l.neighbour, l.address = true, r.ID(), r.Control()
	l.digestDue = l.outgoing
	b.linkBackoff.reset(l.address)
	b.mergeRecord(now, r, now, l)
	b.closeDuplicate(now, l)
}

// closeDuplicate closes one of two streams with the same neighbour. If each
// side opened one, the stream that the balancer with the lower ID opened stays.
// Otherwise the newer stream stays. Both sides come to the same decision.
func (b *Balancer) closeDuplicate(now clock.Millis, l *link) {
	for _, stream := range sortedStreams(b.links) {
		other := b.links[stream]
		if other == l || !other.identified || other.neighbour != l.neighbour {
			continue
		}
		redundant := other
		if l.outgoing != other.outgoing && l.outgoing != (b.self.ID() < l.neighbour) {
			redundant = l
		}
		b.out.Close = append(b.out.Close, redundant.streamID)
		b.closeLink(now, redundant.streamID, false)
		return
	}
}

// flushLinks sends the digests and heartbeats that are due, and as many queued
// changes as the rate limit of each stream allows.
func (b *Balancer) flushLinks(now clock.Millis) {
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		l.tokens = min(l.tokens+int(now-l.lastRefill)*linkBytesPerMilli, linkBurstBytes)
		l.lastRefill = now
		m := &controlpb.SyncMessage{Ready: b.complete}
		due := now >= l.nextHeartbeat
		if !l.sentSelf {
			l.sentSelf, due = true, true
			m.Self = b.self.Member()
		}
		if l.identified {
			due = b.fillChanges(now, l, m) || due
			due = b.fillDigest(now, l, m) || due
		}
		if !due {
			continue
		}
		if now >= l.nextHeartbeat {
			l.nextHeartbeat = max(l.nextHeartbeat+HeartbeatInterval, now+HeartbeatInterval/2)
			b.fillHeartbeats(l, m)
		}
		b.send(l, m)
	}
}

func (b *Balancer) send(l *link, m *controlpb.SyncMessage) {
	m.Ready = b.complete
	b.out.Sync = append(b.out.Sync, SyncSend{Stream: l.streamID, Message: m})
}

func (b *Balancer) fillHeartbeats(l *link, m *controlpb.SyncMessage) {
	if !l.identified {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(b.reach.counters)) {
		value := b.reach.counters[name].value
		if value <= l.counters[name] {
			continue
		}
		l.counters[name] = value
		m.Heartbeats = append(m.Heartbeats, &controlpb.DataCentreHeartbeat{DataCentre: name, Counter: value})
	}
}

// fillChanges adds queued contracts and members to m as far as the rate limit
// allows. It also marks the end of an exchange for which the neighbour waits.
// It reports whether it changed m.
func (b *Balancer) fillChanges(now clock.Millis, l *link, m *controlpb.SyncMessage) bool {
	for l.tokens > 0 {
		customer, ok := l.contracts.pop()
		if !ok {
			break
		}
		if c, ok := b.contracts.Get(customer); ok {
			message := c.message()
			l.tokens -= proto.Size(message)
			m.Contracts = append(m.Contracts, message)
		}
	}
	for l.tokens > 0 {
		id, ok := l.members.pop()
		if !ok {
			break
		}
		if message, ok := b.table.member(now, id); ok {
			l.tokens -= proto.Size(message)
			m.Members = append(m.Members, message)
		}
	}
	if l.awaitsComplete && l.members.empty() && l.contracts.empty() {
		l.awaitsComplete = false
		m.Complete = b.complete
	}
	return len(m.Contracts) > 0 || len(m.Members) > 0 || m.Complete
}
