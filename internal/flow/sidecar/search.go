package sidecar

import (
	"bytes"
	"maps"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/locator"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// publishDelay is the age at which a flow's owner is published to the flow's
	// locators. Most flows end earlier. The owner of a flow that was not published is found
	// by a search among all sidecars.
	publishDelay clock.Millis = 500
	// hintTTL is how long an owner hint is kept. Flows are assumed to end
	// earlier, but this is not enforced. The owner of a flow whose hint has expired is
	// found by a search among all sidecars.
	hintTTL = 60 * clock.Second
	// searchTimeout is how long a search waits for the responses of sidecars.
	searchTimeout = clock.Second
	// responseTimeout is how long a sidecar usually takes at most to respond to a search.
	// After that, the balancer is notified, or all sidecars are queried instead of the one
	// that a hint names.
	responseTimeout clock.Millis = 150
	// maxHints bounds the memory for hints of about 100 bytes each.
	maxHints = 100_000
)

// search holds what a sidecar knows about flows of its siblings.
type search struct {
	// siblings are the other sidecars of the service.
	siblings []netip.AddrPort
	hints    map[segment.Key]hint
	pending  map[segment.Key]*pendingSearch
}

// hint is the entry by which a locator knows the owner of a flow.
type hint struct {
	owner     netip.AddrPort
	learnedAt clock.Millis
}

// pendingSearch is a search in progress for the owner of one packet's flow.
type pendingSearch struct {
	requester netip.AddrPort
	startedAt clock.Millis
	// packet is needed to query all sidecars if the hint is wrong. It is nil unless
	// hinted is set.
	packet []byte
	// awaited are the sidecars that have not responded yet.
	awaited []netip.AddrPort
	// queried are the sidecars that got the query, without those that have ceased to be
	// siblings.
	queried []netip.AddrPort
	// hinted is set if only the sidecar of an owner hint was queried.
	hinted bool
	// notified is set when the balancer knows which sidecars have not responded.
	notified bool
}

func newSearch() search {
	return search{hints: map[segment.Key]hint{}, pending: map[segment.Key]*pendingSearch{}}
}

// SetSiblings sets the sidecars of the service. The sidecar's own address and
// duplicates are ignored. Searches no longer wait for sidecars that are not in the list.
func (s *Sidecar) SetSiblings(now clock.Millis, siblings []netip.AddrPort) {
	siblings = slices.DeleteFunc(slices.Clone(siblings), func(a netip.AddrPort) bool { return a == s.config.Self })
	slices.SortFunc(siblings, netip.AddrPort.Compare)
	siblings = slices.Compact(siblings)
	if slices.Equal(siblings, s.search.siblings) {
		return
	}
	s.search.siblings = siblings
	for _, key := range slices.SortedFunc(maps.Keys(s.search.pending), segment.Key.Compare) {
		s.stopAwaitingRemoved(now, key, s.search.pending[key])
	}
}

// stopAwaitingRemoved ends the wait of a search for sidecars that have ceased to be
// siblings.
func (s *Sidecar) stopAwaitingRemoved(now clock.Millis, key segment.Key, p *pendingSearch) {
	for _, awaited := range slices.Clone(p.awaited) {
		if !p.hinted && awaited != s.config.Self && !slices.Contains(s.search.siblings, awaited) {
			p.queried = slices.DeleteFunc(p.queried, func(a netip.AddrPort) bool { return a == awaited })
			s.handleAbsent(now, awaited, key)
		}
	}
}

// Siblings returns the number of other sidecars of the service that are known.
func (s *Sidecar) Siblings() int { return len(s.search.siblings) }

// handleSearch searches for the owner of a packet's flow on behalf of a balancer. If this
// sidecar's upstream does not hold the flow, handleSearch queries the sidecar that an
// owner hint names or, without a hint, all sidecars.
func (s *Sidecar) handleSearch(now clock.Millis, from netip.AddrPort, m relay.Message) {
	p, err := s.config.Decode(m.Packet, false)
	if err != nil || p.Returned || p.IsRequest() {
		s.record(Event{Outcome: OutcomeInvalid, Balancer: from})
		return
	}
	if m.Service != s.service {
		// The balancer meant another sidecar, whose address this one now uses.
		s.returnPacket(now, from, netip.AddrPort{}, p.Key, m.Packet)
		return
	}
	m.Requester = from
	if f := s.flows[p.Key]; f != nil && (f.state == stateOpen || (f.state == stateAccepted && s.acknowledgesAccept(f, p))) {
		s.handleForward(now, s.config.Self, m)
		return
	}
	if h, ok := s.search.hints[p.Key]; ok {
		s.search.pending[p.Key] = &pendingSearch{
			requester: from, startedAt: now, packet: bytes.Clone(m.Packet), awaited: []netip.AddrPort{h.owner}, hinted: true,
		}
		s.forwardSearch(h.owner, m)
		return
	}
	s.searchAll(now, p.Key, m)
}

