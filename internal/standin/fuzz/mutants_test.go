package fuzz_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
	"pgregory.net/rapid"
)

// mutantCases is the maximum number of cases until a mutant must be caught.
const mutantCases = 300

// mutant is a deliberate fault in a decision.
type mutant struct {
	// invariant is the number of the invariant that the fault violates.
	invariant int
	// seed is the seed of a case that catches the fault early.
	seed  int
	fault string
	plant func(d *decisions)
}

// mutantResult is the result of all cases with one mutant.
type mutantResult struct {
	mutant
	// caught is the violation that the oracle reported. It is empty if the oracle
	// did not detect the fault.
	caught string
	// lastSeed is the seed of the last case that ran.
	lastSeed int
	steps    int
}

type ticketKey struct {
	p     *process
	nonce uint64
}

func mutants() []mutant {
	return []mutant{
		{1, 1000, "balancer moves flows of a leaver to a sibling", moveFlowsOfLeaving},
		{1, 1000, "sidecar stops before its streams end", func(d *decisions) {
			d.drained = func(p *process) bool { return p.active == 0 && p.undelivered() == 0 }
		}},
		{1, 1000, "leaver is announced as left at once", func(d *decisions) {
			announced := d.announcedState
			d.announcedState = func(p *process) (membership.State, int) {
				if p.leaving {
					return membership.StateLeft, 0
				}
				return announced(p)
			}
		}},
		{2, 2002, "sidecar takes datagrams for other services and owners", func(d *decisions) {
			dispatch := d.dispatch
			d.dispatch = func(p *process, h tunnel.Header, packet []byte) client.DispatchDecision {
				if h.Type == tunnel.TypeInbound {
					h.Service, h.Owner = p.serviceID, p.id
				}
				return dispatch(p, h, packet)
			}
		}},
		{2, 0, "balancer routes by connection ID, whatever the socket", routeForeign},
		{3, 1000, "a ticket is not bound to its request", func(d *decisions) {
			begin := d.beginTicket
			d.beginTicket = func(p *process, t ticket.Ticket, _ ticket.Digest) (ticket.State, ticket.Response) {
				return begin(p, t, ticket.Digest{})
			}
		}},
		{3, 5001, "a new contract forgets the queued requests", func(d *decisions) {
			d.configure = func(p *process, config admission.Config) {
				clear(p.admissionCallbacks)
				p.admission = admission.New(config, p.sim.now)
			}
		}},
		{4, 5000, "a refusal is not recorded", forgetRefusals},
		{4, 5000, "a repeat of a running request is refused as not run", replaceState(ticket.Running, ticket.Refused)},
		{5, 2000, "a repeat of a finished request runs again", replaceState(ticket.Done, ticket.Run)},
		{5, 5000, "any sidecar runs a ticket", func(d *decisions) {
			d.ownsTicket = func(*process, ticket.Ticket) bool { return true }
		}},
		{6, 1000, "leaver is neither announced nor passes on new flows", func(d *decisions) {
			announced := d.announcedState
			d.announcedState = func(p *process) (membership.State, int) {
				if p.leaving {
					return membership.StateServing, membership.MaxWeight
				}
				return announced(p)
			}
			d.load = func(p *process) client.Load { return client.Load{Flows: len(p.sessions)} }
		}},
		{6, 5000, "leaver keeps starting requests", func(d *decisions) {
			d.stopsNewWork = func(*process) bool { return false }
		}},
		{7, 11, "sidecar stops after a fixed time", func(d *decisions) {
			d.drained = func(p *process) bool { return len(p.openStreams()) == 0 }
		}},
		{7, 1001, "replies keep to the first balancer of a flow", func(d *decisions) {
			recordPath := d.recordPath
			d.recordPath = func(p *process, flow, balancer netip.AddrPort) {
				if first, ok := p.paths.Choose(flow); ok {
					balancer = first
				}
				recordPath(p, flow, balancer)
			}
		}},
		{8, 0, "balancer drops every second contract that it hears", dropContracts},
		{8, 4000, "reader does not follow changes", func(d *decisions) {
			d.readsContracts = func(b *process) bool { return b.readCommits < 0 }
		}},
		{8, 18, "balancer applies late contracts", applyLateContracts},
	}
}

// moveFlowsOfLeaving makes balancers send packets of flows whose owner has weight 0 to
// the first member with a weight above 0.
func moveFlowsOfLeaving(d *decisions) {
	route := d.route
	d.route = func(b *process, service identity.ServiceID, packet []byte) routing.Decision {
		got := route(b, service, packet)
		owner, _ := b.table.Member(got.Owner)
		if got.Reason != routing.ToOwner || owner.Weight > 0 {
			return got
		}
		for _, m := range b.table.Members(service) {
			if m.Weight > 0 {
				got.Owner, got.Target = m.Owner, m.Tunnel
				return got
			}
		}
		return got
	}
}

