package fleet

import (
	"fmt"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
)

const (
	slots    = 3
	queue    = 12
	workTime = 30
	// flowLifetime is how long a sidecar learns flows after its start.
	flowLifetime = 60 * clock.Second
	appPort      = 8080
)

// upstreamHost is a host with an upstream and the decisions of its sidecar.
type upstreamHost struct {
	cluster *Cluster
	index   int
	service int
	address netip.AddrPort
	app     netip.AddrPort

	// The sidecar and its current run.
	machine      *sidecar.Sidecar
	registration *registration.Registration
	run          int
	up           bool
	removed      bool
	learnUntil   clock.Millis
	born         int64
	// drained is the start of the upstream that drains, as the store has it.
	drained int64

	// The upstream and its current incarnation.
	alive    bool
	id       string
	bornAt   int64
	sequence uint64
	draining bool
	// acknowledged is the time at which the drain was acknowledged, 0 before.
	acknowledged clock.Millis
	flows        map[segment.Key]*upstreamFlow
	running      int
	waiting      []func()
}

// upstreamFlow is one flow at an upstream.
type upstreamFlow struct {
	first, next uint32
	received    uint32
	open, ended bool
	answered    map[uint64]bool
}

// AddUpstream adds a host with an upstream of a service.
func (w *Cluster) AddUpstream(service int) {
	index := len(w.upstreams)
	ip := netip.AddrFrom4([4]byte{10, 2, byte(index >> 8), byte(index)})
	u := &upstreamHost{
		cluster: w, index: index, service: service,
		address: netip.AddrPortFrom(ip, relayPort), app: netip.AddrPortFrom(ip, appPort),
	}
	if w.config.Remote != nil {
		u.app = w.config.Remote.UpstreamAddress(index)
	}
	w.upstreams = append(w.upstreams, u)
	u.startUpstream()
	u.startSidecar()
}

func (u *upstreamHost) startUpstream() {
	u.alive, u.draining, u.acknowledged, u.sequence = true, false, 0, 0
	u.bornAt = 1_700_000_000_000 + int64(u.cluster.now)
	u.id = fmt.Sprintf("u-%d-%d", u.index, u.bornAt)
	u.flows = map[segment.Key]*upstreamFlow{}
	u.running, u.waiting = 0, nil
	born := u.bornAt
	u.cluster.after(clock.Millis(u.cluster.random.IntN(300)), func() { u.beat(born) })
}

func (u *upstreamHost) startSidecar() {
	u.run++
	u.up, u.born = true, 0
	if u.cluster.config.Remote != nil {
		return
	}
	u.registration = registration.New(registration.Config{Address: u.app, Service: serviceName(u.service)})
	u.registration.RestoreDrain(u.drained)
	u.machine = sidecar.New(sidecar.Config{
		Decode: platform.DecodeSegment, ClearReturned: platform.ClearReturned,
		ToUpstream: func(packet []byte) {
			if u.alive {
				h, raw := decode(packet), append([]byte(nil), packet...)
				u.cluster.after(0, func() { u.handle(h, raw) })
			}
		},
		ToClient: func(_ netip.Addr, packet []byte) { u.cluster.toClient(u.swapped(packet)) },
		Self:     u.address,
		ToPeer:   u.toPeer,
	})
	u.machine.SetService(platform.ServiceID(serviceName(u.service)))
	u.machine.SetLearning(u.cluster.config.Mutant != LearningSkipped)
	u.machine.SetSlots(slots)
	u.report(u.run)
}

// receive calls handle unless the sidecar has ended since.
func (u *upstreamHost) receive(handle func()) {
	run := u.run
	u.cluster.deliver(func() {
		if u.up && u.run == run {
			handle()
		}
	})
}

