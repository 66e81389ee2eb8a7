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
	// NeighbourCount is the number of Sync streams that a balancer opens.
	NeighbourCount = 4
	// NearNeighbourCount is how many of them lead to its own data centre.
	NearNeighbourCount = 2
	// DigestInterval is the time between two digests on one stream.
	DigestInterval = 10 * clock.Second
	// linkRate is the limit for changes to one neighbour, in bytes per
	// millisecond (64 KB/s). linkBurst is the limit within one message.
	linkRate  = 64
	linkBurst = 8 << 10
	// linkSettleTime is how long a stream is kept after it stopped being one
	// of the preferred ones, so that its first exchange can end.
	linkSettleTime = 30 * clock.Second
)

// link is a Sync stream with a neighbour, opened by either side.
type link struct {
	stream   StreamID
	address  netip.AddrPort
	outgoing bool
	opened   clock.Millis
	heard    clock.Millis
	// greeted is set when the neighbour named itself.
	greeted  bool
	peer     identity.OwnerID
	ready    bool
	saidSelf bool

	members   queue[identity.OwnerID]
	contracts queue[string]
	// tokens are bytes that may be sent now; large messages make it negative.
	tokens   int
	refilled clock.Millis
	beat     clock.Millis
	// counters are the heartbeat counters that the neighbour has.
	counters  map[string]uint64
	digestDue bool
	digested  clock.Millis
	// wanted is set while the neighbour waits for the end of an exchange.
	wanted bool
}

func newLink(now clock.Millis, stream StreamID) *link {
	return &link{
		stream: stream, opened: now, heard: now, tokens: linkBurst, refilled: now,
		beat: now, digested: now, counters: map[string]uint64{},
	}
}

// SyncAccepted tells that a neighbour opened a Sync stream. stream comes from
// NextStream.
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
	if b.source == stream {
		b.source = 0
	}
	if failed && l.outgoing {
		b.linkBackoff.failed(now, l.address, score(uint64(b.self.ID()), identity.OwnerID(stream)))
	}
}

func (b *Balancer) checkLinks(now clock.Millis) {
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		// A neighbour whose first message was lost would stay nameless.
		nameless := !l.greeted && now >= l.opened+SilenceTimeout
		if nameless || now >= l.heard+SilenceTimeout {
			b.out.Close = append(b.out.Close, stream)
			b.closeLink(now, stream, true)
		}
	}
}

// connectLinks opens streams to the preferred neighbours that are missing, and
// closes others that were opened by this side.
func (b *Balancer) connectLinks(now clock.Millis) {
	targets := b.targets(now)
	settled := true
	for _, address := range targets {
		l := b.linkTo(address)
		if l == nil {
			l = newLink(now, b.NextStream())
			l.address, l.outgoing = address, true
			b.links[l.stream] = l
			b.out.OpenSync = append(b.out.OpenSync, Open{Stream: l.stream, Address: address})
		}
		settled = settled && l.greeted
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
	return now >= l.opened+linkSettleTime && b.source != l.stream && l.members.empty() && l.contracts.empty()
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
		if !b.knows(address) && unknown < NeighbourCount && address != b.self.Control() && b.linkBackoff.ready(now, address) {
			targets = append(targets, address)
			unknown++
		}
	}
	return targets
}

// knows reports whether a known balancer serves at address.
func (b *Balancer) knows(address netip.AddrPort) bool {
	if control, ok := b.aliases[address]; ok {
		address = control
	}
	_, ok := b.view.addresses[address]
	return ok
}

func (b *Balancer) connectable(now clock.Millis, records []Record) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(records)+NeighbourCount)
	for _, r := range records {
		if b.linkBackoff.ready(now, r.Control()) {
			addresses = append(addresses, r.Control())
		}
	}
	return addresses
}

// greet handles the first message of a neighbour.
func (b *Balancer) greet(now clock.Millis, l *link, member *controlpb.Member) {
	r, err := ParseMember(member)
	if err != nil || r.ID() == b.self.ID() || r.Role() != RoleBalancer {
		b.out.Close = append(b.out.Close, l.stream)
		b.closeLink(now, l.stream, true)
		return
	}
	if l.outgoing && l.address != r.Control() {
		b.aliases[l.address] = r.Control()
	}
	l.greeted, l.peer, l.address = true, r.ID(), r.Control()
	l.digestDue = l.outgoing
	b.linkBackoff.succeeded(l.address)
	b.accept(now, r, now, l)
	b.closeDuplicate(now, l)
}

// closeDuplicate keeps one of two streams with the same neighbour: the one that
// the balancer with the lower ID opened, or the newer one. Both sides decide
// the same.
func (b *Balancer) closeDuplicate(now clock.Millis, l *link) {
	for _, stream := range sortedStreams(b.links) {
		other := b.links[stream]
		if other == l || !other.greeted || other.peer != l.peer {
			continue
		}
		loser := other
		if l.outgoing != other.outgoing && l.outgoing != (b.self.ID() < l.peer) {
			loser = l
		}
		b.out.Close = append(b.out.Close, loser.stream)
		b.closeLink(now, loser.stream, false)
		return
	}
}

// flushLinks sends what is queued, within the rate of each stream.
func (b *Balancer) flushLinks(now clock.Millis) {
	for _, stream := range sortedStreams(b.links) {
		l := b.links[stream]
		l.tokens = min(l.tokens+int(now-l.refilled)*linkRate, linkBurst)
		l.refilled = now
		m := &controlpb.SyncMessage{Ready: b.complete}
		due := now >= l.beat
		if !l.saidSelf {
			l.saidSelf, due = true, true
			m.Self = b.self.Member()
		}
		if l.greeted {
			due = b.fillChanges(now, l, m) || due
			due = b.fillDigest(now, l, m) || due
		}
		if !due {
			continue
		}
		if now >= l.beat {
			l.beat = max(l.beat+HeartbeatInterval, now+HeartbeatInterval/2)
			b.fillHeartbeats(l, m)
		}
		b.send(l, m)
	}
}

func (b *Balancer) send(l *link, m *controlpb.SyncMessage) {
	m.Ready = b.complete
	b.out.Sync = append(b.out.Sync, SyncSend{Stream: l.stream, Message: m})
}

func (b *Balancer) fillHeartbeats(l *link, m *controlpb.SyncMessage) {
	if !l.greeted {
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

// fillChanges adds contracts and members as far as the rate allows.
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
	if l.wanted && l.members.empty() && l.contracts.empty() {
		l.wanted = false
		m.Complete = b.complete
	}
	return len(m.Contracts) > 0 || len(m.Members) > 0 || m.Complete
}
