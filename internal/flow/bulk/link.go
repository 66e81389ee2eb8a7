// Package bulk decides when new bulk flows, such as uploads, may open on the link of a
// balancer, and when their packets may leave it. It answers bursts of uploads on slow
// links: flows that send at the same time fill the queue of the link, packets are lost or
// delayed beyond the clients' retransmission timeout, and all of them stand still. The
// package does no input or output.
package bulk

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// windowBytes is the number of bytes that one bulk flow may have in flight: 16 full
	// packets of 1234 bytes.
	windowBytes = 16 * 1234
	// queueDelay is how long the packets of bulk flows may queue in total. It leaves room
	// for the way within the 200 ms after which clients retransmit.
	queueDelay clock.Millis = 110
	// idleTimeout is the time without a packet after which a bulk flow no longer counts
	// towards the limit.
	idleTimeout clock.Millis = 150
	// defaultDuration is assumed for a transfer until one has been measured.
	defaultDuration clock.Millis = 200
	// maxGoalShare is the share of its latency goal that a flow may be expected to wait. A
	// flow that would wait longer is refused, because another host may have a faster link.
	maxGoalShare = 0.5
	// refusalMemory is how long a client counts as refused. Its next flow then waits in any
	// case: it has come back to the same link, and clients give up after a few tries.
	refusalMemory = 2 * clock.Second
	// maxRefused bounds the memory for refused clients.
	maxRefused = 10_000
	// durationWeight is the weight of a new sample in the moving average of the duration.
	durationWeight = 0.125
	bitsPerByte    = 8
	// bitsPerMillis is the number of bits that a link of 1 megabit per second sends in
	// a millisecond.
	bitsPerMillis = 1000
)

// Request is a new bulk flow.
type Request struct {
	Key segment.Key
	// FirstSent is when the client first asked for the flow. LatencyGoal is the time from
	// then in which it wants its response; 0 means none. At GiveUp, it stops waiting for
	// the flow to open.
	FirstSent, LatencyGoal, GiveUp clock.Millis
}

// transfer is a bulk flow that may send.
type transfer struct {
	startedAt, lastPacket clock.Millis
}

// Link admits bulk flows to one link. It is not safe for concurrent use.
type Link struct {
	// limit is the number of flows that may send at a time; 0 means no limit.
	limit   int
	sending map[segment.Key]transfer
	// waiting holds the requests in order of arrival.
	waiting []Request
	// duration is the average time of a transfer in milliseconds; 0 means unknown.
	duration float64
	// refusedAt is when a flow of a client was last refused.
	refusedAt map[netip.Addr]clock.Millis
}

// Decision is what happens to a new bulk flow.
type Decision int

// Decisions about a new bulk flow.
const (
	// Send means that the flow may open now.
	Send Decision = iota
	// Wait means that Next or Expire will return the flow later.
	Wait
	// Refuse means that the wait would be too long.
	Refuse
)

// NewLink returns a Link of the given rate in megabits per second. 0 means that the rate
// is unknown and that the number of flows is not limited.
func NewLink(rateMbps float64) *Link {
	l := &Link{sending: map[segment.Key]transfer{}, refusedAt: map[netip.Addr]clock.Millis{}}
	if rateMbps > 0 {
		l.limit = max(int(rateMbps*bitsPerMillis*float64(queueDelay)/bitsPerByte/windowBytes), 1)
	}
	return l
}

// Offer decides about a new flow. It may send at once if the link has room and no other
// flow waits. It waits if the link is expected to have room within a part of the latency
// goal, or if the client was refused lately.
func (l *Link) Offer(now clock.Millis, r Request) Decision {
	client := r.Key.Client().Addr()
	switch {
	case l.limit == 0:
		return Send
	case len(l.waiting) == 0 && l.hasRoom(now):
		l.sending[r.Key] = transfer{startedAt: now, lastPacket: now}
		return Send
	case l.expectedWait() <= clock.Millis(maxGoalShare*float64(r.LatencyGoal)) || l.refusedLately(now, client):
		l.waiting = append(l.waiting, r)
		return Wait
	}
	if len(l.refusedAt) < maxRefused {
		l.refusedAt[client] = now
	}
	return Refuse
}

func (l *Link) refusedLately(now clock.Millis, client netip.Addr) bool {
	at, refused := l.refusedAt[client]
	return refused && now-at <= refusalMemory
}

// expectedWait returns how long a flow that arrives now is expected to wait.
func (l *Link) expectedWait() clock.Millis {
	return clock.Millis(len(l.waiting)+1) * l.expectedDuration() / clock.Millis(l.limit)
}

func (l *Link) expectedDuration() clock.Millis {
	if l.duration == 0 {
		return defaultDuration
	}
	return clock.Millis(l.duration)
}

// Waiting reports whether any request waits.
func (l *Link) Waiting() bool { return len(l.waiting) > 0 }

// Next lets the next waiting flow send if the link has room, and returns it. The oldest
// request goes first that can still meet its latency goal, since one that waits longer
// will miss it. Requests that have missed their goals get the room that the others leave.
func (l *Link) Next(now clock.Millis) (segment.Key, bool) {
	if len(l.waiting) == 0 || !l.hasRoom(now) {
		return segment.Key{}, false
	}
	index := max(slices.IndexFunc(l.waiting, func(r Request) bool { return l.meetsGoal(now, r) }), 0)
	r := l.waiting[index]
	l.waiting = slices.Delete(l.waiting, index, index+1)
	l.sending[r.Key] = transfer{startedAt: now, lastPacket: now}
	return r.Key, true
}

// Expire removes and returns the requests whose clients have stopped waiting. It also
// forgets clients that were refused earlier.
func (l *Link) Expire(now clock.Millis) []segment.Key {
	maps.DeleteFunc(l.refusedAt, func(_ netip.Addr, at clock.Millis) bool { return now-at > refusalMemory })
	var expired []segment.Key
	l.waiting = slices.DeleteFunc(l.waiting, func(r Request) bool {
		if now < r.GiveUp {
			return false
		}
		expired = append(expired, r.Key)
		return true
	})
	return expired
}

// Touch records a packet with data. A flow that the link has not let send, because it was
// opened through another host, counts as well.
func (l *Link) Touch(now clock.Millis, key segment.Key) {
	if l.limit == 0 {
		return
	}
	t, known := l.sending[key]
	if !known {
		t.startedAt = now
	}
	t.lastPacket = now
	l.sending[key] = t
}

// End records that a flow has ended. It reports whether the flow was sending.
func (l *Link) End(now clock.Millis, key segment.Key) bool {
	t, known := l.sending[key]
	if !known {
		return false
	}
	delete(l.sending, key)
	sample := float64(max(now-t.startedAt, 1))
	if l.duration == 0 {
		l.duration = sample
	}
	l.duration += durationWeight * (sample - l.duration)
	return true
}

// hasRoom removes idle flows and reports whether a further flow may send.
func (l *Link) hasRoom(now clock.Millis) bool {
	for key, t := range l.sending {
		if now-t.lastPacket > idleTimeout {
			delete(l.sending, key)
		}
	}
	return len(l.sending) < l.limit
}

// meetsGoal reports whether a flow that starts now is expected to meet its latency goal.
func (l *Link) meetsGoal(now clock.Millis, r Request) bool {
	return r.LatencyGoal == 0 || now-r.FirstSent+l.expectedDuration() <= r.LatencyGoal
}
