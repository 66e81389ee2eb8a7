package balancer

import (
	"bytes"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// The search for the owner of a flow whose client waits for a response is repeated
	// after minRepeatInterval. Each further interval is twice as long. The repetition ends
	// when the client would have retransmitted its packet, at the latest after
	// maxRepeatTime.
	minRepeatInterval clock.Millis = 120
	maxRepeatTime     clock.Millis = 1600
	// maxUnresolved bounds the memory for the packets of flows whose owner is searched.
	maxUnresolved = 2000
	// maxRepeatsPerSecond leaves searches for the packets that clients send.
	maxRepeatsPerSecond = maxSearchesPerSecond / 4
)

// unresolvedFlow is a flow whose owner was not found when its client last sent data. Other
// processes may have been starting, so the search is repeated without waiting for the
// client, whose next packet may come too late for it to try again elsewhere.
type unresolvedFlow struct {
	key segment.Key
	// packet is the last data packet of the client, which was received at receivedAt.
	packet     []byte
	receivedAt clock.Millis
	// due is when the search is repeated, interval after the one before.
	due, interval clock.Millis
}

// retainUnresolved keeps a client's packet, so that the search for its owner can be
// repeated. Only a client that waits for a response needs that.
func (b *Balancer) retainUnresolved(now clock.Millis, f *flow, s segment.Segment, packet []byte) {
	if s.Length == 0 || len(b.unresolved) >= maxUnresolved {
		return
	}
	f.unresolved = &unresolvedFlow{
		key: s.Key, packet: bytes.Clone(packet), receivedAt: now, due: now + minRepeatInterval, interval: minRepeatInterval,
	}
	b.unresolved = append(b.unresolved, f.unresolved)
}

// repeatSearches repeats the searches that are due, and forgets those that have ended.
func (b *Balancer) repeatSearches(now clock.Millis) {
	unresolved := b.unresolved
	b.unresolved = nil
	for _, u := range unresolved {
		f := b.flows[u.key]
		if f == nil || f.unresolved != u || f.owner.IsValid() {
			continue
		}
		if now >= u.due {
			u.interval *= 2
			u.due = now + u.interval
			if u.due-u.receivedAt > maxRepeatTime {
				f.unresolved = nil
				continue
			}
			b.repeatSearch(now, f, u)
		}
		b.unresolved = append(b.unresolved, u)
	}
}

func (b *Balancer) repeatSearch(now clock.Millis, f *flow, u *unresolvedFlow) {
	s, err := b.config.Decode(u.packet)
	r, ok := b.table.Lookup(u.key.Service())
	if err != nil || !ok || b.searchLimitReached(now, maxRepeatsPerSecond) {
		return
	}
	b.searchOwner(now, f, s, r, u.packet)
}

// nextRepeat returns when the next search is to be repeated, or 0 if none is.
func (b *Balancer) nextRepeat() clock.Millis {
	var next clock.Millis
	for _, u := range b.unresolved {
		if next == 0 || u.due < next {
			next = u.due
		}
	}
	return next
}
