package balancer

import (
	"bytes"
	"container/heap"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// maxOpenTimeout is the longest time that clients wait for a flow to open.
const maxOpenTimeout clock.Millis = 1400

// retransmitTimes are the times at which clients transmit a request for a new flow,
// relative to the first transmission.
var retransmitTimes = [...]clock.Millis{0, 200, 600}

// pendingFlow is a new flow that no upstream has accepted yet.
type pendingFlow struct {
	key     segment.Key
	service identity.ServiceID
	// queue is that of service.
	queue  *serviceQueue
	packet []byte
	// retransmissions is the highest retransmission count seen in the client's requests.
	// 0 means that only the first transmission was seen. seen has a bit for each
	// transmission seen.
	retransmissions, seen uint32
	// firstSent is when the client first sent its request, as far as is known.
	firstSent clock.Millis
	// latencyGoal is the latency goal of the flow's route; 0 means none. openTimeout is how
	// long the client waits for the flow to open.
	latencyGoal, openTimeout clock.Millis
	// priority and repeatable come from the flow's route.
	priority   int
	repeatable bool
	// attempted holds the sidecars that have got the request, without those that refused
	// it but may take it later.
	attempted []netip.AddrPort
	// outstanding counts the sidecars that have got the request and have not responded.
	// Their upstreams may have accepted the flow.
	outstanding int
	// attemptedAt is the time of the last placement attempt. deadline is when that
	// attempt times out; it is 0 while the flow waits.
	attemptedAt, deadline clock.Millis
	// waiting is set while the flow is in the queue of its service. waitRecorded is set when
	// OutcomeWaiting is recorded for the flow, so that it is recorded only once.
	waiting, waitRecorded bool
	// owed is set if the flow's priority was owed an offer when the flow was last considered.
	owed bool
	// waitingForLink is set while a bulk flow waits until the link has room.
	waitingForLink bool
}

// pastGoal reports whether the client has waited longer than the latency goal.
func (p *pendingFlow) pastGoal(now clock.Millis) bool {
	return p.latencyGoal > 0 && now-p.firstSent > p.latencyGoal
}

// expired reports whether the client has stopped waiting for the flow.
func (p *pendingFlow) expired(now clock.Millis) bool { return now-p.firstSent > p.openTimeout }

// attempt is a placement attempt at one sidecar. It is obsolete once its flow is no
// longer pending or has another deadline.
type attempt struct {
	flow     *pendingFlow
	deadline clock.Millis
}

// attempts is a min-heap of placement attempts by deadline, for container/heap.
type attempts []attempt

func (a attempts) Len() int { return len(a) }

func (a attempts) Less(i, j int) bool { return a[i].deadline < a[j].deadline }

func (a attempts) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push appends an attempt. Only container/heap calls it.
func (a *attempts) Push(x any) { *a = append(*a, x.(attempt)) }

// Pop removes the last element of the slice. Only container/heap calls it.
func (a *attempts) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = attempt{}
	*a = (*a)[:last]
	return x
}

// handleRequest handles a client's request for a new flow, which arrived at receivedAt.
func (b *Balancer) handleRequest(now, receivedAt clock.Millis, f *flow, s segment.Segment, packet []byte) {
	retransmissions := s.Acknowledged
	if f != nil && retransmissions > 0 && f.accepted && now-f.acceptedAt <= maxOpenTimeout {
		// The upstream's response was lost. The upstream sends it again when it gets
		// the retransmission. Later, the request is for a new flow from the same port.
		f.lastSeen = now
		b.forward(f.owner, relay.KindForward, f.service, packet)
		b.counts[OutcomeForwarded]++
		return
	}
	if b.table == nil && b.early.add(now, s.Key, packet) {
		return
	}
	r, ok := b.table.Lookup(s.Key.Service())
	if !ok {
		b.refuse(s.Key, retransmissions, Event{Outcome: OutcomeNoRoute, Key: s.Key, Version: b.table.Version()})
		return
	}
	if f == nil || f.pending == nil || retransmissions == 0 {
		f = b.ensureFlow(now, s.Key)
		f.owner, f.accepted = netip.AddrPort{}, false
		f.service, f.bulk, f.repeatable = r.Service(s.Key), r.Bulk, r.Repeatable
		f.pending = &pendingFlow{
			key: s.Key, service: f.service, packet: bytes.Clone(packet), firstSent: receivedAt - requestAge(retransmissions),
			latencyGoal: r.LatencyGoal, openTimeout: openTimeout(r.Timeout),
			priority: r.Priority, repeatable: r.Repeatable,
		}
		f.pending.queue = b.queueOf(f.service)
		f.pending.queue.queue.Arrived(now)
	}
	f.pending.retransmissions = max(f.pending.retransmissions, retransmissions)
	f.pending.seen |= 1 << min(retransmissions, uint32(len(retransmitTimes)))
	switch {
	case f.pending.waiting || f.pending.waitingForLink:
	case f.bulk && len(f.pending.attempted) == 0:
		b.offerToLink(now, f, f.pending)
	default:
		b.admit(now, f, f.pending, 0)
	}
}

