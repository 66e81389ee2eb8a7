package fleet

import (
	"fmt"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
)

const (
	// slots is the number of requests that an upstream executes at the same time.
	slots = 3
	// queueLength is the number of requests that an upstream queues. Further requests are
	// dropped.
	queueLength = 12
	// meanWorkTime is the mean time in ms to execute a request. The time varies by half of
	// that either way.
	meanWorkTime = 30
	// flowLifetime is how long a restarted sidecar learns existing flows, from the first
	// heartbeat that it receives.
	flowLifetime = 60 * clock.Second
	upstreamPort = 8080
)

// upstreamHost is a host with an upstream and the decision logic of its sidecar.
type upstreamHost struct {
	cluster         *Cluster
	index           int
	service         int
	relayAddress    netip.AddrPort
	upstreamAddress netip.AddrPort

	// The sidecar and its current incarnation.
	logic              *sidecar.Sidecar
	registration       *registration.Registration
	sidecarIncarnation int
	sidecarUp          bool
	// sidecarStopping is set while the sidecar is stopped gracefully.
	sidecarStopping bool
	// sidecarEndedAt is when the last process of the sidecar ended, and sidecarStartedAt when
	// the current one started.
	sidecarEndedAt, sidecarStartedAt clock.Millis
	// sidecarKilled is set if that last process ended without notice. sidecarInterrupted is
	// set while a process outside of the cluster is.
	sidecarKilled, sidecarInterrupted bool
	// pausedUntil is the end of the last pause of the sidecar.
	pausedUntil   clock.Millis
	removed       bool
	learningUntil clock.Millis
	// servedStart is the start time of the upstream incarnation that the sidecar serves, 0
	// if it knows none.
	servedStart int64
	// storedDrainStart is the start time of the upstream incarnation whose drain the sidecar
	// remembers across restarts, 0 if none. It stands for the keeper without Config.Store.
	storedDrainStart int64
	// keeper keeps the entry of the host; nil without Config.Store. drainRestored is set once
	// it has looked for a drain, or had the time to.
	keeper        *keeper
	drainRestored bool
	// evacuations holds what the sidecar knows of evacuated data centres.
	evacuations evacuation.Set
	// currentBalancer is the balancer whose message the sidecar has handled last.
	currentBalancer *balancerHost
	// balancers are the addresses of balancers that the sidecar knows, and lastBalancer is
	// when one of them last ran. rostersSent holds the incarnation of each balancer that has
	// got the roster.
	balancers    map[netip.AddrPort]bool
	lastBalancer clock.Millis
	rostersSent  map[*balancerHost]int
	roster       *absence.Roster
	// timeline holds what the sidecar has learned and done lately.
	timeline timeline

	// The upstream and its current incarnation.
	upstreamUp bool
	id         string
	// startedAt is the start time in ms since 1970. The cluster starts at 1_700_000_000_000.
	startedAt int64
	// sequence is the sequence number of the last heartbeat.
	sequence uint64
	draining bool
	// drainAcknowledgedAt is when the sidecar acknowledged the drain, 0 before.
	drainAcknowledgedAt clock.Millis
	flows               map[segment.Key]*upstreamFlow
	// running is the number of requests in execution.
	running int
	// queued holds the requests that wait for a slot. Each function executes one.
	queued []func()
}

// upstreamFlow is one flow at an upstream.
type upstreamFlow struct {
	firstSequence, nextSequence uint32
	ackNumber                   uint32
	open, ended                 bool
	// received holds the requests received on this flow, and whether each was responded to.
	received map[uint64]bool
}

// AddUpstream adds a host with an upstream of a service and its sidecar.
func (c *Cluster) AddUpstream(service int) {
	index := len(c.upstreams)
	ip := netip.AddrFrom4([4]byte{10, 2, byte(index >> 8), byte(index)})
	u := &upstreamHost{
		cluster: c, index: index, service: service,
		relayAddress: netip.AddrPortFrom(ip, relayPort), upstreamAddress: netip.AddrPortFrom(ip, upstreamPort),
	}
	if c.config.Remote != nil {
		u.upstreamAddress = c.config.Remote.UpstreamAddress(index)
	}
	c.upstreams = append(c.upstreams, u)
	u.startUpstream()
	u.startSidecar()
}