// searchAll queries this sidecar and all siblings.
func (s *Sidecar) searchAll(now clock.Millis, key segment.Key, m relay.Message) {
	queried := append(slices.Clone(s.search.siblings), s.config.Self)
	s.search.pending[key] = &pendingSearch{requester: m.Requester, startedAt: now, awaited: slices.Clone(queried), queried: queried}
	s.record(Event{Outcome: OutcomeSearched, Key: key, Balancer: m.Requester})
	for _, sibling := range s.search.siblings {
		s.forwardSearch(sibling, m)
	}
	m.Kind = relay.KindForward
	s.handleForward(now, s.config.Self, m)
}

func (s *Sidecar) forwardSearch(to netip.AddrPort, m relay.Message) {
	s.send(to, relay.Message{Kind: relay.KindForward, Service: m.Service, Requester: m.Requester, Packet: m.Packet})
}

// handleAbsent records that a sidecar's upstream does not hold a flow. If this shows that
// a hint was wrong, all sidecars are queried next. When all sidecars have responded that
// their upstreams do not hold the flow, the balancer is notified.
func (s *Sidecar) handleAbsent(now clock.Millis, from netip.AddrPort, key segment.Key) {
	p := s.search.pending[key]
	if p == nil {
		return
	}
	p.awaited = slices.DeleteFunc(p.awaited, func(a netip.AddrPort) bool { return a == from })
	if len(p.awaited) > 0 {
		return
	}
	delete(s.search.pending, key)
	if p.hinted {
		s.searchWithoutHint(now, key, p)
		return
	}
	m := relay.Message{Kind: relay.KindAbsent, Key: key, Queried: uint16(len(p.queried)), Load: s.Load()}
	for _, queried := range p.queried[:min(len(p.queried), relay.MaxQueriedHosts)] {
		m.QueriedHosts = append(m.QueriedHosts, queried.Addr())
	}
	s.send(p.requester, m)
}

// searchWithoutHint queries all sidecars after the one that a hint named has not claimed
// the flow.
func (s *Sidecar) searchWithoutHint(now clock.Millis, key segment.Key, p *pendingSearch) {
	delete(s.search.hints, key)
	s.searchAll(now, key, relay.Message{Service: s.service, Requester: p.requester, Packet: p.packet})
}

// checkResponses acts on searches to which sidecars have not responded for
// responseTimeout.
func (s *Sidecar) checkResponses(now clock.Millis) {
	for _, key := range slices.SortedFunc(maps.Keys(s.search.pending), segment.Key.Compare) {
		p := s.search.pending[key]
		if p.notified || now-p.startedAt < responseTimeout {
			continue
		}
		if p.hinted {
			s.searchWithoutHint(now, key, p)
			continue
		}
		p.notified = true
		silent := slices.DeleteFunc(slices.Clone(p.awaited), func(a netip.AddrPort) bool { return a == s.config.Self })
		if len(silent) > 0 {
			s.send(p.requester, relay.Message{Kind: relay.KindUnanswered, Key: key, Sidecars: silent[:min(len(silent), relay.MaxUnanswered)]})
		}
	}
}

// handleHint records owner hints for flows of a sibling, and ends the searches for these
// flows.
func (s *Sidecar) handleHint(now clock.Millis, from netip.AddrPort, keys []segment.Key) {
	for _, key := range keys {
		delete(s.search.pending, key)
		if len(s.search.hints) < maxHints {
			s.search.hints[key] = hint{owner: from, learnedAt: now}
		}
	}
}

// publish notifies the locators of long flows that this upstream holds these flows.
// The locators of a flow's last selection are not notified again.
func (s *Sidecar) publish(now clock.Millis) {
	all := append(slices.Clone(s.search.siblings), s.config.Self)
	updates := map[netip.AddrPort][]segment.Key{}
	for key, f := range s.flows {
		if f.state != stateOpen || now-f.firstSeen < publishDelay {
			continue
		}
		selection := locator.Select(key, all)
		for _, recipient := range selection {
			if recipient.IsValid() && recipient != s.config.Self && !slices.Contains(f.locators[:], recipient) {
				updates[recipient] = append(updates[recipient], key)
			}
		}
		f.locators = selection
	}
	// A fixed order makes simulated runs repeatable.
	for _, to := range slices.SortedFunc(maps.Keys(updates), netip.AddrPort.Compare) {
		keys := updates[to]
		slices.SortFunc(keys, segment.Key.Compare)
		for batch := range slices.Chunk(keys, relay.MaxHintKeys) {
			s.send(to, relay.Message{Kind: relay.KindHint, Keys: batch})
		}
	}
}

// expire removes expired hints, and searches to which some sidecar has not responded in
// time. It calls unanswered for each of these searches.
func (s *search) expire(now clock.Millis, unanswered func(segment.Key, *pendingSearch)) {
	for key, h := range s.hints {
		if now-h.learnedAt > hintTTL {
			delete(s.hints, key)
		}
	}
	for key, p := range s.pending {
		if now-p.startedAt > searchTimeout {
			delete(s.pending, key)
			unanswered(key, p)
		}
	}
}

// splitSource returns the balancer that a packet comes from, and the sidecar that
// searches for the owner of its flow. Without a search, the searcher is not valid.
func splitSource(from, requester netip.AddrPort) (balancer, searcher netip.AddrPort) {
	if requester.IsValid() {
		return requester, from
	}
	return from, netip.AddrPort{}
}
