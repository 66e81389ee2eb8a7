package sibling

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// maxPartners is the maximum number of siblings with which a sidecar exchanges
	// loads. It limits the control traffic.
	maxPartners = 6
	// minInterval is the shortest time between two load messages. A slot is in use for
	// about 100 ms. With an interval of 200 ms, half of the hand-offs found the slot
	// taken. At 100 ms, 6 partners cost at most 6.6 KB/s of the 8 KB/s that control
	// traffic may use.
	minInterval = clock.Millis(100)
	// maxInterval is the longest time between two load messages. After SetSiblings, an
	// unchanged load is sent again as soon as minInterval has passed.
	maxInterval = clock.Second
	// loadRetention is how long a load message is valid. While a sibling is alive, it is
	// unlikely that three of its messages in a row are lost.
	loadRetention = clock.Millis(3500)
)

// Sibling is another sidecar of the same service.
type Sibling struct {
	Owner   identity.OwnerID
	Tunnel  netip.AddrPort
	Control netip.AddrPort
	// Leaving comes from the membership. The last load message may not show it,
	// because a sibling that is no longer a partner does not report that it leaves.
	Leaving bool
}

// LoadExchange decides when load messages are sent and keeps the loads received from
// siblings. It is safe for concurrent use.
type LoadExchange struct {
	config     LoadExchangeConfig
	mutex      sync.Mutex
	siblings   []Sibling
	loads      map[identity.OwnerID]siblingLoad
	lastSent   Load
	lastSentAt clock.Millis
	// sentToPartners is true once the load has been sent to the current partners. The
	// message may be lost.
	sentToPartners bool
}

// LoadExchangeConfig configures a LoadExchange.
type LoadExchangeConfig struct {
	Self identity.OwnerID
	// Send sends a load message to a sibling. The message may be lost.
	Send func(to Sibling, message []byte)
}

type siblingLoad struct {
	load       Load
	receivedAt clock.Millis
	// handedOff is the number of requests that this sidecar has handed off to the
	// sibling since the message. Each of them counts as a slot in use.
	handedOff int
}

// NewLoadExchange returns a LoadExchange without siblings.
func NewLoadExchange(config LoadExchangeConfig) *LoadExchange {
	return &LoadExchange{config: config, loads: map[identity.OwnerID]siblingLoad{}, lastSentAt: -maxInterval}
}

// SetSiblings replaces the siblings. The list may contain this sidecar, which is left
// out. Loads of sidecars that are not in the list are dropped.
func (e *LoadExchange) SetSiblings(siblings []Sibling) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.siblings = slices.DeleteFunc(slices.Clone(siblings), func(s Sibling) bool { return s.Owner == e.config.Self })
	for owner := range e.loads {
		if !slices.ContainsFunc(siblings, func(s Sibling) bool { return s.Owner == owner }) {
			delete(e.loads, owner)
		}
	}
	// New partners get the load at the first tick that minInterval permits.
	e.sentToPartners = false
}

// Find returns the sibling with the given ID. It reports false if there is none.
func (e *LoadExchange) Find(owner identity.OwnerID) (Sibling, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.find(owner)
}

func (e *LoadExchange) find(owner identity.OwnerID) (Sibling, bool) {
	i := slices.IndexFunc(e.siblings, func(s Sibling) bool { return s.Owner == owner })
	if i < 0 {
		return Sibling{}, false
	}
	return e.siblings[i], true
}

// Tick sends the load to the partners if it is due. A changed load and a load for new
// siblings are sent at most every 100 ms. Otherwise, the load is sent every second.
func (e *LoadExchange) Tick(load Load, now clock.Millis) {
	e.mutex.Lock()
	due := !e.sentToPartners || now-e.lastSentAt >= maxInterval || now-e.lastSentAt >= minInterval && load != e.lastSent
	due = due && now-e.lastSentAt >= minInterval
	var partners []Sibling
	if due {
		partners = e.partners()
		e.sentToPartners, e.lastSent, e.lastSentAt = true, load, now
	}
	e.mutex.Unlock()
	message := load.Encode()
	for _, partner := range partners {
		e.config.Send(partner, message)
	}
}

// partners returns the maxPartners/2 nearest siblings on each side in the ring of
// owner IDs, so that partners choose each other.
func (e *LoadExchange) partners() []Sibling {
	ring := slices.Clone(e.siblings)
	slices.SortFunc(ring, func(a, b Sibling) int {
		if e.distance(a) < e.distance(b) {
			return -1
		}
		return 1
	})
	if len(ring) <= maxPartners {
		return ring
	}
	half := maxPartners / 2
	return append(ring[:half:half], ring[len(ring)-half:]...)
}

func (e *LoadExchange) distance(s Sibling) identity.OwnerID {
	return (s.Owner - e.config.Self) & (1<<(8*identity.OwnerIDSize) - 1)
}

// Receive records the load message of a sibling. It ignores messages that are
// malformed or not from a sibling.
func (e *LoadExchange) Receive(owner identity.OwnerID, message []byte, now clock.Millis) {
	load, err := ParseLoad(message)
	if err != nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.find(owner); ok {
		e.loads[owner] = siblingLoad{load: load, receivedAt: now}
	}
}

// Loads returns the loads of the siblings whose load message is still valid.
func (e *LoadExchange) Loads(now clock.Millis) map[identity.OwnerID]Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	loads := map[identity.OwnerID]Load{}
	for owner, r := range e.loads {
		if now-r.receivedAt >= loadRetention {
			continue
		}
		load := r.load
		if s, ok := e.find(owner); ok && s.Leaving {
			load.Leaving = true
		}
		loads[owner] = load
	}
	return loads
}

// WithoutValidLoad returns the siblings that are not leaving and whose last load
// message is missing or no longer valid.
func (e *LoadExchange) WithoutValidLoad(now clock.Millis) []identity.OwnerID {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var owners []identity.OwnerID
	for _, s := range e.siblings {
		r, ok := e.loads[s.Owner]
		if !s.Leaving && (!ok || now-r.receivedAt >= loadRetention) {
			owners = append(owners, s.Owner)
		}
	}
	return owners
}

// MostFree returns the sibling with the most free slots. It reports false if no
// sibling has a free slot.
func (e *LoadExchange) MostFree(now clock.Millis) (Sibling, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	best, most := Sibling{}, 0
	for _, s := range e.siblings {
		r, ok := e.loads[s.Owner]
		free := r.load.Slots - r.load.InUse - r.load.Queued - r.handedOff
		if !ok || s.Leaving || r.load.Leaving || now-r.receivedAt >= loadRetention {
			continue
		}
		if free > most {
			best, most = s, free
		}
	}
	return best, most > 0
}

// RecordHandOff records that a request is handed off to a sibling. The request counts
// as a slot in use until the next load message of the sibling, which normally includes
// this slot.
func (e *LoadExchange) RecordHandOff(owner identity.OwnerID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r, ok := e.loads[owner]; ok {
		r.handedOff++
		e.loads[owner] = r
	}
}
