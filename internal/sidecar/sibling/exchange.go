package sibling

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// maxPartners limits the siblings that exchange load with this sidecar, and
	// with it the control traffic.
	maxPartners = 6
	// minInterval is short because a slot is in use for about 100 ms: with 200 ms
	// half of the hand-offs found the slot taken. 6 partners then cost at most
	// 6.6 KB/s of the 8 KB/s that control may take.
	minInterval = clock.Millis(100)
	maxInterval = clock.Second
	// loadRetention is how long a load message is used. Three lost messages in a
	// row are unlikely from a sibling that is alive.
	loadRetention = clock.Millis(3500)
)

// Sibling is another sidecar of the same service.
type Sibling struct {
	Owner   identity.OwnerID
	Tunnel  netip.AddrPort
	Control netip.AddrPort
	// Leaving is what the membership says. A load message may say less: a sibling
	// that is no longer a partner does not tell that it leaves.
	Leaving bool
}

// LoadExchange decides when load messages are sent and keeps those received. It is
// safe for concurrent use.
type LoadExchange struct {
	config   LoadExchangeConfig
	mutex    sync.Mutex
	siblings []Sibling
	loads    map[identity.OwnerID]received
	last     Load
	sent     clock.Millis
	started  bool
}

// LoadExchangeConfig configures a LoadExchange.
type LoadExchangeConfig struct {
	Self identity.OwnerID
	// Send sends a load message to a sibling. A message may be lost.
	Send func(to Sibling, message []byte)
}

type received struct {
	load Load
	at   clock.Millis
	// lent is the number of slots that this sidecar has taken since the message.
	lent int
}

// NewLoadExchange returns a LoadExchange that knows no sibling.
func NewLoadExchange(config LoadExchangeConfig) *LoadExchange {
	return &LoadExchange{config: config, loads: map[identity.OwnerID]received{}, sent: -maxInterval}
}

// SetSiblings replaces the siblings; this sidecar itself is left out. Loads of
// those that are gone are dropped.
func (e *LoadExchange) SetSiblings(siblings []Sibling) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.siblings = slices.DeleteFunc(slices.Clone(siblings), func(s Sibling) bool { return s.Owner == e.config.Self })
	for owner := range e.loads {
		if !slices.ContainsFunc(siblings, func(s Sibling) bool { return s.Owner == owner }) {
			delete(e.loads, owner)
		}
	}
	// New partners learn the load at the next tick.
	e.started = false
}

// Find returns the sibling with the given ID.
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

// Tick sends the load to the partners if it is due: at most every 100 ms when it
// changed, and every second otherwise.
func (e *LoadExchange) Tick(load Load, now clock.Millis) {
	e.mutex.Lock()
	due := !e.started || now-e.sent >= maxInterval || now-e.sent >= minInterval && load != e.last
	due = due && now-e.sent >= minInterval
	var partners []Sibling
	if due {
		partners = e.partners()
		e.started, e.last, e.sent = true, load, now
	}
	e.mutex.Unlock()
	message := load.Encode()
	for _, partner := range partners {
		e.config.Send(partner, message)
	}
}

// partners returns the two siblings on either side in the ring of owner IDs, so
// that partners choose each other.
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

// Receive keeps the load message of a sibling. Messages that are malformed or not
// from a sibling are ignored.
func (e *LoadExchange) Receive(owner identity.OwnerID, message []byte, now clock.Millis) {
	load, err := ParseLoad(message)
	if err != nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if _, ok := e.find(owner); ok {
		e.loads[owner] = received{load: load, at: now}
	}
}

// Loads returns the present loads of siblings that were heard recently.
func (e *LoadExchange) Loads(now clock.Millis) map[identity.OwnerID]Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	loads := map[identity.OwnerID]Load{}
	for owner, r := range e.loads {
		if now-r.at >= loadRetention {
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

// WithoutLoad returns the siblings that serve but have sent no load recently.
func (e *LoadExchange) WithoutLoad(now clock.Millis) []identity.OwnerID {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var unheard []identity.OwnerID
	for _, s := range e.siblings {
		r, ok := e.loads[s.Owner]
		if !s.Leaving && (!ok || now-r.at >= loadRetention) {
			unheard = append(unheard, s.Owner)
		}
	}
	return unheard
}

// MostFree returns the sibling with the most free slots. It reports false if none has
// one.
func (e *LoadExchange) MostFree(now clock.Millis) (Sibling, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	best, most := Sibling{}, 0
	for _, s := range e.siblings {
		r, ok := e.loads[s.Owner]
		free := r.load.Slots - r.load.InUse - r.load.Queued - r.lent
		if !ok || s.Leaving || r.load.Leaving || now-r.at >= loadRetention {
			continue
		}
		if free > most {
			best, most = s, free
		}
	}
	return best, most > 0
}

// RecordHandOff records that a request is handed off to a sibling, whose next message
// shows it.
func (e *LoadExchange) RecordHandOff(owner identity.OwnerID) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if r, ok := e.loads[owner]; ok {
		r.lent++
		e.loads[owner] = r
	}
}