func (u *upstreamHost) startUpstream() {
	u.upstreamUp, u.draining, u.drainAcknowledgedAt, u.sequence = true, false, 0, 0
	u.startedAt = 1_700_000_000_000 + int64(u.cluster.now)
	u.id = fmt.Sprintf("u-%d-%d", u.index, u.startedAt)
	u.flows = map[segment.Key]*upstreamFlow{}
	u.running, u.queued = 0, nil
	startedAt := u.startedAt
	u.cluster.after(clock.Millis(u.cluster.random.IntN(300)), func() { u.sendHeartbeats(startedAt) })
}

func (u *upstreamHost) startSidecar() {
	u.sidecarIncarnation++
	u.sidecarUp, u.sidecarStopping, u.servedStart, u.sidecarStartedAt = true, false, 0, u.cluster.now
	if u.cluster.config.Remote != nil {
		return
	}
	u.registration = registration.New(registration.Config{Address: u.upstreamAddress, Service: serviceName(u.service)})
	u.registration.RestoreDrain(u.storedDrainStart)
	u.drainRestored = u.cluster.store == nil
	u.evacuations = evacuation.Set{}
	u.roster, u.rostersSent, u.lastBalancer = absence.NewRoster(), map[*balancerHost]int{}, u.cluster.now
	u.balancers = map[netip.AddrPort]bool{}
	for _, b := range u.cluster.balancers {
		u.balancers[b.seedAddress()] = true
	}
	u.logic = sidecar.New(sidecar.Config{
		Decode: platform.DecodeSegment, ClearReturned: platform.ClearReturned,
		ToUpstream: func(packet []byte) {
			if u.upstreamUp {
				h, raw, from := decode(packet), append([]byte(nil), packet...), u.currentBalancer
				u.cluster.after(0, func() { u.handle(h, raw, from) })
			}
		},
		ToClient: func(_ netip.Addr, packet []byte) { u.cluster.toClient(u.applyMisdelivery(packet)) },
		Self:     u.relayAddress,
		ToPeer:   u.sendMessage,
	})
	u.logic.SetService(platform.ServiceID(serviceName(u.service)))
	u.logic.SetLearning(u.cluster.config.Mutant != LearningSkipped)
	u.logic.SetSlots(slots)
	if u.cluster.store != nil {
		u.startKeeping()
	}
	u.tickAndReport(u.sidecarIncarnation)
}

// receive calls handle after the network delay, unless the datagram is lost or the sidecar
// has ended in the meantime.
func (u *upstreamHost) receive(handle func()) {
	incarnation := u.sidecarIncarnation
	u.cluster.deliver(func() {
		u.whenRunning(func() {
			if u.sidecarUp && u.sidecarIncarnation == incarnation {
				handle()
			}
		})
	})
}

// whenRunning calls run now, or at the end of the pause of the sidecar.
func (u *upstreamHost) whenRunning(run func()) { u.cluster.whenRunning(&u.pausedUntil, run) }

// sendMessage sends a message of the sidecar to another sidecar or to a balancer. It applies
// the mutants that change messages.
func (u *upstreamHost) sendMessage(to netip.AddrPort, data []byte) {
	m, err := relay.Decode(append([]byte(nil), data...))
	if err != nil {
		u.cluster.recordViolation("sidecar %d sent an undecodable message: %v", u.index, err)
		return
	}
	switch {
	case m.Kind == relay.KindAccepted && u.cluster.config.Mutant == AcceptedAsRefused:
		m.Kind = relay.KindRefused
	case m.Kind == relay.KindAbsent && u.cluster.config.Mutant == AbsenceAssumed:
		m.QueriedHosts = u.cluster.sidecarHosts()
	}
	for _, sibling := range u.cluster.upstreams {
		if sibling.relayAddress == to {
			sibling.receive(func() { sibling.handleMessage(u.relayAddress, m) })
		}
	}
	for _, b := range u.cluster.balancers {
		if b.relayAddress == to {
			u.sendToBalancer(b, m)
		}
	}
}

