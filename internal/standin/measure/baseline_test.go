package measure

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
)

// routingPolicy is how the sidecar of a datagram is selected.
type routingPolicy uint8

const (
	// routeReal uses routing.Router, client.Dispatcher and client.Placement.
	routeReal routingPolicy = iota
	// routeHash uses the hash of the client address modulo the number of members.
	routeHash
	// routeRoundRobin selects the members in turn for new flows, and the balancer keeps
	// the choice for each flow. The fabric is assumed to keep a flow on one balancer.
	routeRoundRobin
)

// admissionPolicy is how the request that gets a free slot is selected.
type admissionPolicy uint8

const (
	// admitReal uses admission.Controller and hands off to siblings.
	admitReal admissionPolicy = iota
	// admitFIFO uses one queue for each upstream. It serves requests in order of arrival.
	admitFIFO
	// admitPriority uses one queue for each upstream. It serves the most urgent kind
	// first.
	admitPriority
	// admitCentral uses one queue for all upstreams. The queue has complete and
	// immediate information, which no real system has. It shows what is attainable.
	admitCentral
)

type policy struct {
	name      string
	routing   routingPolicy
	admission admissionPolicy
}

func policies() []policy {
	return []policy{
		{"orioledyke", routeReal, admitReal},
		{"address-hash", routeHash, admitFIFO},
		{"round-robin", routeRoundRobin, admitFIFO},
		{"shared-queue", routeReal, admitFIFO},
		{"strict-priority", routeReal, admitPriority},
		{"central-queue", routeReal, admitCentral},
	}
}

// admissionGate decides on the requests of one sidecar. Its functions correspond
// to the methods of admission.Controller.
type admissionGate struct {
	admit    func(admission.Request, clock.Millis) []admission.Action
	complete func(admission.ID, clock.Millis) []admission.Action
	abandon  func(admission.ID, clock.Millis) []admission.Action
	tick     func(clock.Millis) []admission.Action
	drain    func(clock.Millis) []admission.Action
	inUse    func() int
	queued   func() int
}

func newAdmissionGate(p admissionPolicy, offered []workload) admissionGate {
	if p == admitReal {
		config := admission.Config{Slots: slotsPerUpstream, Streams: 1 << 20}
		for _, w := range offered {
			config.Kinds = append(config.Kinds, w.kind)
		}
		c := admission.New(config, 0)
		return admissionGate{admit: c.Admit, complete: c.Complete, abandon: c.Abandon, tick: c.Tick, drain: c.Drain, inUse: c.InUse, queued: c.Queued}
	}
	q := &priorityQueue{urgency: map[string]int{}}
	if p == admitPriority {
		for _, w := range offered {
			q.urgency[w.kind.Name] = w.kind.Urgency
		}
	}
	return admissionGate{
		admit: q.admit, complete: q.complete, abandon: q.complete, tick: q.dropExpired, drain: q.dropExpired,
		inUse: func() int { return q.slotsInUse }, queued: func() int { return len(q.waiting) },
	}
}

// priorityQueue serves the requests with the highest urgency first, and requests of
// equal urgency in order of arrival. Without urgencies it serves all requests in order
// of arrival. A request that is still waiting at its deadline is refused.
type priorityQueue struct {
	urgency    map[string]int
	slotsInUse int
	waiting    []admission.Request
}

func (q *priorityQueue) admit(r admission.Request, _ clock.Millis) []admission.Action {
	if q.slotsInUse < slotsPerUpstream {
		q.slotsInUse++
		return []admission.Action{{Type: admission.Start, ID: r.ID}}
	}
	q.waiting = append(q.waiting, r)
	return []admission.Action{{Type: admission.Queue, ID: r.ID}}
}

func (q *priorityQueue) complete(_ admission.ID, now clock.Millis) []admission.Action {
	q.slotsInUse--
	actions := q.dropExpired(now)
	if len(q.waiting) == 0 {
		return actions
	}
	best := 0
	for i, r := range q.waiting {
		if q.urgency[r.Kind] > q.urgency[q.waiting[best].Kind] {
			best = i
		}
	}
	q.slotsInUse++
	actions = append(actions, admission.Action{Type: admission.Start, ID: q.waiting[best].ID})
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return actions
}

// dropExpired refuses the waiting requests whose deadlines have passed.
func (q *priorityQueue) dropExpired(now clock.Millis) []admission.Action {
	var actions []admission.Action
	q.waiting = slices.DeleteFunc(q.waiting, func(r admission.Request) bool {
		if now < r.Deadline {
			return false
		}
		actions = append(actions, admission.Action{Type: admission.Refuse, ID: r.ID})
		return true
	})
	return actions
}

// centralQueue assigns each request, in order of arrival, to the upstream with the
// fewest slots in use. Among equals it prefers the one with the least slot time in the
// current usage window. A request that reaches the front after its deadline is dropped.
type centralQueue struct {
	sim     *simulation
	waiting []*request
}

func (q *centralQueue) receive(r *request) {
	q.waiting = append(q.waiting, r)
	q.dispatch()
}

func (q *centralQueue) dispatch() {
	for len(q.waiting) > 0 {
		var best *sidecar
		for _, s := range q.sim.sidecars {
			if !s.takesWork() || s.slotsInUse >= slotsPerUpstream {
				continue
			}
			if best == nil || s.slotsInUse < best.slotsInUse || s.slotsInUse == best.slotsInUse && s.currentUsage() < best.currentUsage() {
				best = s
			}
		}
		if best == nil {
			return
		}
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		if q.sim.time < r.deadline {
			best.serve(r, func(bool) { q.dispatch() })
		}
	}
}
