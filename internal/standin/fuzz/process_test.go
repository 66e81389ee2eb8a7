package fuzz_test

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/balancer/routing"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/client"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"github.com/orioledyke/orioledyke/internal/wire/tunnel"
)

const (
	// leavingGrace is how long a leaving sidecar takes new work (section 3 of the
	// design).
	leavingGrace = 2 * clock.Second
	// minStopTime is the minimum duration of a planned stop of a sidecar.
	minStopTime = 4 * clock.Second
	// fabricDelay is how long the fabric still sends to a leaving balancer.
	fabricDelay = clock.Second
	// balancerQuietTime is how long a leaving balancer keeps running after the last
	// datagram from a client. It begins after fabricDelay at the earliest.
	balancerQuietTime = 2 * clock.Second
	// The limits of the ticket stores are so low that cases reach them.
	ticketLifetime = 20 * clock.Second
	ticketGrace    = 4 * clock.Second
	ticketRecords  = 6
	ticketBytes    = 32
)

// process is one incarnation of a balancer or a sidecar. It contains the real state
// machines of its role.
type process struct {
	sim *simulation
	// location is an index into simulation.locations.
	location int
	id       identity.OwnerID
	running  bool
	// pausedUntil is when a paused process resumes.
	// lastFault is the last time at which the process had a fault, such as a pause.
	pausedUntil, lastFault clock.Millis
	startedAt              clock.Millis
	leaving                bool
	// leavingSince is when a planned stop began.
	leavingSince clock.Millis
	keys         *keyring.Store
	sealer       *tunnel.Sealer
	contracts    *contract.Store
	streams      map[membership.StreamID]*streamEnd
	// streamOrder holds the IDs of all streams in order of opening, so that terminate
	// does not depend on the order of a map.
	streamOrder []membership.StreamID

	balancer *membership.Balancer
	table    *routing.Table
	router   routing.Router
	// reader marks the balancer that reads the contracts from the platform.
	reader bool
	// readCommits is the number of platform commits that this reader has seen. It is
	// -1 before the first read, and is reset to -1 at every balancer that is not the
	// reader.
	readCommits int
	// readyAt is when the balancer became ready. It is -1 before that.
	readyAt clock.Millis
	// lastInbound is the time of the last datagram from a client.
	lastInbound clock.Millis

	sidecar        *membership.Sidecar
	service        int
	serviceID      identity.ServiceID
	dispatcher     *client.Dispatcher
	paths          *client.Paths
	loadExchange   *sibling.LoadExchange
	admission      *admission.Controller
	tickets        *ticket.Store
	nonce          uint64
	sessionsByFlow map[*flow]*session
	sessions       []*session
	// admissionCallbacks holds the function that continues each queued request.
	admissionCallbacks map[admission.ID]func(admission.Action)
	lastID             admission.ID
	// waitingRepeats holds the repeats of each running request by the nonce of its
	// ticket. They continue when the request ends.
	waitingRepeats map[uint64][]func()
	// active is the number of requests in progress.
	active int
	// servingAt is when the sidecar first announced that it serves. It is -1 before
	// that.
	servingAt clock.Millis
}

func newProcess(sim *simulation, index int) *process {
	p := &process{
		sim: sim, location: index, id: identity.OwnerID(sim.random.Uint64N(1<<48-1) + 1), running: true,
		startedAt: sim.now, lastFault: -clock.Minute, readyAt: -1, servingAt: -1, readCommits: -1,
		keys: keyring.NewStore(sim.keyRotation.next), contracts: contract.NewStore(),
		streams: map[membership.StreamID]*streamEnd{},
	}
	p.sealer = tunnel.NewSealer(p.id)
	own := sim.locations[index]
	config := membership.RecordConfig{
		ID: p.id, Version: 1, Role: membership.RoleBalancer, State: membership.StateServing,
		DataCentre: own.dataCentre, Host: "host", Tunnel: own.address, Control: own.address,
	}
	if own.balancer {
		p.table = routing.NewTable()
		p.balancer = membership.NewBalancer(sim.now, membership.NewRecord(config))
		return p
	}
	p.service = own.service
	p.serviceID = identity.NewServiceID(customer, services[own.service])
	config.Role, config.State = membership.RoleSidecar, membership.StateJoining
	config.Customer, config.Service = customer, services[own.service]
	p.sidecar = membership.NewSidecar(sim.now, membership.NewRecord(config))
	p.paths = client.NewPaths()
	p.loadExchange = sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: p.id, Send: p.sendLoad})
	p.admission = admission.New(admission.Config{}, sim.now)
	p.tickets = ticket.NewStore(ticket.Config{
		Self: p.id, Service: p.serviceID, Lifetime: ticketLifetime, Grace: ticketGrace,
		MaxRecords: ticketRecords, MaxBytes: ticketBytes,
	})
	p.sessionsByFlow, p.admissionCallbacks, p.waitingRepeats = map[*flow]*session{}, map[admission.ID]func(admission.Action){}, map[uint64][]func(){}
	p.dispatcher = client.NewDispatcher(client.DispatcherConfig{
		Self: p.id, Service: p.serviceID,
		Load: func() client.Load { return sim.decisions.load(p) }, Siblings: p.siblingLoads,
	})
	return p
}

func (p *process) tick() {
	sim := p.sim
	if p.balancer != nil {
		sim.apply(p, p.balancer.Tick(sim.now))
		if p.readyAt < 0 && p.balancer.Ready() {
			p.readyAt = sim.now
			sim.oracle.balancerReady(p)
		}
		p.readContracts()
		if p.leaving && sim.now-max(p.leavingSince+fabricDelay, p.lastInbound) >= balancerQuietTime {
			sim.lastStop = sim.now
			sim.apply(p, p.balancer.SetState(sim.now, membership.StateLeft))
			sim.terminate(p, true)
		}
		return
	}
	sim.apply(p, p.sidecar.Tick(sim.now))
	p.deliver(p.admission.Tick(sim.now))
	p.loadExchange.Tick(p.load(), sim.now)
	p.announce()
	if p.leaving && sim.now-p.leavingSince >= minStopTime && sim.decisions.drained(p) {
		p.finishStop()
	}
}

