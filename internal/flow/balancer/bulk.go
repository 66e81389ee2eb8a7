package balancer

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// bulkWindow is what one bulk flow may have on the way: 16 packets.
	bulkWindow = 16 * 1234
	// bulkDelay is how long the packets of bulk flows may queue on the link, and so
	// delay all other flows.
	bulkDelay clock.Millis = 20
	// bulkIdle is the time without a packet after which a bulk flow is not counted.
	bulkIdle clock.Millis = 150
	// bulkPatience is how long a new bulk flow waits for others to end. Clients
	// repeat their request after 200 ms.
	bulkPatience clock.Millis = 180
	bitsPerByte               = 8
	kilobit                   = 1000
)

// bulkLimit returns how many bulk flows may send at a time on a link of the given
// rate in megabits a second; 0 means no limit.
func bulkLimit(linkRate float64) int {
	if linkRate <= 0 {
		return 0
	}
	bytes := linkRate * kilobit * float64(bulkDelay) / bitsPerByte
	return max(int(bytes/bulkWindow), 1)
}

// bulkFull reports whether no further bulk flow may open now.
func (b *Balancer) bulkFull(now clock.Millis) bool {
	if b.bulkLimit == 0 {
		return false
	}
	for key := range b.bulk {
		if f := b.flows[key]; f == nil || now-f.seen > bulkIdle {
			delete(b.bulk, key)
		}
	}
	return len(b.bulk) >= b.bulkLimit
}

// trackBulk counts a bulk flow from its first packet until its client has finished.
func (b *Balancer) trackBulk(f *flow, s segment.Segment) {
	if b.bulkLimit == 0 || !f.bulk {
		return
	}
	if s.Ends || s.Resets {
		delete(b.bulk, s.Key)
	} else if s.Length > 0 {
		b.bulk[s.Key] = struct{}{}
	}
}