// handleMessage handles a message of another sidecar. With the mutant AbsenceAssumed, the
// response of one sidecar to a search counts as that of all.
func (u *upstreamHost) handleMessage(from netip.AddrPort, m relay.Message) {
	u.logic.HandleMessage(u.cluster.now, from, m)
	u.reportFurtherAddress()
	if m.Kind == relay.KindAbsent && u.cluster.config.Mutant == AbsenceAssumed {
		for _, other := range u.cluster.upstreams {
			u.logic.HandleMessage(u.cluster.now, other.relayAddress, m)
		}
	}
}

func (u *upstreamHost) sendToBalancer(b *balancerHost, m relay.Message) {
	b.receive(func() {
		if m.Kind == relay.KindReport && !b.heardFrom[u.relayAddress] {
			b.greetSidecar(u)
		}
		switch m.Kind {
		case relay.KindReport:
			b.heardFrom[u.relayAddress] = true
		case relay.KindRoster:
			b.addListed(m.Roster.Hosts)
		}
		b.logic.HandleSidecar(u.cluster.now, u.relayAddress, m)
		b.compareEvacuations(u, m)
	})
}

// reportFurtherAddress reports immediately that the upstream has got the first flow to an
// address.
func (u *upstreamHost) reportFurtherAddress() {
	if u.logic.TakeAddressesChanged() {
		u.report(u.cluster.balancers...)
	}
}

// applyMisdelivery returns a packet for a client unchanged. With the mutant
// ResponsesMisdelivered, it readdresses a response to another open flow, the one with the
// lowest client address.
func (u *upstreamHost) applyMisdelivery(packet []byte) []byte {
	raw := append([]byte(nil), packet...)
	h := decode(raw)
	if u.cluster.config.Mutant != ResponsesMisdelivered || h.requestID == 0 {
		return raw
	}
	var other netip.AddrPort
	for client, flow := range u.cluster.clientFlows {
		if flow.open && !flow.ended && client != h.to && (!other.IsValid() || client.Compare(other) < 0) {
			other = client
		}
	}
	if other.IsValid() {
		h.to = other
	}
	return h.encode()
}

// tickAndReport ticks the sidecar and reports the state of the upstream to all balancers. It
// repeats both after reportInterval.
func (u *upstreamHost) tickAndReport(incarnation int) {
	if !u.sidecarUp || u.sidecarIncarnation != incarnation || u.removed {
		return
	}
	if u.cluster.now < u.pausedUntil {
		u.whenRunning(func() { u.tickAndReport(incarnation) })
		return
	}
	u.logic.Tick(u.cluster.now)
	u.findBalancers()
	u.updateSiblings()
	if u.servedStart != 0 && u.cluster.now > u.learningUntil {
		u.logic.SetLearning(false)
	}
	u.report(u.cluster.balancers...)
	u.cluster.after(reportInterval, func() { u.tickAndReport(incarnation) })
}

// report sends the state of the upstream to balancers.
func (u *upstreamHost) report(balancers ...*balancerHost) {
	m := u.currentReport()
	for _, b := range balancers {
		if u.knows(b) && u.cluster.now >= b.reportsLostUntil[u.index] {
			u.sendToBalancer(b, m)
			u.sendRoster(b)
		}
	}
}

// currentReport returns the state of the upstream. It is encoded and decoded as between
// processes.
func (u *upstreamHost) currentReport() relay.Message {
	addresses, all := u.logic.Addresses()
	if u.cluster.config.Mutant == AddressesUnlisted {
		addresses, all = nil, true
	}
	m := relay.Message{Kind: relay.KindReport, Report: relay.Report{
		Service: platform.ServiceID(serviceName(u.service)), Accepting: u.logic.Accepting(),
		DataCentre: u.cluster.dataCentre(u.index), Evacuated: u.logic.Evacuated(),
		Departed: u.registration.Deregistered(), Stopping: u.sidecarStopping && u.cluster.config.Mutant != StopUnannounced,
		Slots: slots, Load: u.logic.Load(), Addresses: addresses, AllListed: all,
		Work: u.logic.Work(u.cluster.now),
	}}
	data, err := m.Append(nil)
	if err == nil {
		m, err = relay.Decode(data)
	}
	if err != nil {
		u.cluster.recordViolation("encoding the report of sidecar %d: %v", u.index, err)
	}
	return m
}

