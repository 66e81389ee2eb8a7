package worktime

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// A request is overdue if it has run for several times as long as usual: meanPatience
	// means, and tailPatience times what all but 1% take, whichever is longer. The bounds
	// cover pauses of a host, and the time after which a request is given up.
	meanPatience                  = 4
	tailPatience                  = 2
	patienceQuantile              = 0.99
	minPatience      clock.Millis = 100
	maxPatience                   = 5 * clock.Second
	// maxScheduled bounds the work to predict the wait for a slot. With more requests or
	// slots, the work is assumed to be divisible among the slots.
	maxScheduled = 512
)

// Request is a request in progress at the upstream.
type Request struct {
	address netip.AddrPort
	// arrivedAt is when the last packet of the request arrived. startedAt is when the
	// upstream began to work on it, as far as can be inferred; it is set while running is.
	arrivedAt, startedAt clock.Millis
	phase                phase
	// overdue is set if the request has run for much longer than usual. It counts as failed
	// already.
	overdue bool
	// canceledUntil is when a request whose client has given up ends, if the upstream does
	// not respond. 0 means that the client waits.
	canceledUntil clock.Millis
}

// Overdue reports whether the request has run for much longer than usual.
func (r *Request) Overdue() bool { return r.overdue }

// phase is the progress of a request.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseEnded
)

// Tracker follows the requests of one upstream. It infers when the upstream began to work on
// each: at its arrival if a slot was free, otherwise when the end of another request has
// freed one, in order of arrival. So work times are also learned when every request waits:
// the busy time of all slots is divided among the requests that have ended in it. The zero
// value is a Tracker of an upstream with an unknown number of slots.
type Tracker struct {
	learner learner
	// slots is the number of requests that the upstream works on concurrently; 0 means
	// unknown, so that no request waits.
	slots int
	// running holds the requests that take a slot, and late the overdue ones. Those may take a
	// slot, or the upstream may have dropped them.
	running, late []*Request
	// waiting holds the requests that wait for a slot in order of arrival.
	waiting []*Request
	// free is a buffer of the times at which the slots become free.
	free []float64
}

// SetSlots sets the number of requests that the upstream works on concurrently. 0 means
// unknown. A higher number takes effect for waiting requests when the next one ends.
func (t *Tracker) SetSlots(slots int) { t.slots = max(slots, 0) }

// SetGoal sets the latency goal of a new flow, from which a work time is assumed until one
// has been measured.
func (t *Tracker) SetGoal(goal clock.Millis) { t.learner.goal = goal }

// Active returns the number of requests in progress.
func (t *Tracker) Active() int { return len(t.running) + len(t.late) + len(t.waiting) }

// Begin adds a request whose last packet has arrived.
func (t *Tracker) Begin(now clock.Millis, address netip.AddrPort) *Request {
	r := &Request{address: address, arrivedAt: now}
	t.enqueue(now, r)
	return r
}

// Restart moves the arrival of a request to now, because a further packet of it has arrived.
func (t *Tracker) Restart(now clock.Millis, r *Request) {
	if r.phase == phaseEnded || r.overdue {
		return
	}
	t.remove(r)
	r.arrivedAt = now
	t.enqueue(now, r)
	t.startWaiting(now)
}

// End removes a request. learn is set if its work time is one of a request that was served.
func (t *Tracker) End(now clock.Millis, r *Request, learn bool) {
	if r.phase == phaseEnded {
		return
	}
	started := r.startedAt
	if r.phase == phaseWaiting {
		started = r.arrivedAt
		if learn {
			started = t.swap(now, r)
		}
	}
	t.remove(r)
	r.phase = phaseEnded
	if learn {
		t.learner.learn(now, started, r.address)
	}
	t.startWaiting(now)
}

// Cancel records that the client of a request has given up. The upstream may still work on
// it for as long as such requests usually take; it drops one that waits.
func (t *Tracker) Cancel(now clock.Millis, r *Request) {
	if r.phase != phaseRunning || r.overdue {
		t.End(now, r, false)
		return
	}
	r.canceledUntil = now + 1 + clock.Millis(t.remaining(now, r))
}

// Drop removes a request whose flow is forgotten.
func (t *Tracker) Drop(r *Request) {
	t.remove(r)
	r.phase = phaseEnded
}

// Reset drops all requests. The next incarnation of the upstream is learned anew soon, but
// until then its work times are assumed to be those of the last one.
func (t *Tracker) Reset() {
	*t = Tracker{learner: t.learner, slots: t.slots, free: t.free}
	t.learner.forget()
}

// Expire removes canceled requests that have ended by now, and returns those that have become
// overdue since the last call.
func (t *Tracker) Expire(now clock.Millis) []*Request {
	var overdue []*Request
	for _, r := range slices.Clone(t.running) {
		switch {
		case r.canceledUntil != 0 && now >= r.canceledUntil:
			t.End(now, r, false)
		case r.canceledUntil == 0 && now-r.startedAt > t.patience(r.address):
			overdue = append(overdue, r)
			t.remove(r)
			r.overdue = true
			t.late = append(t.late, r)
		}
	}
	t.startWaiting(now)
	return overdue
}

