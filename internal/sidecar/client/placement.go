package client

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// handshakeRetention is how long the sidecar of a new flow is remembered. A
	// handshake that takes longer has failed.
	handshakeRetention = 10 * clock.Second
	// maxHandshakes limits the memory that a flood of first packets can take.
	maxHandshakes = 1 << 16
	// relayMargin is the difference in open flows, in percent, from which a new
	// flow goes to a sibling. Smaller differences are not worth a hop.
	relayMargin = 10
)

// Load is what a sidecar tells its siblings about itself.
type Load struct {
	Leaving bool
	// Full means that the sidecar holds as many flows as its contract allows.
	Full  bool
	Flows int
	// Unknown is true for a sibling without a recent load message: only some
	// siblings exchange loads.
	Unknown bool
}

// closed reports whether the sidecar takes no new flow.
func (l Load) closed() bool { return l.Leaving || l.Full }

// Placement decides which sidecar of a service takes a new flow. It is not safe
// for concurrent use.
type Placement struct {
	self       identity.OwnerID
	handshakes map[string]handshake
	order      []string
}

type handshake struct {
	owner identity.OwnerID
	until clock.Millis
}

// NewPlacement returns the Placement of a sidecar.
func NewPlacement(self identity.OwnerID) *Placement {
	return &Placement{self: self, handshakes: map[string]handshake{}}
}

// Decide returns the sidecar that takes the flow whose client chose the given
// connection ID. The answer stays the same while the handshake lasts, and until
// then it does not depend on the loads.
func (p *Placement) Decide(connectionID []byte, own Load, siblings map[identity.OwnerID]Load, now clock.Millis) identity.OwnerID {
	key := string(connectionID)
	if h, ok := p.handshakes[key]; ok && now < h.until {
		return h.owner
	}
	p.expire(now)
	owner := p.choose(own, siblings)
	if len(p.handshakes) < maxHandshakes {
		p.handshakes[key] = handshake{owner: owner, until: now + handshakeRetention}
		p.order = append(p.order, key)
	}
	return owner
}

func (p *Placement) choose(own Load, siblings map[identity.OwnerID]Load) identity.OwnerID {
	best, bestFlows := fewestFlows(siblings, false)
	if best == 0 && own.closed() {
		best, _ = fewestFlows(siblings, true)
	}
	if best == 0 {
		return p.self
	}
	if own.closed() || own.Flows*100 > (bestFlows+1)*(100+relayMargin) {
		return best
	}
	return p.self
}

// fewestFlows returns the sibling with the fewest flows, of those that serve and
// are unheard or not. It returns 0 if there is none.
func fewestFlows(siblings map[identity.OwnerID]Load, unheard bool) (best identity.OwnerID, flows int) {
	for owner, load := range siblings {
		if load.closed() || load.Unknown != unheard {
			continue
		}
		if best == 0 || load.Flows < flows || load.Flows == flows && owner < best {
			best, flows = owner, load.Flows
		}
	}
	return best, flows
}

// expire drops handshakes in the order in which they began, which is also the
// order in which they end.
func (p *Placement) expire(now clock.Millis) {
	for len(p.order) > 0 {
		if h, ok := p.handshakes[p.order[0]]; ok && now < h.until {
			return
		}
		delete(p.handshakes, p.order[0])
		p.order = p.order[1:]
	}
}
