package sidecar

import (
	"bytes"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/locator"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// publishAge is the age at which a flow's owner is made known to its agents.
	// Most flows end earlier, and a search among all sidecars finds the others.
	publishAge clock.Millis = 500
	// hintLife is how long a hint is kept. No flow lives longer.
	hintLife = 60 * clock.Second
	// searchLife is how long the answers of sidecars are awaited.
	searchLife = clock.Second
	// maxHints bounds the memory: about 100 bytes for each hint.
	maxHints = 100_000
)

// search is what a sidecar knows of flows of its siblings.
type search struct {
	// siblings are the other sidecars of the service.
	siblings []netip.AddrPort
	hints    map[segment.Key]hint
	pending  map[segment.Key]*inquiry
}

// hint names the owner of a flow.
type hint struct {
	owner netip.AddrPort
	heard clock.Millis
}

// inquiry is a search for the owner of one packet's flow.
type inquiry struct {
	asker  netip.AddrPort
	began  clock.Millis
	packet []byte
	// awaited are the sidecars that have not answered, and asked counts all that
	// were asked.
	awaited []netip.AddrPort
	asked   int
	// hinted tells that only the sidecar of a hint was asked.
	hinted bool
}

func newSearch() search {
	return search{hints: map[segment.Key]hint{}, pending: map[segment.Key]*inquiry{}}
}

// SetSiblings sets the other sidecars of the service.
func (s *Sidecar) SetSiblings(siblings []netip.AddrPort) {
	siblings = slices.DeleteFunc(slices.Clone(siblings), func(a netip.AddrPort) bool { return a == s.config.Self })
	slices.SortFunc(siblings, netip.AddrPort.Compare)
	s.search.siblings = slices.Compact(siblings)
}

// Siblings returns the number of other sidecars of the service.
func (s *Sidecar) Siblings() int { return len(s.search.siblings) }

// handleSearch finds the owner of a packet's flow for a balancer: this sidecar, the
// one of a hint, or else any.
func (s *Sidecar) handleSearch(now clock.Millis, from netip.AddrPort, m relay.Message) {
	p, err := s.config.Decode(m.Packet, false)
	if err != nil || p.Returned || p.Requests() {
		s.count(Event{Outcome: OutcomeInvalid, Balancer: from})
		return
	}
	if m.Service != s.service {
		// The address of the sidecar that was meant has been used again.
		s.returnPacket(now, from, netip.AddrPort{}, p.Key, m.Packet)
		return
	}
	m.Requester = from
	if f := s.flows[p.Key]; f != nil && (f.state == stateOpen || (f.state == stateAccepted && s.opens(f, p))) {
		s.handleForward(now, s.config.Self, m)
		return
	}
	if h, ok := s.search.hints[p.Key]; ok {
		s.search.pending[p.Key] = &inquiry{
			asker: from, began: now, packet: bytes.Clone(m.Packet), awaited: []netip.AddrPort{h.owner}, asked: 1, hinted: true,
		}
		s.forwardSearch(h.owner, m)
		return
	}
	s.searchAll(now, p.Key, m)
}

// searchAll asks this upstream and all siblings.
func (s *Sidecar) searchAll(now clock.Millis, key segment.Key, m relay.Message) {
	s.search.pending[key] = &inquiry{
		asker: m.Requester, began: now,
		awaited: append(slices.Clone(s.search.siblings), s.config.Self), asked: len(s.search.siblings) + 1,
	}
	s.count(Event{Outcome: OutcomeSearched, Key: key, Balancer: m.Requester})
	for _, sibling := range s.search.siblings {
		s.forwardSearch(sibling, m)
	}
	m.Kind = relay.KindForward
	s.handleForward(now, s.config.Self, m)
}

func (s *Sidecar) forwardSearch(to netip.AddrPort, m relay.Message) {
	s.send(to, relay.Message{Kind: relay.KindForward, Service: m.Service, Requester: m.Requester, Packet: m.Packet})
}

// handleAbsent records that a sidecar's upstream does not hold a flow. When none
// does, the balancer is told.
func (s *Sidecar) handleAbsent(now clock.Millis, from netip.AddrPort, key segment.Key) {
	q := s.search.pending[key]
	if q == nil {
		return
	}
	q.awaited = slices.DeleteFunc(q.awaited, func(a netip.AddrPort) bool { return a == from })
	if len(q.awaited) > 0 {
		return
	}
	delete(s.search.pending, key)
	if q.hinted {
		delete(s.search.hints, key)
		s.searchAll(now, key, relay.Message{Service: s.service, Requester: q.asker, Packet: q.packet})
		return
	}
	s.send(q.asker, relay.Message{Kind: relay.KindAbsent, Key: key, Queried: uint16(q.asked), Load: s.Load()})
}

// handleHint records flows of a sibling, which end searches for them.
func (s *Sidecar) handleHint(now clock.Millis, from netip.AddrPort, keys []segment.Key) {
	for _, key := range keys {
		delete(s.search.pending, key)
		if len(s.search.hints) < maxHints {
			s.search.hints[key] = hint{owner: from, heard: now}
		}
	}
}

// publish tells the agents of long flows that they are here.
func (s *Sidecar) publish(now clock.Millis) {
	all := append(slices.Clone(s.search.siblings), s.config.Self)
	news := map[netip.AddrPort][]segment.Key{}
	for key, f := range s.flows {
		if f.state != stateOpen || now-f.opened < publishAge {
			continue
		}
		selection := locator.Select(key, all)
		for _, a := range selection {
			if a.IsValid() && a != s.config.Self && !slices.Contains(f.agents[:], a) {
				news[a] = append(news[a], key)
			}
		}
		f.agents = selection
	}
	for to, keys := range news {
		for batch := range slices.Chunk(keys, relay.MaxHintKeys) {
			s.send(to, relay.Message{Kind: relay.KindHint, Keys: batch})
		}
	}
}

// expire forgets old hints and searches. unanswered receives each search that some
// sidecar has not answered.
func (s *search) expire(now clock.Millis, unanswered func(segment.Key, *inquiry)) {
	for key, h := range s.hints {
		if now-h.heard > hintLife {
			delete(s.hints, key)
		}
	}
	for key, q := range s.pending {
		if now-q.began > searchLife {
			delete(s.pending, key)
			unanswered(key, q)
		}
	}
}