// announce sends a changed state or weight to the watchers, as
// internal/sidecar/node does.
func (p *process) announce() {
	state, weight := p.sim.decisions.announcedState(p)
	if state == membership.StateServing && p.servingAt < 0 {
		p.servingAt = p.sim.now
	}
	if self := p.sidecar.Self(); self.State() != state || self.Weight() != weight {
		p.sim.apply(p, p.sidecar.SetSelf(p.sim.now, state, weight))
	}
}

func (p *process) announcedState() (membership.State, int) {
	_, inEffect := p.serviceInEffect()
	switch {
	case p.leaving:
		return membership.StateLeaving, 0
	case !inEffect:
		return membership.StateJoining, 0
	default:
		return membership.StateServing, membership.MaxWeight
	}
}

// beginStop begins a planned stop. It has no effect if one has begun already.
func (p *process) beginStop() {
	if p.leaving {
		return
	}
	p.leaving, p.leavingSince = true, p.sim.now
	p.sim.lastStop = p.sim.now
	if p.balancer != nil {
		p.sim.apply(p, p.balancer.SetState(p.sim.now, membership.StateLeaving))
		return
	}
	p.tickets.Leave()
	p.announce()
}

// finishStop ends a planned stop of a sidecar. No request is in progress any more. The
// flows that are still open close with the sidecar.
func (p *process) finishStop() {
	p.sim.lastStop = p.sim.now
	p.sim.oracle.processStopped(p)
	for _, s := range p.sessions {
		if s.flow.owner == p && s.flow.state == flowOpen {
			s.flow.state = flowClosed
		}
	}
	p.sim.apply(p, p.sidecar.SetSelf(p.sim.now, membership.StateLeft, 0))
	p.sim.terminate(p, true)
}

// drained reports whether no request is in progress, no stream is open, and clients
// have received all responses.
func (p *process) drained() bool {
	return p.active == 0 && len(p.openStreams()) == 0 && p.undelivered() == 0
}

func (p *process) openStreams() []*flow {
	var open []*flow
	for _, s := range p.sessions {
		if s.flow.stream && s.flow.owner == p && s.flow.state == flowOpen {
			open = append(open, s.flow)
		}
	}
	return open
}

func (p *process) applyMembers(changed []membership.Record, removed []identity.OwnerID) {
	members := make([]routing.Member, len(changed))
	for i, r := range changed {
		members[i] = routing.Member{Owner: r.ID(), Service: r.ServiceID(), Tunnel: r.Tunnel(), Weight: r.Weight()}
	}
	p.table = p.table.With(members, removed)
}

func (p *process) applySiblings() {
	records := p.sidecar.Siblings()
	siblings := make([]sibling.Sibling, len(records))
	for i, r := range records {
		siblings[i] = sibling.Sibling{Owner: r.ID(), Tunnel: r.Tunnel(), Control: r.Control()}
	}
	p.loadExchange.SetSiblings(siblings)
}

func (p *process) applyContract(c membership.Contract) {
	d, err := contract.ParseDocument(c.Customer, c.Document)
	if err != nil {
		panic(err)
	}
	if !p.sim.decisions.applyContract(p, d) {
		return
	}
	p.sim.oracle.contractApplied(p, c.Customer, d.Revision(), d.ChangeID())
	if p.sidecar == nil {
		return
	}
	if service, ok := p.serviceInEffect(); ok {
		p.sim.decisions.configure(p, admissionConfig(service))
	}
}

func (p *process) serviceInEffect() (contract.Service, bool) {
	d, _ := p.contracts.Document(customer)
	c, ok := d.Contract()
	if !ok {
		return contract.Service{}, false
	}
	return c.Service(services[p.service])
}

// listensFor reports whether a balancer accepts packets at the address of a service.
func (p *process) listensFor(service int) bool {
	d, _ := p.contracts.Document(customer)
	c, ok := d.Contract()
	if !ok {
		return false
	}
	_, ok = c.Service(services[service])
	return ok
}

func admissionConfig(service contract.Service) admission.Config {
	config := admission.Config{Slots: service.Slots(), Streams: service.Flows()}
	for _, k := range service.Kinds() {
		config.Kinds = append(config.Kinds, admission.Kind{
			Name: k.Name(), Urgency: k.Urgency(), GuaranteedShare: k.GuaranteedShare(),
			Ceiling: k.Ceiling(), Stream: k.Stream(),
		})
	}
	return config
}

func (p *process) load() sibling.Load {
	return sibling.Load{
		Leaving: p.leaving, Flows: len(p.sessions), InUse: p.admission.InUse(),
		Slots: p.admission.Slots(), Queued: p.admission.Queued(),
	}
}

func (p *process) siblingLoads() map[identity.OwnerID]client.Load {
	loads := map[identity.OwnerID]client.Load{}
	for owner, load := range p.loadExchange.Loads(p.sim.now) {
		loads[owner] = client.Load{Leaving: load.Leaving, Flows: load.Flows}
	}
	return loads
}

func (p *process) sendLoad(to sibling.Sibling, payload []byte) {
	header := tunnel.Header{Type: tunnel.TypeLoad, Service: p.serviceID, Owner: to.Owner, Client: to.Tunnel}
	p.sendTunnel(header, payload, to.Tunnel, netip.AddrPort{})
}