func (u *upstreamHost) toPeer(to netip.AddrPort, data []byte) {
	m, err := relay.Decode(append([]byte(nil), data...))
	if err != nil {
		u.cluster.fault("sidecar %d sent an unreadable message: %v", u.index, err)
		return
	}
	switch {
	case m.Kind == relay.KindAccepted && u.cluster.config.Mutant == AcceptedAsRefused:
		m.Kind = relay.KindRefused
	case m.Kind == relay.KindAbsent && u.cluster.config.Mutant == AbsenceAssumed:
		m.Queried = uint16(len(u.cluster.upstreams))
		to = u.cluster.balancers[u.cluster.random.IntN(len(u.cluster.balancers))].address
	}
	for _, sibling := range u.cluster.upstreams {
		if sibling.address == to {
			sibling.receive(func() { sibling.machine.HandleMessage(u.cluster.now, u.address, m) })
		}
	}
	for _, b := range u.cluster.balancers {
		if b.address == to && (m.Kind != relay.KindReport || u.cluster.now >= b.deafUntil) {
			b.receive(func() {
				b.heard[u.address] = true
				b.machine.HandleSidecar(u.cluster.now, u.address, m)
			})
		}
	}
}

// swapped returns a packet for a client. With the mutant, a response goes to the open
// flow with the lowest address.
func (u *upstreamHost) swapped(packet []byte) []byte {
	raw := append([]byte(nil), packet...)
	h := decode(raw)
	if u.cluster.config.Mutant != ResponsesMisdelivered || h.request == 0 {
		return raw
	}
	var other netip.AddrPort
	for client, x := range u.cluster.exchanges {
		if x.open && !x.ended && client != h.to && (!other.IsValid() || client.Compare(other) < 0) {
			other = client
		}
	}
	if other.IsValid() {
		h.to = other
	}
	return h.encode()
}

// report tells balancers the state of the upstream.
func (u *upstreamHost) report(run int) {
	if !u.up || u.run != run || u.removed {
		return
	}
	u.machine.Tick(u.cluster.now)
	u.learnSiblings()
	if u.born != 0 && u.cluster.now > u.learnUntil {
		u.machine.SetLearning(false)
	}
	m := relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: platform.ServiceID(serviceName(u.service)), Accepting: u.machine.Accepting(),
		Departed: u.registration.Deregistered(), Slots: slots, Load: u.machine.Load(),
	}}
	data, err := m.Append(nil)
	if err != nil {
		u.cluster.fault("report of sidecar %d: %v", u.index, err)
		return
	}
	for _, b := range u.cluster.balancers {
		u.toPeer(b.address, data)
	}
	u.cluster.after(reportInterval, func() { u.report(run) })
}

// learnSiblings tells the sidecar the others of its service, as balancers would.
func (u *upstreamHost) learnSiblings() {
	var siblings []netip.AddrPort
	for _, other := range u.cluster.upstreams {
		if other.service == u.service && !other.removed {
			siblings = append(siblings, other.address)
		}
	}
	u.machine.SetSiblings(siblings)
}

// beat sends a heartbeat of an incarnation, and the next one later.
func (u *upstreamHost) beat(born int64) {
	if !u.alive || u.bornAt != born {
		return
	}
	u.sequence++
	u.heartbeat(registration.Heartbeat{
		ID: u.id, Service: serviceName(u.service), Address: u.app, StartedAt: u.bornAt, Sequence: u.sequence,
		Draining: u.draining, Slots: slots,
	})
	u.cluster.after(heartbeatInterval, func() { u.beat(born) })
}

// heartbeat gives a heartbeat to the sidecar.
func (u *upstreamHost) heartbeat(h registration.Heartbeat) {
	if !u.up {
		return
	}
	if remote := u.cluster.config.Remote; remote != nil {
		remote.Heartbeat(u.index, h)
		return
	}
	if u.cluster.config.Mutant == StaleHeartbeatsApplied {
		u.registration = registration.New(registration.Config{Address: u.app, Service: serviceName(u.service)})
	}
	if u.registration.Heartbeat(u.cluster.now, h) != registration.Applied {
		return
	}
	if u.born != h.StartedAt {
		if u.born != 0 {
			u.machine.DropFlows()
		} else if h.Sequence <= 1 {
			u.machine.SetLearning(false)
		}
		u.born, u.learnUntil = h.StartedAt, u.cluster.now+flowLifetime
	}
	if u.registration.Accepting() {
		u.machine.Accept()
		return
	}
	if u.cluster.config.Mutant != DrainIgnored {
		u.machine.Refuse(relay.ReasonDraining)
	}
	if h.Draining {
		u.drained = h.StartedAt
	}
	if h.StartedAt == u.bornAt && u.acknowledged == 0 {
		u.acknowledged = u.cluster.now
	}
}