// patience returns the time after which a request to an address is overdue.
func (t *Tracker) patience(address netip.AddrPort) clock.Millis {
	d, prior := t.learner.known(address)
	usual := max(meanPatience*d.mean(prior), tailPatience*d.quantile(patienceQuantile))
	return min(max(clock.Millis(usual), minPatience), maxPatience)
}

// ServiceTime returns the expected time of one more request in milliseconds, without waiting.
func (t *Tracker) ServiceTime() float64 { return t.learner.serviceTime() }

// Learned reports whether enough requests have ended for ServiceTime to rest on them. An
// upstream that gets few flows because of an assumed time would never correct it.
func (t *Tracker) Learned() bool { return t.learner.all.weight+t.learner.all.held >= shiftedWeight }

// TakeChange returns the factor by which work times have changed at once since the last call.
// It returns false if they have not.
func (t *Tracker) TakeChange() (factor float64, changed bool) {
	factor = t.learner.untold
	t.learner.untold = 0
	return factor, factor != 0
}

// Costs returns the learned work times in order of address.
func (t *Tracker) Costs() []Cost { return t.learner.costs() }

// Remaining returns the expected remaining work of all requests in progress and of a number
// of expected ones, summed over the slots, in milliseconds.
func (t *Tracker) Remaining(now clock.Millis, expected int) float64 {
	sum := float64(expected) * t.ServiceTime()
	t.each(now, func(remaining float64) { sum += remaining })
	return sum
}

// Completion returns the time in milliseconds after which one more request to an address
// would end if it arrived after the expected ones.
func (t *Tracker) Completion(now clock.Millis, expected int, address netip.AddrPort) float64 {
	own := t.learner.workTime(address)
	if t.slots == 0 {
		return own
	}
	if t.Active()+expected > maxScheduled || t.slots > maxScheduled {
		return t.Remaining(now, expected)/float64(t.slots) + own
	}
	t.free = append(t.free[:0], make([]float64, t.slots)...)
	t.each(now, t.occupy)
	for range expected {
		t.occupy(t.ServiceTime())
	}
	return slices.Min(t.free) + own
}

// occupy adds work in milliseconds to the slot that is free first.
func (t *Tracker) occupy(work float64) {
	first := 0
	for i, free := range t.free {
		if free < t.free[first] {
			first = i
		}
	}
	t.free[first] += work
}

// each calls use with the expected remaining time of each request in milliseconds, in the
// order in which they take slots.
func (t *Tracker) each(now clock.Millis, use func(remaining float64)) {
	for _, r := range t.running {
		use(t.remaining(now, r))
	}
	for _, r := range t.late {
		use(t.remaining(now, r))
	}
	for _, r := range t.waiting {
		use(t.learner.workTime(r.address))
	}
}

// remaining returns the expected remaining time of a running request in milliseconds.
func (t *Tracker) remaining(now clock.Millis, r *Request) float64 {
	return t.learner.remaining(r.address, now-r.startedAt)
}

func (t *Tracker) enqueue(now clock.Millis, r *Request) {
	if t.hasFreeSlot() {
		t.start(now, r)
		return
	}
	r.phase = phaseWaiting
	t.waiting = append(t.waiting, r)
}

func (t *Tracker) hasFreeSlot() bool { return t.slots == 0 || len(t.running) < t.slots }

func (t *Tracker) start(now clock.Millis, r *Request) {
	r.phase, r.startedAt = phaseRunning, now
	t.running = append(t.running, r)
}

// startWaiting starts the requests that have waited longest as long as a slot is free.
func (t *Tracker) startWaiting(now clock.Millis) {
	for len(t.waiting) > 0 && t.hasFreeSlot() {
		r := t.waiting[0]
		t.waiting[0] = nil
		t.waiting = t.waiting[1:]
		t.start(now, r)
	}
}

// swap returns when the upstream began to work on a request that seems to wait but has been
// served. The upstream does not work in order of arrival, so another request waits in its
// place: the one whose start is the earliest since the arrival of the served one. That one
// takes the place of the served one among the waiting requests. If there is none, the upstream
// had a free slot.
func (t *Tracker) swap(now clock.Millis, served *Request) (started clock.Millis) {
	var other *Request
	for _, r := range t.running {
		if r.startedAt >= served.arrivedAt && r.canceledUntil == 0 && (other == nil || r.startedAt < other.startedAt) {
			other = r
		}
	}
	if other == nil {
		return served.arrivedAt
	}
	started, other.startedAt = other.startedAt, now
	return started
}

// remove removes a request from the list that holds it.
func (t *Tracker) remove(r *Request) {
	same := func(other *Request) bool { return other == r }
	switch {
	case r.phase == phaseWaiting:
		t.waiting = slices.DeleteFunc(t.waiting, same)
	case r.overdue:
		t.late = slices.DeleteFunc(t.late, same)
	case r.phase == phaseRunning:
		t.running = slices.DeleteFunc(t.running, same)
	}
}
