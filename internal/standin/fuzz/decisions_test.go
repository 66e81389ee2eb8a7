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

// decisions are the calls into the product that a mutant can replace by a faulty
// version. A parameter b is a balancer, and a parameter p is a sidecar. Only in
// filterContracts and applyContract, p can be a balancer too.
type decisions struct {
	route           func(b *process, service identity.ServiceID, packet []byte) routing.Decision
	dispatch        func(p *process, header tunnel.Header, packet []byte) client.DispatchDecision
	load            func(p *process) client.Load
	beginTicket     func(p *process, t ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response)
	refuseTicket    func(p *process, t ticket.Ticket)
	ownsTicket      func(p *process, t ticket.Ticket) bool
	drained         func(p *process) bool
	stopsNewWork    func(p *process) bool
	announcedState  func(p *process) (membership.State, int)
	configure       func(p *process, config admission.Config)
	recordPath      func(p *process, flow, balancer netip.AddrPort)
	readsContracts  func(b *process) bool
	filterContracts func(p *process, received []membership.Contract) []membership.Contract
	syncReceived    func(b *process, m *controlpb.SyncMessage)
	applyContract   func(p *process, d contract.Document) bool
}

// realDecisions returns the unmodified calls into the product.
func realDecisions() decisions {
	return decisions{
		route: func(b *process, service identity.ServiceID, packet []byte) routing.Decision {
			return b.router.Route(b.table, b.keys.Ring(), service, packet)
		},
		dispatch: func(p *process, header tunnel.Header, packet []byte) client.DispatchDecision {
			return p.dispatcher.Dispatch(p.keys.Ring(), header, packet, p.sim.now)
		},
		load: func(p *process) client.Load {
			load := p.load()
			return client.Load{Leaving: load.Leaving, Flows: load.Flows}
		},
		beginTicket: func(p *process, t ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response) {
			return p.tickets.Begin(t, digest, p.sim.now)
		},
		refuseTicket:    func(p *process, t ticket.Ticket) { p.tickets.Refuse(t) },
		ownsTicket:      func(p *process, t ticket.Ticket) bool { return t.Owner() == p.id },
		drained:         func(p *process) bool { return p.drained() },
		stopsNewWork:    func(p *process) bool { return p.leaving && p.sim.now-p.leavingSince >= leavingGrace },
		announcedState:  func(p *process) (membership.State, int) { return p.announcedState() },
		configure:       func(p *process, config admission.Config) { p.deliver(p.admission.Configure(config, p.sim.now)) },
		recordPath:      func(p *process, flow, balancer netip.AddrPort) { p.paths.Record(flow, balancer, p.sim.now) },
		readsContracts:  func(b *process) bool { return b.readCommits != b.sim.platform.commits },
		filterContracts: func(_ *process, received []membership.Contract) []membership.Contract { return received },
		syncReceived:    func(*process, *controlpb.SyncMessage) {},
		applyContract: func(p *process, d contract.Document) bool {
			return p.contracts.Apply(d)
		},
	}
}