// place sends the request of a pending flow to a sidecar that was not attempted yet. If no
// sidecar can be attempted, the flow waits for one or is refused. It is not refused while an upstream may have accepted it.
// reason is why the last sidecar refused the flow; 0 means that it did not.
func (b *Balancer) place(now clock.Millis, f *flow, p *pendingFlow, reason relay.Reason) {
	if len(p.attempted) == 0 && !b.followTable(f, p) {
		b.refusePending(p, Event{Outcome: OutcomeNoRoute})
		return
	}
	sc, full := b.selectSidecar(now, p)
	b.placeOn(now, f, p, sc, full, reason)
}

// placeOn sends the request of a pending flow to the selected sidecar, if there is one.
func (b *Balancer) placeOn(now clock.Millis, f *flow, p *pendingFlow, sc *sidecar, full bool, reason relay.Reason) {
	if len(p.attempted) < maxAttempts {
		if sc != nil {
			outcome := OutcomePlaced
			if len(p.attempted) > 0 {
				outcome = OutcomeMovedOn
			}
			p.attempted = append(p.attempted, sc.address)
			p.outstanding++
			p.attemptedAt, p.deadline = now, now+b.responseTimes.timeout()
			heap.Push(&b.attempts, attempt{flow: p, deadline: p.deadline})
			sc.backlog.Place(now)
			b.recordPaced(now, sc)
			p.queue.queue.Offered(now, p.pastGoal(now))
			f.owner = sc.address
			b.sendTo(sc.address, relay.Message{
				Kind: relay.KindForward, Service: p.service, LatencyGoal: p.latencyGoal, PastGoal: p.pastGoal(now), Packet: p.packet,
			})
			b.record(Event{
				Outcome: outcome, Key: p.key, Sidecar: sc.address, Reason: reason,
				Version: b.table.Version(), StateAge: now - sc.lastSeen, Attempt: len(p.attempted),
			})
			return
		}
	}
	if p.outstanding > 0 {
		return
	}
	if sc == nil && !full && b.allEvacuated(now, p.service) {
		b.refusePending(p, Event{Outcome: OutcomeEvacuated, Reason: reason})
		return
	}
	if full || (len(p.attempted) == 0 && now-p.firstSent < b.currentWaitTimeout(now, p.service)) {
		b.waitForSidecar(now, p)
		return
	}
	b.refusePending(p, Event{Outcome: OutcomeNoSidecar, Reason: reason})
}

// followTable sets the service of a pending flow by the current configuration, which may
// have replaced the one from which the flow began to wait. It returns false if there is no
// route any more.
func (b *Balancer) followTable(f *flow, p *pendingFlow) bool {
	r, ok := b.table.Lookup(p.key.Service())
	if ok {
		f.service = r.Service(p.key)
		if p.service != f.service {
			p.service, p.queue = f.service, b.queueOf(f.service)
		}
	}
	return ok
}

// refusePending removes a pending flow that no upstream can have accepted, and refuses
// it.
func (b *Balancer) refusePending(p *pendingFlow, e Event) {
	delete(b.flows, p.key)
	e.Key, e.Version, e.Attempt = p.key, b.table.Version(), len(p.attempted)
	b.refuse(p.key, p.retransmissions, e)
}

// currentWaitTimeout returns how long a pending flow waits while its service has no
// usable sidecar.
func (b *Balancer) currentWaitTimeout(now clock.Millis, service identity.ServiceID) clock.Millis {
	if b.config.AllReported() && !b.awaitsHeartbeat(now, service) {
		return waitTimeout
	}
	return startupWaitTimeout
}

// awaitsHeartbeat reports whether an upstream of a service has probably started but not
// sent its first heartbeat yet, without which its sidecar accepts no flow. A sidecar that
// starts before its upstream reports that it has departed, so that none may be known.
func (b *Balancer) awaitsHeartbeat(now clock.Millis, service identity.ServiceID) bool {
	if len(b.services[service]) == 0 {
		return b.config.Starting()
	}
	return slices.ContainsFunc(b.services[service], func(sc *sidecar) bool { return sc.awaitsHeartbeat(now) })
}

