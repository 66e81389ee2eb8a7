package balancer

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/locator"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	// searchRate is how many packets of unknown flows a balancer may have searched
	// in a second, because each may reach all sidecars of a service.
	searchRate = 2000
	// searchTimeout is how long a sidecar may take to find an owner before another
	// one is asked. Clients repeat packets after 200 ms.
	searchTimeout clock.Millis = 100
)

// search asks a sidecar of the service to find the owner of a packet's flow. The
// owner claims the flow.
func (b *Balancer) search(now clock.Millis, s segment.Segment, packet []byte) {
	r, ok := b.table.Lookup(s.Key.Service())
	if !ok {
		b.count(Event{Outcome: OutcomeNoRoute, Key: s.Key, Version: b.table.Version()})
		return
	}
	if now-b.window >= clock.Second {
		b.window, b.searches = now, 0
	}
	if b.searches >= searchRate {
		b.count(Event{Outcome: OutcomeLimited, Key: s.Key})
		return
	}
	b.searches++
	f := b.remember(now, s.Key)
	if f.searches == 0 || now-f.searched >= searchTimeout {
		f.searches++
		f.searched, f.absent = now, nil
	}
	f.acknowledged, f.waiting = s.Acknowledged, s.Length > 0
	for _, target := range r.Targets {
		if to, ok := b.agent(now, s.Key, target.Service, f.searches-1); ok {
			b.forward(to, relay.KindSearch, target.Service, packet)
			b.count(Event{
				Outcome: OutcomeSearched, Key: s.Key, Sidecar: to, Version: b.table.Version(), Attempt: f.searches,
			})
		}
	}
}

// agent returns a sidecar that knows the owner of a flow or finds it. Each further
// attempt selects another one.
func (b *Balancer) agent(now clock.Millis, key segment.Key, service identity.ServiceID, attempt int) (netip.AddrPort, bool) {
	var live []netip.AddrPort
	for _, c := range b.services[service] {
		if c.live(now) {
			live = append(live, c.address)
		}
	}
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	if attempt < locator.Replicas {
		if to := locator.Select(key, live)[attempt]; to.IsValid() {
			return to, true
		}
	}
	return live[b.config.Random(len(live))], true
}

// handleAbsent resets a flow that no upstream holds, so that a client with a request
// in progress need not wait for its deadline. A flow that may be at a sidecar that
// was not asked is left alone.
func (b *Balancer) handleAbsent(from netip.AddrPort, m relay.Message) {
	f, c := b.flows[m.Key], b.sidecars[from]
	if f == nil || c == nil || f.owner.IsValid() || !f.waiting {
		return
	}
	if int(m.Queried) < len(b.services[c.report.Service]) || !b.config.AllReported() {
		b.count(Event{Outcome: OutcomeUnresolved, Key: m.Key, Sidecar: from, Attempt: int(m.Queried)})
		return
	}
	f.absent = append(f.absent, c.report.Service)
	r, ok := b.table.Lookup(m.Key.Service())
	if !ok {
		return
	}
	for _, target := range r.Targets {
		if !slices.Contains(f.absent, target.Service) {
			return
		}
	}
	delete(b.flows, m.Key)
	b.count(Event{Outcome: OutcomeLost, Key: m.Key, Sidecar: from, Version: b.table.Version(), Attempt: int(m.Queried)})
	b.config.ToClient(m.Key.Client().Addr(), b.config.Reset(m.Key, f.acknowledged))
}
