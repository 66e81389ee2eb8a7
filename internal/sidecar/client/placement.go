package client

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// handshakeRetention is how long the sidecar of a new flow is kept. A handshake
	// that takes longer has failed.
	handshakeRetention = 10 * clock.Second
	// maxHandshakes limits the memory that a flood of first packets can use.
	maxHandshakes = 1 << 16
	// relayMargin is the difference in open flows, in percent, above which a new flow
	// goes to a sibling. A smaller difference does not justify a hop.
	relayMargin = 10
)

// Load is the load of a sidecar, as far as it affects the placement of new flows.
type Load struct {
	Leaving bool
	// Full is true if the sidecar holds as many flows as its contract allows.
	Full  bool
	Flows int
	// Unknown is true for a sibling without a recent load message. A sidecar exchanges
	// loads with some of its siblings only.
	Unknown bool
}

func (l Load) refusesFlows() bool { return l.Leaving || l.Full }

// Placement decides which sidecar of a service gets a new flow. It is not safe for
// concurrent use.
type Placement struct {
	self identity.OwnerID
	// handshakes holds recent decisions, by the connection ID that the client chose.
	handshakes map[string]handshake
	// order holds the keys of handshakes in the order in which they began.
	order []string
}

type handshake struct {
	owner     identity.OwnerID
	expiresAt clock.Millis
}

// NewPlacement returns the Placement of the sidecar self, without any flow.
func NewPlacement(self identity.OwnerID) *Placement {
	return &Placement{self: self, handshakes: map[string]handshake{}}
}

// Decide returns the sidecar for the flow whose client chose the given connection
// ID. It chooses by load at the first call and returns the same sidecar until
// handshakeRetention has passed, whatever the loads are by then. A decision beyond
// maxHandshakes is not kept.
func (p *Placement) Decide(connectionID []byte, own Load, siblings map[identity.OwnerID]Load, now clock.Millis) identity.OwnerID {
	key := string(connectionID)
	if h, ok := p.handshakes[key]; ok && now < h.expiresAt {
		return h.owner
	}
	p.expire(now)
	owner := p.choose(own, siblings)
	if len(p.handshakes) < maxHandshakes {
		p.handshakes[key] = handshake{owner: owner, expiresAt: now + handshakeRetention}
		p.order = append(p.order, key)
	}
	return owner
}

func (p *Placement) choose(own Load, siblings map[identity.OwnerID]Load) identity.OwnerID {
	best, bestFlows := fewestFlows(siblings, false)
	if best == 0 && own.refusesFlows() {
		best, _ = fewestFlows(siblings, true)
	}
	if best == 0 {
		return p.self
	}
	if own.refusesFlows() || own.Flows*100 > (bestFlows+1)*(100+relayMargin) {
		return best
	}
	return p.self
}

// fewestFlows returns the sibling with the fewest flows among those that accept new
// flows. It considers only siblings of unknown load if unknown is set, and only those
// of known load otherwise. It returns 0 if there is none.
func fewestFlows(siblings map[identity.OwnerID]Load, unknown bool) (best identity.OwnerID, flows int) {
	for owner, load := range siblings {
		if load.refusesFlows() || load.Unknown != unknown {
			continue
		}
		if best == 0 || load.Flows < flows || load.Flows == flows && owner < best {
			best, flows = owner, load.Flows
		}
	}
	return best, flows
}

// expire drops handshakes in the order in which they began, which is also the order
// in which they expire.
func (p *Placement) expire(now clock.Millis) {
	for len(p.order) > 0 {
		if h, ok := p.handshakes[p.order[0]]; ok && now < h.expiresAt {
			return
		}
		delete(p.handshakes, p.order[0])
		p.order = p.order[1:]
	}
}
