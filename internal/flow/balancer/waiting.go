package balancer

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/admission"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
)

// retransmitMargin is how much earlier or later than its usual time a transmission may
// arrive.
const retransmitMargin clock.Millis = 50

// serviceQueue holds the pending flows of one service that no sidecar can take now.
type serviceQueue struct {
	service identity.ServiceID
	queue   admission.Queue[*pendingFlow]
	// mostUrgent is the most urgent priority of the routes to the service.
	mostUrgent int
	// listed is set while the queue is one of Balancer.waitingQueues.
	listed bool
	// nextLook is when waiting flows are offered again, and nextSweep when those are removed
	// whose wait has ended. Until fullUntil, no sidecar has room for any flow unless a
	// message of one says so.
	nextLook, nextSweep, fullUntil clock.Millis
}

// queueOf returns the queue of a service.
func (b *Balancer) queueOf(service identity.ServiceID) *serviceQueue {
	q := b.queues[service]
	if q == nil {
		q = &serviceQueue{service: service, mostUrgent: b.mostUrgent[service]}
		b.queues[service] = q
	}
	return q
}

// admissionFlow returns what package admission knows of a pending flow.
func (p *pendingFlow) admissionFlow() admission.Flow {
	return admission.Flow{Priority: p.priority, FirstSent: p.firstSent, Goal: p.latencyGoal, GiveUp: p.firstSent + p.openTimeout}
}

// admit places a pending flow, unless others wait for the same service. Then it joins them.
// reason is why the last sidecar refused the flow; 0 means that it did not.
func (b *Balancer) admit(now clock.Millis, f *flow, p *pendingFlow, reason relay.Reason) {
	q := p.queue
	if q.queue.Len() == 0 || p.outstanding > 0 || len(p.attempted) > 0 || b.allEvacuated(now, p.service) {
		b.place(now, f, p, reason)
		return
	}
	b.waitForSidecar(now, p)
	if now >= q.fullUntil {
		b.look(now, q)
	}
}

// enqueue adds a pending flow to the waiting flows.
func (b *Balancer) enqueue(now clock.Millis, p *pendingFlow) {
	p.waiting, p.deadline = true, 0
	q := p.queue
	if q.queue.Len() == 0 {
		q.nextLook, q.nextSweep = min(b.roomAt, now+waitPollInterval), now+waitPollInterval
	}
	q.queue.Add(p.admissionFlow(), p)
	if !q.listed {
		q.listed = true
		b.waitingQueues = append(b.waitingQueues, q)
	}
	b.scheduleLook(q.nextLook)
}

// scheduleLook makes sure that waiting flows are looked at by the given time.
func (b *Balancer) scheduleLook(at clock.Millis) {
	if b.nextLook == 0 || at < b.nextLook {
		b.nextLook = at
	}
}

// offerRoom tries to place waiting flows because a message of a sidecar shows that it may
// have room for them.
func (b *Balancer) offerRoom(now clock.Millis, sc *sidecar) {
	q := b.queues[sc.report.Service]
	if q == nil || q.queue.Len() == 0 || !sc.usable(now) || now < sc.busyUntil {
		return
	}
	q.queue.BeginRound()
	if p, _, ok := q.queue.First(now); ok && b.roomFor(now, sc, p) <= now {
		b.look(now, q)
	}
}

// roomFor returns when a pending flow may be offered to a sidecar.
func (b *Balancer) roomFor(now clock.Millis, sc *sidecar, p *pendingFlow) clock.Millis {
	urgent := p.owed || p.priority <= p.queue.mostUrgent
	limit := p.admissionFlow().Limit(now, urgent, sc.report.Slots, sc.backlog.StatedTime())
	return sc.roomAt(now, limit, p.pastGoal(now))
}

// retryWaiting tries to place the waiting flows of the services for which it is time, and
// ends the wait of others.
func (b *Balancer) retryWaiting(now clock.Millis) {
	if b.nextLook == 0 || now < b.nextLook {
		return
	}
	b.nextLook = 0
	b.startBulkFlows(now)
	if b.link.Waiting() {
		b.scheduleLook(now + waitPollInterval)
	}
	// Further queues may be appended meanwhile.
	for i := 0; i < len(b.waitingQueues); i++ {
		q := b.waitingQueues[i]
		if now >= q.nextSweep {
			q.nextSweep = now + waitPollInterval
			b.sweepWaiting(now, q)
		}
		if now >= q.nextLook && q.queue.Len() > 0 {
			b.look(now, q)
		}
		if q.queue.Len() > 0 {
			b.scheduleLook(min(q.nextLook, q.nextSweep))
		}
	}
	b.waitingQueues = slices.DeleteFunc(b.waitingQueues, func(q *serviceQueue) bool {
		q.listed = q.queue.Len() > 0
		return !q.listed
	})
}