// openTimeout returns how long a client waits for a flow to open. timeout is the
// route's request timeout; 0 means unknown.
func openTimeout(timeout clock.Millis) clock.Millis {
	if timeout <= 0 {
		return maxOpenTimeout
	}
	return min(timeout, maxOpenTimeout)
}

// requestAge returns how long ago a client first sent a request that it has
// retransmitted the given number of times.
func requestAge(retransmissions uint32) clock.Millis {
	return retransmitTimes[min(int(retransmissions), len(retransmitTimes)-1)]
}

// waitForSidecar lets a pending flow wait until a sidecar can take it. sweepWaiting ends
// the wait if it becomes too long.
func (b *Balancer) waitForSidecar(now clock.Millis, p *pendingFlow) {
	if !p.waitRecorded {
		b.record(Event{Outcome: OutcomeWaiting, Key: p.key, Version: b.table.Version()})
	}
	p.waitRecorded = true
	b.enqueue(now, p)
}

// refuse records the refusal of a new flow that no upstream can have accepted from this
// balancer, and sends the client a reset. It sends none after a retransmission, because
// another balancer may have placed the flow, and none before there is a configuration.
func (b *Balancer) refuse(key segment.Key, retransmissions uint32, e Event) {
	b.record(e)
	if retransmissions > 0 || b.table == nil {
		return
	}
	e.Outcome = OutcomeReset
	b.record(e)
	b.config.ToClient(key.Client().Addr(), b.config.Reset(key, 0))
}

func (b *Balancer) handleAccepted(now clock.Millis, from netip.AddrPort, key segment.Key) {
	if sc := b.sidecars[from]; sc != nil {
		sc.pace.refusals = 0
	}
	f := b.flows[key]
	if f == nil || f.accepted {
		return
	}
	f.lastSeen = now
	f.owner, f.accepted, f.acceptedAt = from, true, now
	if p := f.pending; p != nil && len(p.attempted) == 1 {
		// After more than one attempt it is unknown which of them the response
		// belongs to, and so how long it took.
		b.responseTimes.observe(now - p.attemptedAt)
	}
	if p := f.pending; p != nil {
		p.queue.queue.Accepted(now, p.pastGoal(now))
	}
	f.pending = nil
	b.record(Event{Outcome: OutcomeAccepted, Key: key, Sidecar: from})
}

func (b *Balancer) handleRefused(now clock.Millis, from netip.AddrPort, m relay.Message) {
	f := b.flows[m.Key]
	if f == nil || f.pending == nil || f.accepted {
		return
	}
	p := f.pending
	if !slices.Contains(p.attempted, from) {
		return
	}
	p.outstanding--
	if sc := b.sidecars[from]; sc != nil && m.Reason == relay.ReasonBusy && !b.config.Starting() {
		// After a start of all hosts, sidecars refuse often until they have learned the work of
		// their upstreams. A limited rate would then keep the queue of that time waiting.
		p.queue.queue.Refused(now, p.pastGoal(now))
	}
	if sc := b.sidecars[from]; sc != nil && b.allowRetry(now, sc, p, m.Reason) {
		p.attempted = slices.DeleteFunc(p.attempted, func(a netip.AddrPort) bool { return a == from })
	}
	if sc := b.sidecars[from]; sc != nil && m.Reason == relay.ReasonEvacuated {
		// It does not count towards maxAttempts, because all sidecars of a data centre refuse.
		sc.markEvacuated()
		p.attempted = slices.DeleteFunc(p.attempted, func(a netip.AddrPort) bool { return a == from })
	}
	b.admit(now, f, p, m.Reason)
}

// retryPending tries to place the waiting flows, and places each flow whose response
// is overdue on another sidecar.
func (b *Balancer) retryPending(now clock.Millis) {
	b.retryWaiting(now)
	for len(b.attempts) > 0 {
		a := b.attempts[0]
		p := a.flow
		f := b.flows[p.key]
		current := f != nil && f.pending == p && a.deadline == p.deadline
		if current && a.deadline > now {
			return
		}
		heap.Pop(&b.attempts)
		if !current {
			continue
		}
		if p.expired(now) {
			f.pending = nil
			continue
		}
		last := p.attempted[len(p.attempted)-1]
		if sc := b.sidecars[last]; sc != nil {
			sc.markUnresponsive(now)
		}
		b.record(Event{Outcome: OutcomeTimedOut, Key: p.key, Sidecar: last, Attempt: len(p.attempted)})
		b.place(now, f, p, 0)
	}
}
