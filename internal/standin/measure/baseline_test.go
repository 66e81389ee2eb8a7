package measure

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
)

// routingPolicy selects the sidecar of a datagram.
type routingPolicy uint8

const (
	// routeReal uses routing.Router, client.Dispatcher and client.Placement.
	routeReal routingPolicy = iota
	// routeHash takes the hash of the addresses modulo the members.
	routeHash
	// routeRoundRobin takes the members in turn and keeps the choice in the
	// balancer. The fabric is assumed to keep a flow on one balancer.
	routeRoundRobin
)

// admissionPolicy selects the request that gets a free slot.
type admissionPolicy uint8

const (
	// admitReal uses admission.Controller and hands off to siblings.
	admitReal admissionPolicy = iota
	// admitFirst is one queue of each upstream, first come, first served.
	admitFirst
	// admitPriority takes the most urgent kind first.
	admitPriority
	// admitCentral is one queue of all upstreams with full and instant knowledge,
	// which no system has. It shows what is attainable.
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
		{"address-hash", routeHash, admitFirst},
		{"round-robin", routeRoundRobin, admitFirst},
		{"shared-queue", routeReal, admitFirst},
		{"strict-priority", routeReal, admitPriority},
		{"central-queue", routeReal, admitCentral},
	}
}

// gate decides about the requests of one sidecar.
type gate struct {
	admit    func(admission.Request, clock.Millis) []admission.Action
	complete func(admission.ID, clock.Millis) []admission.Action
	abandon  func(admission.ID, clock.Millis) []admission.Action
	tick     func(clock.Millis) []admission.Action
	drain    func(clock.Millis) []admission.Action
	inUse    func() int
	queued   func() int
}

func newGate(p admissionPolicy, kinds []work) gate {
	if p == admitReal {
		config := admission.Config{Slots: slotsPerUpstream, Streams: 1 << 20}
		for _, k := range kinds {
			config.Kinds = append(config.Kinds, k.kind)
		}
		c := admission.New(config, 0)
		return gate{admit: c.Admit, complete: c.Complete, abandon: c.Abandon, tick: c.Tick, drain: c.Drain, inUse: c.InUse, queued: c.Queued}
	}
	plain := &plainQueue{urgency: map[string]int{}}
	if p == admitPriority {
		for _, k := range kinds {
			plain.urgency[k.kind.Name] = k.kind.Urgency
		}
	}
	return gate{
		admit: plain.admit, complete: plain.complete, abandon: plain.complete, tick: plain.dropLate, drain: plain.dropLate,
		inUse: func() int { return plain.running }, queued: func() int { return len(plain.waiting) },
	}
}

// plainQueue serves the requests with the highest urgency first and those of one
// urgency in order of arrival. Without urgencies it is a plain queue. Requests
// wait until their deadlines.
type plainQueue struct {
	urgency map[string]int
	running int
	waiting []admission.Request
}

func (q *plainQueue) admit(r admission.Request, _ clock.Millis) []admission.Action {
	if q.running < slotsPerUpstream {
		q.running++
		return []admission.Action{{Type: admission.Start, ID: r.ID}}
	}
	q.waiting = append(q.waiting, r)
	return []admission.Action{{Type: admission.Queue, ID: r.ID}}
}

func (q *plainQueue) complete(_ admission.ID, now clock.Millis) []admission.Action {
	q.running--
	actions := q.dropLate(now)
	if len(q.waiting) == 0 {
		return actions
	}
	best := 0
	for i, r := range q.waiting {
		if q.urgency[r.Kind] > q.urgency[q.waiting[best].Kind] {
			best = i
		}
	}
	q.running++
	actions = append(actions, admission.Action{Type: admission.Start, ID: q.waiting[best].ID})
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return actions
}

func (q *plainQueue) dropLate(now clock.Millis) []admission.Action {
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

// centralQueue gives each request to the upstream with the fewest slots in use.
type centralQueue struct {
	world   *world
	waiting []*request
}

func (q *centralQueue) receive(r *request) {
	q.waiting = append(q.waiting, r)
	q.dispatch()
}

func (q *centralQueue) dispatch() {
	for len(q.waiting) > 0 {
		var best *sidecar
		for _, s := range q.world.sidecars {
			if !s.takesWork() || s.running >= slotsPerUpstream {
				continue
			}
			if best == nil || s.running < best.running || s.running == best.running && s.usedNow() < best.usedNow() {
				best = s
			}
		}
		if best == nil {
			return
		}
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		if q.world.time < r.deadline {
			best.serve(r, func(bool) { q.dispatch() })
		}
	}
}
