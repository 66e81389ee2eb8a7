package fuzz_test

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// settleTime after a fault covers what section 4 needs to repair it: the
	// declaration of a dead member (3.5 s) and the longest backoff before a peer is
	// tried again (15 s).
	settleTime = 20 * clock.Second
	// leaverLimit and contractLimit are the figures of invariants 6 and 8.
	leaverLimit   = 3 * clock.Second
	contractLimit = 4 * clock.Second
	// knownTime is how long after its start a sidecar may be unknown to some
	// balancers and siblings: state, heartbeats and dissemination.
	knownTime = 4 * clock.Second
)

// oracle judges what clients, upstreams and operators see by the invariants of
// section 2. It keeps the first violation.
type oracle struct {
	w         *world
	violation string
	invariant int
	// runs and refused count by ticket, or by attempt without one.
	runs      map[any]int
	refused   map[any]bool
	orderRuns map[*order]int
	history   map[string][]revision
	applying  map[*process]map[string]uint64
	// counts of what was checked.
	packets, checkedPackets, requests, runCount, notRunCount, commits int
}

type revision struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change-id"`
	at       clock.Millis
}

func newOracle(w *world) *oracle {
	return &oracle{
		w: w, runs: map[any]int{}, refused: map[any]bool{}, orderRuns: map[*order]int{},
		history: map[string][]revision{}, applying: map[*process]map[string]uint64{},
	}
}

func (o *oracle) fail(invariant int, format string, args ...any) {
	if o.violation == "" {
		o.invariant = invariant
		o.violation = fmt.Sprintf("invariant %d at %d ms: ", invariant, o.w.now) + fmt.Sprintf(format, args...)
	}
}

// served reports whether packets of clients reach p by the page: network and p
// had no fault lately, and some balancer is ready.
func (o *oracle) served(p *process) bool {
	w := o.w
	if !p.running || w.networkFaulty() || w.now-max(w.networkFault, p.faulted) < settleTime {
		return false
	}
	for _, b := range w.live(true) {
		if b.ready >= 0 && w.now-b.ready >= idleTimeout && w.now-b.faulted >= settleTime {
			return true
		}
	}
	return false
}

// sent checks invariant 1 for one packet. A packet may be lost after a fault of the
// network, a balancer or its owner, and while its owner is new, because a sibling
// that does not know the owner of a relayed datagram drops it (section 3).
func (o *oracle) sent(m *message, b *process) {
	f := m.flow
	if m.kind == messageInitial || m.service != f.service {
		return
	}
	o.packets++
	known := f.owner.serving >= 0 && o.w.now-f.owner.serving >= knownTime
	if !known || !o.connected() || o.w.now-f.owner.faulted < settleTime {
		return
	}
	o.checkedPackets++
	o.w.schedule(deliveryTime, nil, func() {
		if !m.delivered && f.state == flowOpen && f.owner.running && o.connected() && o.w.now-f.owner.faulted >= settleTime {
			o.fail(1, "a packet of flow %d through %s did not reach its owner %s", f.id, b, f.owner)
		}
	})
}

// broken checks invariant 1 for a flow whose client gave up. It holds while the
// owner runs and is reachable: the page lets flows break with their owner.
func (o *oracle) broken(f *flow) {
	if o.served(f.owner) {
		o.fail(1, "flow %d broke although its owner %s is reachable", f.id, f.owner)
	}
}

// entered checks invariant 2. The address to which a client sent a packet tells
// the service for which it is (section 3).
func (o *oracle) entered(p *process, m *message) {
	if p.service != m.service {
		o.fail(2, "a packet of flow %d for %s entered %s of %s", m.flow.id, services[m.service], p, services[p.service])
	}
}

// accepted checks invariant 6 for flows. A flow that began before the limit may
// still end its handshake; without a reachable sibling nobody else could take it.
func (o *oracle) accepted(p *process, f *flow) {
	if p.leaving && f.began > p.left+leaverLimit && o.siblingServes(p) {
		o.fail(6, "%s, which leaves since %d ms, got flow %d", p, p.left, f.id)
	}
}

// siblingServes reports whether a sibling was able to tell its load since before
// the limit.
func (o *oracle) siblingServes(p *process) bool {
	w := o.w
	if w.networkFaulty() || w.now-max(w.networkFault, w.controlFault, p.faulted) < settleTime {
		return false
	}
	for _, q := range w.live(false) {
		if q != p && q.service == p.service && !q.leaving && q.serving >= 0 &&
			w.now-q.serving >= 2*knownTime && w.now-q.faulted >= settleTime {
			return true
		}
	}
	return false
}

// stopped checks invariants 1 and 7 at the end of a planned stop.
func (o *oracle) stopped(p *process) {
	if open := p.openStreams(); len(open) > 0 {
		o.fail(1, "%s stopped while stream %d was open", p, open[0].id)
	}
	if p.active > 0 || p.unanswered() > 0 {
		o.fail(7, "%s stopped with %d requests in progress and %d responses on their way", p, p.active, p.unanswered())
	}
}

func key(a *attempt) any {
	if a.token != "" {
		return a.token
	}
	return a
}

