package balancer

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// bulkWindowBytes is the number of bytes that one bulk flow may have in flight: 16 full
	// packets of 1234 bytes.
	bulkWindowBytes = 16 * 1234
	// bulkQueueDelay is how long the packets of bulk flows may queue on the link. All other
	// flows on the link are delayed by up to the same time.
	bulkQueueDelay clock.Millis = 20
	// bulkIdleTimeout is the time without a packet after which a bulk flow no longer
	// counts towards the limit.
	bulkIdleTimeout clock.Millis = 150
	// bulkWaitTimeout is how long a new bulk flow waits for others to end. It is below
	// the 200 ms after which clients retransmit their request.
	bulkWaitTimeout clock.Millis = 180
	bitsPerByte                  = 8
	// bitsPerMillis is the number of bits that a link of 1 megabit per second sends in
	// a millisecond.
	bitsPerMillis = 1000
)

// maxBulkFlows returns how many bulk flows may send at a time on a link of the given
// rate in megabits per second. 0 means no limit, for a link of unknown rate.
func maxBulkFlows(linkRateMbps float64) int {
	if linkRateMbps <= 0 {
		return 0
	}
	bytes := linkRateMbps * bitsPerMillis * float64(bulkQueueDelay) / bitsPerByte
	return max(int(bytes/bulkWindowBytes), 1)
}

// bulkLimitReached reports whether no further bulk flow may open now. It removes flows
// that have ended or are idle from the count first.
func (b *Balancer) bulkLimitReached(now clock.Millis) bool {
	if b.bulkLimit == 0 {
		return false
	}
	for key := range b.bulkFlows {
		if f := b.flows[key]; f == nil || now-f.lastSeen > bulkIdleTimeout {
			delete(b.bulkFlows, key)
		}
	}
	return len(b.bulkFlows) >= b.bulkLimit
}

// trackBulk counts a bulk flow from its first packet with data until its client ends
// or resets it. bulkLimitReached stops counting it earlier if it is idle.
func (b *Balancer) trackBulk(f *flow, s segment.Segment) {
	if b.bulkLimit == 0 || !f.bulk {
		return
	}
	if s.Ends || s.Resets {
		delete(b.bulkFlows, s.Key)
	} else if s.Length > 0 {
		b.bulkFlows[s.Key] = struct{}{}
	}
}