// updateSiblings lets searches query the siblings in the roster.
func (u *upstreamHost) updateSiblings() {
	if u.cluster.config.Mutant == SiblingsForgotten {
		u.roster = absence.NewRoster()
	}
	u.updateRoster()
	var siblings []netip.AddrPort
	for _, host := range u.roster.Hosts() {
		siblings = append(siblings, netip.AddrPortFrom(host, relayPort))
	}
	u.logic.SetSiblings(u.cluster.now, siblings)
}

// sendHeartbeats sends a heartbeat every heartbeatInterval as long as this incarnation of the
// upstream runs.
func (u *upstreamHost) sendHeartbeats(startedAt int64) {
	if !u.upstreamUp || u.startedAt != startedAt {
		return
	}
	u.sequence++
	u.deliverHeartbeat(registration.Heartbeat{
		ID: u.id, Service: serviceName(u.service), Address: u.upstreamAddress, StartedAt: u.startedAt, Sequence: u.sequence,
		Draining: u.draining, Slots: slots,
	})
	u.cluster.after(heartbeatInterval, func() { u.sendHeartbeats(startedAt) })
}

// deliverHeartbeat applies a heartbeat at the sidecar, or passes it on if the sidecar runs
// outside of the cluster. The heartbeat is lost if the sidecar is down.
func (u *upstreamHost) deliverHeartbeat(h registration.Heartbeat) {
	if !u.sidecarUp {
		return
	}
	if remote := u.cluster.config.Remote; remote != nil {
		remote.Heartbeat(u.index, h)
		return
	}
	incarnation := u.sidecarIncarnation
	u.whenRunning(func() {
		if u.sidecarUp && u.sidecarIncarnation == incarnation {
			u.applyHeartbeat(h)
		}
	})
}

func (u *upstreamHost) applyHeartbeat(h registration.Heartbeat) {
	if u.cluster.config.Mutant == StaleHeartbeatsApplied {
		u.registration = registration.New(registration.Config{Address: u.upstreamAddress, Service: serviceName(u.service)})
	}
	result := u.registration.Heartbeat(u.cluster.now, h)
	u.timeline.add(u.cluster.now, "heartbeat %d of %d, draining: %t, %s", h.Sequence, h.StartedAt, h.Draining, result)
	if result != registration.Applied {
		return
	}
	if u.servedStart != h.StartedAt {
		if u.servedStart != 0 {
			u.logic.DropFlows()
		} else if h.Sequence <= 1 {
			u.logic.SetLearning(false)
		}
		u.servedStart, u.learningUntil = h.StartedAt, u.cluster.now+flowLifetime
	}
	u.applyRegistration()
	if u.registration.Accepting() {
		return
	}
	switch {
	case !h.Draining:
	case u.keeper != nil:
		u.keeper.recordDrain(h.StartedAt)
	default:
		u.storedDrainStart = h.StartedAt
	}
	if u.draining && h.StartedAt == u.startedAt && u.drainAcknowledgedAt == 0 {
		u.drainAcknowledgedAt = u.cluster.now
	}
}

// handle processes a packet at the upstream that came through a balancer, which is nil if
// that is not known. The upstream returns a packet to the sidecar if
// it does not know the flow, or if the packet does not acknowledge the opening of a flow
// that is not open yet.
func (u *upstreamHost) handle(h header, raw []byte, from *balancerHost) {
	if !u.upstreamUp {
		return
	}
	key := flowKey(h.from, h.to)
	f := u.flows[key]
	if h.has(flagOpen) {
		u.handleOpen(h, key, f, from)
		return
	}
	if f == nil || (!f.open && !f.ended && h.ack != f.firstSequence+1) {
		raw[0] |= flagReturned
		u.send(raw)
		return
	}
	if f.ended {
		if h.requestID != 0 {
			u.send(header{from: h.to, to: h.from, flags: flagReset, sequence: f.nextSequence, checksum: senderChecksum}.encode())
		}
		return
	}
	f.open = true
	if h.requestID != 0 {
		u.handleRequest(h, f)
	}
	if h.has(flagFinal) {
		u.closeFlow(h.from, h.to, f)
	}
}