// ran checks invariants 4, 5 and 6 when an upstream starts work.
func (o *oracle) ran(p *process, e *exchange) {
	a := e.attempt
	o.runCount++
	if p.leaving && e.arrived > p.left+leaverLimit {
		o.fail(6, "%s, which leaves since %d ms, ran a request that arrived at %d ms", p, p.left, e.arrived)
	}
	o.runs[key(a)]++
	o.orderRuns[a.order]++
	if o.refused[key(a)] {
		o.fail(4, "order %d ran at %s after it was refused as not run", a.order.id, p)
	}
	if !a.order.booking {
		return
	}
	if a.token == "" {
		o.fail(5, "booking %d ran without a ticket", a.order.id)
	}
	if o.runs[key(a)] > 1 || o.orderRuns[a.order] > 1 {
		o.fail(5, "booking %d ran %d times, its ticket %d times", a.order.id, o.orderRuns[a.order], o.runs[key(a)])
	}
}

// replied checks invariant 4 when a sidecar answers a client.
func (o *oracle) replied(p *process, a *attempt, got answer) {
	if !got.notRun {
		return
	}
	o.notRunCount++
	o.refused[key(a)] = true
	if o.runs[key(a)] > 0 {
		o.fail(4, "%s refused order %d as not run after it ran", p, a.order.id)
	}
}

// response checks invariant 3: the answer is what an upstream made of the very
// request. An unknown outcome is no answer.
func (o *oracle) response(a *attempt, got *answer) {
	o.requests++
	if got.status == http.StatusOK && got.echo != a.order.body {
		o.fail(3, "the answer to %q was made for %q", a.order.body, got.echo)
	}
}

// unanswered checks invariants 3 and 7 for a client that gave up waiting. A
// sidecar that cannot be reached cannot answer.
func (o *oracle) unanswered(a *attempt) {
	p := a.flow.owner
	if a.flow.state != flowOpen || !o.served(p) || !o.connected() {
		return
	}
	if o.w.stopped >= a.began {
		o.fail(7, "order %d at %s got no answer; a planned stop ended or began at %d ms", a.order.id, p, o.w.stopped)
	}
	o.fail(3, "order %d at %s got no answer", a.order.id, p)
}

// committed checks that the platform's revisions rise, and starts the check of
// invariant 8.
func (o *oracle) committed(name string, value []byte) {
	next := revision{at: o.w.now}
	if err := json.Unmarshal(value, &next); err != nil {
		o.fail(8, "stored contract: %v", err)
		return
	}
	if want := uint64(len(o.history[name]) + 1); next.Revision != want {
		o.fail(8, "the platform accepted revision %d of %s after %d", next.Revision, name, want-1)
	}
	o.commits++
	o.history[name] = append(o.history[name], next)
	calm := o.connected()
	o.w.schedule(contractLimit, nil, func() {
		if calm && o.connected() {
			o.inEffect(name, next, o.w.now-contractLimit)
		}
	})
}

// connected reports whether the overlay and the platform work: a balancer that
// was cut off, or whose neighbour or reader died, hears of a contract later.
func (o *oracle) connected() bool {
	w := o.w
	return !w.networkFaulty() && !w.platform.outage && w.now-max(w.networkFault, w.controlFault) >= settleTime
}

// inEffect checks invariant 8 at the balancers that were ready at the given time.
func (o *oracle) inEffect(name string, want revision, since clock.Millis) {
	for _, b := range o.w.live(true) {
		if b.ready >= 0 && b.ready <= since && o.applying[b][name] < want.Revision {
			o.fail(8, "%s has revision %d of %s, accepted was %d at %d ms", b, o.applying[b][name], name, want.Revision, want.at)
		}
	}
}

// becameReady checks invariant 8 at a balancer that joined: clients reach it from
// now on.
func (o *oracle) becameReady(b *process) {
	if !o.connected() {
		return
	}
	for _, name := range written {
		for _, r := range o.history[name] {
			if r.at <= o.w.now-contractLimit && o.applying[b][name] < r.Revision {
				o.fail(8, "%s is ready with revision %d of %s, accepted was %d at %d ms", b, o.applying[b][name], name, r.Revision, r.at)
			}
		}
	}
}

// applied checks that a process never reverts and has in effect what was accepted.
func (o *oracle) applied(p *process, name string, number uint64, changeID string) {
	if o.applying[p] == nil {
		o.applying[p] = map[string]uint64{}
	}
	if held := o.applying[p][name]; number < held {
		o.fail(8, "%s reverted %s from revision %d to %d", p, name, held, number)
	}
	o.applying[p][name] = number
	h := o.history[name]
	if number == 0 || number > uint64(len(h)) || h[number-1].ChangeID != changeID {
		o.fail(8, "%s applied revision %d of %s, change %s, which was not accepted", p, number, name, changeID)
	}
}

// reported checks what an operator was told: "written" is in the history, and
// anything else is not. An uncertain outcome tells nothing.
func (o *oracle) reported(name string, number uint64, changeID string, err error) {
	if err != nil {
		return
	}
	h := o.history[name]
	if number == 0 || number > uint64(len(h)) || h[number-1].ChangeID != changeID {
		o.fail(8, "an operator was told that revision %d of %s (%s) was written", number, name, changeID)
	}
}

// settled checks the state after all faults have ended for long enough.
func (o *oracle) settled() {
	for _, name := range written {
		if h := o.history[name]; len(h) > 0 {
			o.inEffect(name, h[len(h)-1], o.w.now-settleTime)
		}
	}
	for _, b := range o.w.live(true) {
		if b.ready < 0 {
			o.fail(8, "%s is not ready after faults have ended", b)
		}
	}
}
