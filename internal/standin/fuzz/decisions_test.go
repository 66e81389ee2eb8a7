package fuzz_test

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

// decisions are the calls of the real decisions that mutants replace.
type decisions struct {
	route         func(b *process, service identity.ServiceID, packet []byte) routing.Decision
	dispatch      func(p *process, header tunnel.Header, packet []byte) client.DispatchDecision
	load          func(p *process) client.Load
	begin         func(p *process, t ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response)
	refuse        func(p *process, t ticket.Ticket)
	runsHere      func(p *process, t ticket.Ticket) bool
	drained       func(p *process) bool
	closed        func(p *process) bool
	announced     func(p *process) (membership.State, int)
	configure     func(p *process, config admission.Config)
	heard         func(p *process, flow, balancer netip.AddrPort)
	reads         func(b *process) bool
	contracts     func(p *process, received []membership.Contract) []membership.Contract
	received      func(b *process, m *controlpb.SyncMessage)
	applyContract func(p *process, d contract.Document) bool
}

// realDecisions call the product without change.
func realDecisions() decisions {
	return decisions{
		route: func(b *process, service identity.ServiceID, packet []byte) routing.Decision {
			return b.router.Route(b.table, b.keys.Ring(), service, packet)
		},
		dispatch: func(p *process, header tunnel.Header, packet []byte) client.DispatchDecision {
			return p.dispatcher.Dispatch(p.keys.Ring(), header, packet, p.w.now)
		},
		load: func(p *process) client.Load {
			load := p.load()
			return client.Load{Leaving: load.Leaving, Flows: load.Flows}
		},
		begin: func(p *process, t ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response) {
			return p.tickets.Begin(t, digest, p.w.now)
		},
		refuse:    func(p *process, t ticket.Ticket) { p.tickets.Refuse(t) },
		runsHere:  func(p *process, t ticket.Ticket) bool { return t.Owner() == p.id },
		drained:   func(p *process) bool { return p.drained() },
		closed:    func(p *process) bool { return p.leaving && p.w.now-p.left >= leavingGrace },
		announced: func(p *process) (membership.State, int) { return p.announced() },
		configure: func(p *process, config admission.Config) { p.deliver(p.admission.Configure(config, p.w.now)) },
		heard:     func(p *process, flow, balancer netip.AddrPort) { p.paths.Record(flow, balancer, p.w.now) },
		reads:     func(b *process) bool { return b.readSince != b.w.platform.commits },
		contracts: func(_ *process, received []membership.Contract) []membership.Contract { return received },
		received:  func(*process, *controlpb.SyncMessage) {},
		applyContract: func(p *process, d contract.Document) bool {
			return p.contracts.Apply(d)
		},
	}
}