// routeForeign makes balancers route a connection ID of another service. It also
// makes the sidecar skip its own check, because either check alone keeps the packet
// out.
func routeForeign(d *decisions) {
	route := d.route
	d.route = func(b *process, service identity.ServiceID, packet []byte) routing.Decision {
		got := route(b, service, packet)
		for _, name := range services {
			if other := identity.NewServiceID(customer, name); got.Reason == routing.DropForeignConnectionID {
				got = route(b, other, packet)
			}
		}
		return got
	}
	dispatch := d.dispatch
	d.dispatch = func(p *process, h tunnel.Header, packet []byte) client.DispatchDecision {
		h.Service = p.serviceID
		return dispatch(p, h, packet)
	}
}

// forgetRefusals makes a ticket run although its refusal was recorded.
func forgetRefusals(d *decisions) {
	refuse, begin := d.refuseTicket, d.beginTicket
	forgotten := map[ticketKey]bool{}
	d.refuseTicket = func(p *process, t ticket.Ticket) {
		forgotten[ticketKey{p, t.Nonce()}] = true
		refuse(p, t)
	}
	d.beginTicket = func(p *process, t ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response) {
		state, response := begin(p, t, digest)
		if state == ticket.Refused && forgotten[ticketKey{p, t.Nonce()}] {
			state = ticket.Run
		}
		return state, response
	}
}

func replaceState(from, to ticket.State) func(*decisions) {
	return func(d *decisions) {
		begin := d.beginTicket
		d.beginTicket = func(p *process, t ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response) {
			state, response := begin(p, t, digest)
			if state == from {
				return to, ticket.Response{}
			}
			return state, response
		}
	}
}

func dropContracts(d *decisions) {
	deliveries := map[*process]int{}
	d.filterContracts = func(p *process, received []membership.Contract) []membership.Contract {
		if p.balancer == nil || len(received) == 0 {
			return received
		}
		deliveries[p]++
		if deliveries[p]%2 == 0 {
			return nil
		}
		return received
	}
}

// applyLateContracts makes processes apply contracts in their order of arrival, including
// duplicated and late ones.
func applyLateContracts(d *decisions) {
	d.syncReceived = func(b *process, m *controlpb.SyncMessage) {
		for _, c := range m.GetContracts() {
			b.applyContract(membership.Contract{Customer: c.GetCustomer(), Revision: c.GetRevision(), Document: c.GetDocument()})
		}
	}
	d.applyContract = func(p *process, c contract.Document) bool {
		p.contracts.Apply(c)
		return true
	}
}

// findViolation runs up to mutantCases cases with consecutive seeds, beginning with the
// seed first. It stops when the oracle reports a violation of the mutant's invariant.
func findViolation(m mutant, first int) mutantResult {
	found := mutantResult{mutant: m}
	for seed := first; seed < first+mutantCases; seed++ {
		d := realDecisions()
		m.plant(&d)
		got := rapid.Custom(func(t *rapid.T) outcome { return runCase(t, d) }).Example(seed)
		found.lastSeed, found.steps = seed, found.steps+got.steps
		if got.invariant == m.invariant {
			found.caught = got.violation
			return found
		}
	}
	return found
}

// TestMutants guards against an oracle that overlooks a faulty decision. Unless the
// summary of the mutants is requested, it starts with the known seed of each mutant,
// which takes fewer steps.
func TestMutants(t *testing.T) {
	for _, m := range mutants() {
		first := m.seed
		if *summaryFlag == "mutants" {
			first = int(*seedFlag)
		}
		found := findViolation(m, first)
		mutantResults = append(mutantResults, found)
		if found.caught == "" {
			t.Errorf("invariant %d: %s: not caught in %d steps", m.invariant, m.fault, found.steps)
		}
	}
}

func printMutants() {
	caught := 0
	fmt.Printf("%-9s | %-56s | %-4s | %-5s | %s\n", "invariant", "fault", "seed", "steps", "caught by")
	for _, r := range mutantResults {
		by := r.caught
		if by == "" {
			by = "not caught"
		} else {
			caught++
		}
		fmt.Printf("%-9d | %-56s | %-4d | %-5d | %s\n", r.invariant, r.fault, r.lastSeed, r.steps, by)
	}
	fmt.Printf("mutants: planted=%d caught=%d\n", len(mutantResults), caught)
}