// handle is what the upstream does with a packet.
func (u *upstreamHost) handle(h header, raw []byte) {
	if !u.alive {
		return
	}
	key := keyOf(h.from, h.to)
	f := u.flows[key]
	if h.has(flagOpen) {
		u.handleOpening(h, key, f)
		return
	}
	if f == nil || (!f.open && !f.ended && h.ack != f.first+1) {
		raw[0] |= flagReturned
		u.send(raw)
		return
	}
	if f.ended {
		if h.request != 0 {
			u.send(header{from: h.to, to: h.from, flags: flagReset, sequence: f.next, sum: senderSum}.encode())
		}
		return
	}
	f.open = true
	if h.request != 0 {
		u.handleRequest(h, f)
	}
	if h.has(flagFinal) {
		u.finish(h.from, h.to, f)
	}
}

// handleOpening judges and accepts a new flow.
func (u *upstreamHost) handleOpening(h header, key segment.Key, f *upstreamFlow) {
	if h.to != serviceAddress(u.service) {
		u.cluster.fault("a flow to %s was opened at %s", h.to, serviceName(u.service))
	}
	if f == nil {
		if u.acknowledged > 0 && u.cluster.now-u.acknowledged > drainLimit {
			u.cluster.fault("upstream %d got a new flow %d ms after its drain", u.index, u.cluster.now-u.acknowledged)
		}
		f = &upstreamFlow{first: u.cluster.random.Uint32(), received: h.sequence + 1, answered: map[uint64]bool{}}
		f.next = f.first + 1
		u.flows[key] = f
	}
	u.send(header{from: h.to, to: h.from, flags: flagOpen | flagAck, sequence: f.first, ack: f.received, sum: senderSum}.encode())
}

func (u *upstreamHost) handleRequest(h header, f *upstreamFlow) {
	if done, known := f.answered[h.request]; known {
		if done {
			u.respond(h, f, f.next-8)
		}
		return
	}
	f.answered[h.request] = false
	f.received = h.sequence + 8
	work := func() {
		u.running++
		u.cluster.runs[h.request]++
		if u.cluster.once[h.request] && u.cluster.runs[h.request] > 1 {
			u.cluster.fault("request %d ran %d times", h.request, u.cluster.runs[h.request])
		}
		born := u.bornAt
		u.cluster.after(clock.Millis(workTime/2+u.cluster.random.IntN(workTime)), func() {
			if u.alive && u.bornAt == born {
				u.complete(h, f)
			}
		})
	}
	if u.running < slots {
		work()
		return
	}
	if len(u.waiting) < queue {
		u.waiting = append(u.waiting, work)
	}
}

// complete answers a request and begins the next one.
func (u *upstreamHost) complete(h header, f *upstreamFlow) {
	u.running--
	f.answered[h.request] = true
	sequence := f.next
	f.next += 8
	u.respond(h, f, sequence)
	if u.draining {
		u.finish(h.from, h.to, f)
	}
	if len(u.waiting) > 0 {
		next := u.waiting[0]
		u.waiting = u.waiting[1:]
		next()
	}
}

func (u *upstreamHost) respond(h header, f *upstreamFlow, sequence uint32) {
	u.send(header{from: h.to, to: h.from, flags: flagAck, sequence: sequence, ack: f.received, sum: senderSum, request: h.request}.encode())
}

func (u *upstreamHost) finish(client, service netip.AddrPort, f *upstreamFlow) {
	if f.ended {
		return
	}
	f.ended = true
	u.send(header{from: service, to: client, flags: flagFinal | flagAck, sequence: f.next, ack: f.received, sum: senderSum}.encode())
}

// send gives a packet of the upstream to its sidecar.
func (u *upstreamHost) send(raw []byte) {
	if remote := u.cluster.config.Remote; remote != nil {
		remote.ToSidecar(u.index, raw)
		return
	}
	run := u.run
	u.cluster.after(0, func() {
		if u.up && u.run == run {
			u.machine.HandleUpstream(u.cluster.now, raw)
		}
	})
}

// holds reports whether the upstream has an open flow.
func (u *upstreamHost) holds(key segment.Key) bool {
	f := u.flows[key]
	return u.alive && f != nil && f.open && !f.ended
}
