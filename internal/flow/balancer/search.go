package balancer

import (
	"iter"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/locator"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// maxSearchesPerSecond limits the packets for which a balancer requests a search,
	// because each search may reach all sidecars of a service.
	maxSearchesPerSecond = 2000
	// searchTimeout is how long a sidecar may take to find an owner. After that, the
	// flow's next packet goes to another sidecar. Clients retransmit packets after 200 ms.
	searchTimeout clock.Millis = 100
	// absenceTTL is how long the absence of a flow from a service remains valid without a
	// further packet of the flow. It exceeds the longest retransmission interval of
	// clients and is shorter than the time after which they reuse a port.
	absenceTTL = 4 * clock.Second
)

// endSearch forgets the attempts to find the owner.
func (f *flow) endSearch() { f.searchAttempts, f.absence, f.unresolved = 0, nil, nil }

// abandonsOwner reports whether the packets of a flow must not be sent to its owner any
// more, because the owner is lost and the client may repeat its request elsewhere. Other
// clients wait, because the response may still come.
func (b *Balancer) abandonsOwner(f *flow) bool {
	sc := b.sidecars[f.owner]
	if sc == nil || !sc.lost || !f.repeatable {
		return false
	}
	f.owner = netip.AddrPort{}
	return true
}

// search asks a sidecar of each service that may hold a packet's flow to find the owner
// of the flow. The owner gets the packet and claims the flow.
func (b *Balancer) search(now clock.Millis, s segment.Segment, packet []byte) {
	r, ok := b.table.Lookup(s.Key.Service())
	if !ok {
		b.record(Event{Outcome: OutcomeNoRoute, Key: s.Key, Version: b.table.Version()})
		return
	}
	if b.searchLimitReached(now, maxSearchesPerSecond) {
		b.record(Event{Outcome: OutcomeLimited, Key: s.Key})
		return
	}
	f := b.ensureFlow(now, s.Key)
	if now-f.lastSearch >= absenceTTL {
		f.endSearch()
	}
	b.retainUnresolved(now, f, s, packet)
	b.searchOwner(now, f, s, r, packet)
}

// searchOwner makes one attempt to find the owner of a packet's flow.
func (b *Balancer) searchOwner(now clock.Millis, f *flow, s segment.Segment, r route.Route, packet []byte) {
	b.searchesInWindow++
	if f.searchAttempts == 0 || now-f.lastSearch >= searchTimeout {
		f.searchAttempts++
		f.lastSearch = now
	}
	if f.absence == nil {
		f.absence = &absence.Flow{}
	}
	f.acknowledged, f.awaitsResponse = s.Acknowledged, s.Length > 0
	services := append(b.holders.known(now, r), b.holders.page(f.searchAttempts-1)...)
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		if to, ok := b.searchTarget(now, s.Key, service, f.searchAttempts-1); ok {
			f.absence.Searched(now, service, to)
			b.forward(to, relay.KindSearch, service, packet)
			b.record(Event{
				Outcome: OutcomeSearched, Key: s.Key, Sidecar: to, Version: b.table.Version(), Attempt: f.searchAttempts,
			})
		}
	}
}

// searchLimitReached reports whether at least limit searches were made in the current
// second.
func (b *Balancer) searchLimitReached(now clock.Millis, limit int) bool {
	if now-b.searchWindowStart >= clock.Second {
		b.searchWindowStart, b.searchesInWindow = now, 0
	}
	return b.searchesInWindow >= limit
}

// searchTarget returns a sidecar that can search for the owner of a flow. The first
// attempts select the flow's locators in order, because they may know the owner, and
// later attempts select random sidecars. attempt counts from 0.
func (b *Balancer) searchTarget(now clock.Millis, key segment.Key, service identity.ServiceID, attempt int) (netip.AddrPort, bool) {
	var live []netip.AddrPort
	for _, sc := range b.services[service] {
		if sc.live(now) {
			live = append(live, sc.address)
		}
	}
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	if attempt < locator.Count {
		if to := locator.Select(key, live)[attempt]; to.IsValid() {
			return to, true
		}
	}
	return live[b.config.Random(len(live))], true
}

// handleAbsent handles a search that found no owner. If searches in all services that may
// hold the flow prove that no upstream can serve it, the flow is reset, so that a client
// with a request in progress need not wait for its deadline. A flow is left alone if the
// client does not wait for a response.
func (b *Balancer) handleAbsent(now clock.Millis, from netip.AddrPort, m relay.Message) {
	f, sc := b.flows[m.Key], b.sidecars[from]
	if f == nil || f.absence == nil || sc == nil || f.owner.IsValid() || !f.awaitsResponse {
		return
	}
	service := sc.report.Service
	covered := absence.Covers(m.QueriedHosts, b.possibleOwners(now, f, service)) && b.config.AllReported() && !b.config.Behind()
	f.absence.Absent(service, from, b.joins[service], covered)
	if !covered {
		b.record(Event{Outcome: OutcomeUnresolved, Key: m.Key, Sidecar: from, Attempt: int(m.Queried)})
		return
	}
	r, ok := b.table.Lookup(m.Key.Service())
	if !ok || !absence.Lost(b.absenceEvidence(now, f, r)) {
		return
	}
	delete(b.flows, m.Key)
	b.record(Event{Outcome: OutcomeLost, Key: m.Key, Sidecar: from, Version: b.table.Version(), Attempt: int(m.Queried)})
	b.config.ToClient(m.Key.Client().Addr(), b.config.Reset(m.Key, f.acknowledged))
}

// absenceEvidence returns what is known about each service that may hold a flow.
func (b *Balancer) absenceEvidence(now clock.Millis, f *flow, r route.Route) iter.Seq[absence.Service] {
	return func(yield func(absence.Service) bool) {
		known := b.holders.known(now, r)
		for _, service := range known {
			if !yield(b.serviceEvidence(now, f, service, false)) {
				return
			}
		}
		for _, service := range b.holders.unlistedServices {
			if !slices.Contains(known, service) && !yield(b.serviceEvidence(now, f, service, true)) {
				return
			}
		}
	}
}

func (b *Balancer) serviceEvidence(now clock.Millis, f *flow, service identity.ServiceID, learning bool) absence.Service {
	e := absence.Service{
		Complete:  b.config.Members.Complete(now, service),
		Ownerless: !b.hasPossibleOwner(now, f, service), Learning: learning,
	}
	e.Absent, e.Confirmed = f.absence.Found(service, b.joins[service])
	return e
}