// look offers waiting flows of one service while sidecars have room for them, in the order
// of package admission.
func (b *Balancer) look(now clock.Millis, q *serviceQueue) {
	q.nextLook = now + waitPollInterval
	q.queue.BeginRound()
	for {
		p, owed, ok := q.queue.First(now)
		if !ok {
			break
		}
		f := b.flows[p.key]
		if f == nil || f.pending != p || f.accepted {
			q.queue.Take(now, false)
			p.waiting = false
			continue
		}
		if p.expired(now) {
			q.queue.Take(now, false)
			b.expire(p)
			continue
		}
		p.owed = owed
		sc, full := b.selectSidecar(now, p)
		if sc == nil {
			q.queue.Block(now)
			if full {
				q.nextLook = min(q.nextLook, b.roomAt)
			}
			if !p.pastGoal(now) && p.priority <= p.queue.mostUrgent {
				q.fullUntil = b.roomAt
			}
			continue
		}
		q.queue.Take(now, true)
		p.waiting = false
		b.placeOn(now, f, p, sc, full, 0)
	}
	if next := q.queue.NextOffer(now); next > now {
		q.nextLook = min(q.nextLook, next)
	}
	q.nextLook = max(q.nextLook, now+1)
	if q.queue.Len() > 0 {
		b.scheduleLook(q.nextLook)
	}
}

// sweepWaiting removes the waiting flows that have ended, those whose clients have stopped
// waiting, those that wait in vain for a usable sidecar, and those that cannot be served
// before their clients give up.
func (b *Balancer) sweepWaiting(now clock.Millis, q *serviceQueue) {
	usable := b.hasUsable(now, q.service)
	q.queue.Sweep(now, func(p *pendingFlow, waiting admission.Flow, hopeless bool) bool {
		f := b.flows[p.key]
		switch {
		case f == nil || f.pending != p || f.accepted:
		case waiting.Expired(now):
			b.expire(p)
		case !usable && b.allEvacuated(now, p.service):
			b.refusePending(p, Event{Outcome: OutcomeEvacuated})
		case !usable && (len(p.attempted) > 0 || now-p.firstSent >= b.currentWaitTimeout(now, p.service)):
			b.refusePending(p, Event{Outcome: OutcomeNoSidecar})
		case hopeless && len(p.attempted) == 0 && p.receivedAll(now):
			delete(b.flows, p.key)
			b.refuse(p.key, 0, Event{Outcome: OutcomeOverloaded, Key: p.key, Version: b.table.Version()})
		default:
			return false
		}
		p.waiting = false
		return true
	})
}

// expire removes a waiting flow whose client has stopped waiting.
func (b *Balancer) expire(p *pendingFlow) {
	p.waiting = false
	delete(b.flows, p.key)
	b.record(Event{Outcome: OutcomeExpired, Key: p.key, Version: b.table.Version()})
}

// hasUsable reports whether a sidecar of a service may get new flows.
func (b *Balancer) hasUsable(now clock.Millis, service identity.ServiceID) bool {
	for _, sc := range b.services[service] {
		if sc.usable(now) {
			return true
		}
	}
	return false
}

// receivedAll reports whether this balancer has received every transmission of the request
// that the client has made, so that no other balancer can have placed the flow.
func (p *pendingFlow) receivedAll(now clock.Millis) bool {
	age := now - p.firstSent
	for i, at := range retransmitTimes {
		received := p.seen&(1<<i) != 0
		if !received && age >= at-retransmitMargin {
			return false
		}
	}
	return true
}

// requeueWaiting moves the waiting flows to the queues of their services by the current
// configuration, and refuses those that have no route any more.
func (b *Balancer) requeueWaiting(now clock.Millis) {
	for service, q := range b.queues {
		q.mostUrgent = b.mostUrgent[service]
	}
	for i := 0; i < len(b.waitingQueues); i++ {
		q := b.waitingQueues[i]
		q.queue.Sweep(now, func(p *pendingFlow, _ admission.Flow, _ bool) bool {
			f := b.flows[p.key]
			if f == nil || f.pending != p || f.accepted {
				return true
			}
			if !b.followTable(f, p) {
				b.refusePending(p, Event{Outcome: OutcomeNoRoute})
				return true
			}
			if p.service == q.service {
				return false
			}
			b.roomAt = now
			b.enqueue(now, p)
			return true
		})
	}
}

// mostUrgentPriorities returns the most urgent priority of the routes to each service.
func mostUrgentPriorities(t *route.Table) map[identity.ServiceID]int {
	priorities := map[identity.ServiceID]int{}
	for r := range t.Routes() {
		for _, target := range r.Targets {
			priority, known := priorities[target.Service]
			if !known || r.Priority < priority {
				priorities[target.Service] = r.Priority
			}
		}
	}
	return priorities
}