// handleOpen records a violation if no recent configuration sends the flow to this service, or if it is new and the
// grace period of a drain has passed. It accepts the flow in any case.
func (u *upstreamHost) handleOpen(h header, key segment.Key, f *upstreamFlow, from *balancerHost) {
	if !u.cluster.allowed(h.to, u.service) {
		u.cluster.recordViolation("a flow to %s was opened at %s", h.to, serviceName(u.service))
	}
	if f == nil {
		u.cluster.checkEvacuation(u, from)
		if u.drainAcknowledgedAt > 0 && u.cluster.now-u.drainAcknowledgedAt > drainGracePeriod {
			u.cluster.recordViolation("upstream %d received a new flow %d ms after its drain was acknowledged\n%s",
				u.index, u.cluster.now-u.drainAcknowledgedAt, &u.timeline)
		}
		f = &upstreamFlow{firstSequence: u.cluster.random.Uint32(), ackNumber: h.sequence + 1, received: map[uint64]bool{}}
		f.nextSequence = f.firstSequence + 1
		u.flows[key] = f
	}
	u.send(header{from: h.to, to: h.from, flags: flagOpen | flagAck, sequence: f.firstSequence, ack: f.ackNumber, checksum: senderChecksum}.encode())
}

// handleRequest executes or queues a request that is new on this flow. If the request was
// responded to before, handleRequest sends the response again. A request that was dropped
// because the queue was full counts as received, so its retransmissions are ignored. The 8
// bytes by which sequence numbers advance are the data of a request or response.
func (u *upstreamHost) handleRequest(h header, f *upstreamFlow) {
	if responded, known := f.received[h.requestID]; known {
		if responded {
			u.respond(h, f, f.nextSequence-8)
		}
		return
	}
	f.received[h.requestID] = false
	f.ackNumber = h.sequence + 8
	work := func() {
		u.running++
		u.cluster.executions[h.requestID]++
		if u.cluster.notRepeatable[h.requestID] && u.cluster.executions[h.requestID] > 1 {
			u.cluster.recordViolation("request %d was executed %d times", h.requestID, u.cluster.executions[h.requestID])
		}
		startedAt := u.startedAt
		u.cluster.after(clock.Millis(meanWorkTime/2+u.cluster.random.IntN(meanWorkTime)), func() {
			if u.upstreamUp && u.startedAt == startedAt {
				u.finishRequest(h, f)
			}
		})
	}
	if u.running < slots {
		work()
		return
	}
	if len(u.queued) < queueLength {
		u.queued = append(u.queued, work)
	}
}

// finishRequest responds to a request and starts the next one in the queue. An upstream that
// drains also closes the flow.
func (u *upstreamHost) finishRequest(h header, f *upstreamFlow) {
	u.running--
	f.received[h.requestID] = true
	sequence := f.nextSequence
	f.nextSequence += 8
	u.respond(h, f, sequence)
	if u.draining {
		u.closeFlow(h.from, h.to, f)
	}
	if len(u.queued) > 0 {
		next := u.queued[0]
		u.queued = u.queued[1:]
		next()
	}
}

func (u *upstreamHost) respond(h header, f *upstreamFlow, sequence uint32) {
	u.send(header{from: h.to, to: h.from, flags: flagAck, sequence: sequence, ack: f.ackNumber, checksum: senderChecksum, requestID: h.requestID}.encode())
}

func (u *upstreamHost) closeFlow(client, service netip.AddrPort, f *upstreamFlow) {
	if f.ended {
		return
	}
	f.ended = true
	u.send(header{from: service, to: client, flags: flagFinal | flagAck, sequence: f.nextSequence, ack: f.ackNumber, checksum: senderChecksum}.encode())
}

// send passes a packet of the upstream to its sidecar.
func (u *upstreamHost) send(raw []byte) {
	if remote := u.cluster.config.Remote; remote != nil {
		remote.ToSidecar(u.index, raw)
		return
	}
	incarnation := u.sidecarIncarnation
	u.cluster.after(0, func() {
		u.whenRunning(func() {
			if u.sidecarUp && u.sidecarIncarnation == incarnation {
				u.logic.HandleUpstream(u.cluster.now, raw)
				u.reportFurtherAddress()
			}
		})
	})
}

// hasOpenFlow reports whether the upstream runs and has the flow open.
func (u *upstreamHost) hasOpenFlow(key segment.Key) bool {
	f := u.flows[key]
	return u.upstreamUp && f != nil && f.open && !f.ended
}
