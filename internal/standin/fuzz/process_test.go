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
	// leavingGrace is how long a leaving sidecar takes new work (section 3).
	leavingGrace = 2 * clock.Second
	// goAwayTime is the least time between the start and the end of a stop.
	goAwayTime = 4 * clock.Second
	// fabricDelay is how long the fabric sends to a leaving balancer, and
	// balancerQuiet how long the balancer waits after the last datagram.
	fabricDelay   = clock.Second
	balancerQuiet = 2 * clock.Second
	// Limits of ticket stores, so small that cases reach them.
	ticketLifetime = 20 * clock.Second
	ticketGrace    = 4 * clock.Second
	ticketRecords  = 6
	ticketBytes    = 32
)

// process is one incarnation at a place: the real state machines of a balancer
// or a sidecar.
type process struct {
	w       *world
	at      int
	id      identity.OwnerID
	running bool
	// resumes is when a paused process reads its messages again; faulted is the
	// last time at which it was paused.
	resumes, faulted clock.Millis
	started          clock.Millis
	leaving          bool
	left             clock.Millis
	keys             *keyring.Store
	sealer           *tunnel.Sealer
	contracts        *contract.Store
	streams          map[membership.StreamID]*end
	opened           []membership.StreamID

	balancer *membership.Balancer
	table    *routing.Table
	router   routing.Router
	reader   bool
	// readSince is the number of platform changes that this reader has seen.
	readSince int
	ready     clock.Millis
	inbound   clock.Millis

	sidecar    *membership.Sidecar
	service    int
	serviceID  identity.ServiceID
	dispatcher *client.Dispatcher
	paths      *client.Paths
	exchange   *sibling.LoadExchange
	admission  *admission.Controller
	tickets    *ticket.Store
	nonce      uint64
	held       map[*flow]*session
	sessions   []*session
	gate       map[admission.ID]func(admission.Action)
	lastID     admission.ID
	waiting    map[uint64][]func()
	active     int
	serving    clock.Millis
}

func newProcess(w *world, at int) *process {
	p := &process{
		w: w, at: at, id: identity.OwnerID(w.random.Uint64N(1<<48-1) + 1), running: true,
		started: w.now, faulted: -clock.Minute, ready: -1, serving: -1, readSince: -1,
		keys: keyring.NewStore(w.keys.next), contracts: contract.NewStore(),
		streams: map[membership.StreamID]*end{},
	}
	p.sealer = tunnel.NewSealer(p.id)
	here := w.places[at]
	config := membership.RecordConfig{
		ID: p.id, Version: 1, Role: membership.RoleBalancer, State: membership.StateServing,
		DataCentre: here.dataCentre, Host: "host", Tunnel: here.address, Control: here.address,
	}
	if here.balancer {
		p.table = routing.NewTable()
		p.balancer = membership.NewBalancer(w.now, membership.NewRecord(config))
		return p
	}
	p.service = here.service
	p.serviceID = identity.NewServiceID(customer, services[here.service])
	config.Role, config.State = membership.RoleSidecar, membership.StateJoining
	config.Customer, config.Service = customer, services[here.service]
	p.sidecar = membership.NewSidecar(w.now, membership.NewRecord(config))
	p.paths = client.NewPaths()
	p.exchange = sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: p.id, Send: p.sendLoad})
	p.admission = admission.New(admission.Config{}, w.now)
	p.tickets = ticket.NewStore(ticket.Config{
		Self: p.id, Service: p.serviceID, Lifetime: ticketLifetime, Grace: ticketGrace,
		MaxRecords: ticketRecords, MaxBytes: ticketBytes,
	})
	p.held, p.gate, p.waiting = map[*flow]*session{}, map[admission.ID]func(admission.Action){}, map[uint64][]func(){}
	p.dispatcher = client.NewDispatcher(client.DispatcherConfig{
		Self: p.id, Service: p.serviceID,
		Load: func() client.Load { return w.decisions.load(p) }, Siblings: p.siblingLoads,
	})
	return p
}

func (p *process) tick() {
	w := p.w
	if p.balancer != nil {
		w.apply(p, p.balancer.Tick(w.now))
		if p.ready < 0 && p.balancer.Ready() {
			p.ready = w.now
			w.oracle.becameReady(p)
		}
		p.readPlatform()
		if p.leaving && w.now-max(p.left+fabricDelay, p.inbound) >= balancerQuiet {
			w.stopped = w.now
			w.apply(p, p.balancer.SetState(w.now, membership.StateLeft))
			w.crash(p, true)
		}
		return
	}
	w.apply(p, p.sidecar.Tick(w.now))
	p.deliver(p.admission.Tick(w.now))
	p.exchange.Tick(p.load(), w.now)
	p.announce()
	if p.leaving && w.now-p.left >= goAwayTime && w.decisions.drained(p) {
		p.exit()
	}
}

// announce tells the watchers the state, as the sidecar's node does.
func (p *process) announce() {
	state, weight := p.w.decisions.announced(p)
	if state == membership.StateServing && p.serving < 0 {
		p.serving = p.w.now
	}
	if self := p.sidecar.Self(); self.State() != state || self.Weight() != weight {
		p.w.apply(p, p.sidecar.SetSelf(p.w.now, state, weight))
	}
}

func (p *process) announced() (membership.State, int) {
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

// stop begins a planned stop.
func (p *process) stop() {
	if p.leaving {
		return
	}
	p.leaving, p.left = true, p.w.now
	p.w.stopped = p.w.now
	if p.balancer != nil {
		p.w.apply(p, p.balancer.SetState(p.w.now, membership.StateLeaving))
		return
	}
	p.tickets.Leave()
	p.announce()
}

// exit ends a planned stop of a sidecar. Flows without a request end with it.
func (p *process) exit() {
	p.w.stopped = p.w.now
	p.w.oracle.stopped(p)
	for _, s := range p.sessions {
		if s.flow.owner == p && s.flow.state == flowOpen {
			s.flow.state = flowClosed
		}
	}
	p.w.apply(p, p.sidecar.SetSelf(p.w.now, membership.StateLeft, 0))
	p.w.crash(p, true)
}

// drained reports whether no request and no stream is in progress.
func (p *process) drained() bool {
	return p.active == 0 && len(p.openStreams()) == 0 && p.unanswered() == 0
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
	p.exchange.SetSiblings(siblings)
}

func (p *process) applyContract(c membership.Contract) {
	d, err := contract.ParseDocument(c.Customer, c.Document)
	if err != nil {
		panic(err)
	}
	if !p.w.decisions.applyContract(p, d) {
		return
	}
	p.w.oracle.applied(p, c.Customer, d.Revision(), d.ChangeID())
	if p.sidecar == nil {
		return
	}
	if service, ok := p.serviceInEffect(); ok {
		p.w.decisions.configure(p, limits(service))
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

// opens reports whether a balancer serves the address of a service.
func (p *process) opens(service int) bool {
	d, _ := p.contracts.Document(customer)
	c, ok := d.Contract()
	if !ok {
		return false
	}
	_, ok = c.Service(services[service])
	return ok
}

func limits(service contract.Service) admission.Config {
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
	for owner, load := range p.exchange.Loads(p.w.now) {
		loads[owner] = client.Load{Leaving: load.Leaving, Flows: load.Flows}
	}
	return loads
}

func (p *process) sendLoad(to sibling.Sibling, payload []byte) {
	header := tunnel.Header{Type: tunnel.TypeLoad, Service: p.serviceID, Owner: to.Owner, Client: to.Tunnel}
	p.sendTunnel(header, payload, to.Tunnel, netip.AddrPort{})
}
