package fuzz_test

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// settleTime covers what section 4 of the design needs to recover from a fault: the
	// time until a silent member is declared dead (3.5 s) and the longest backoff
	// before a reconnection attempt (15 s).
	settleTime = 20 * clock.Second
	// newWorkLimit is the time for which a leaving sidecar may get new flows and
	// requests (invariant 6).
	newWorkLimit = 3 * clock.Second
	// contractLimit is the time within which an accepted contract must be in effect
	// (invariant 8).
	contractLimit = 4 * clock.Second
	// discoveryTime is how long a new sidecar may be unknown to some balancers and
	// siblings. It covers the state change, heartbeats and dissemination.
	discoveryTime = 4 * clock.Second
)

// oracle checks what clients, upstreams and operators observe against the
// invariants of section 2 of the design. It keeps the first violation.
type oracle struct {
	sim       *simulation
	violation string
	invariant int
	// runs counts how often upstreams started a request. The keys are those of
	// attemptKey.
	runs map[any]int
	// refused marks the requests that got a "not run" response, with the same keys.
	refused map[any]bool
	// orderRuns counts the runs of each order.
	orderRuns map[*order]int
	// history holds the accepted revisions by customer. Revision n has index n-1.
	history map[string][]revision
	// appliedRevisions holds the revision that each process has in effect, by customer.
	appliedRevisions map[*process]map[string]uint64
	// The counts below appear in the summary. packets and checkedPackets count packets
	// of open flows to the address of their own service.
	packets, checkedPackets, responses, runCount, notRunCount, commits int
}

type revision struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change-id"`
	at       clock.Millis
}

func newOracle(sim *simulation) *oracle {
	return &oracle{
		sim: sim, runs: map[any]int{}, refused: map[any]bool{}, orderRuns: map[*order]int{},
		history: map[string][]revision{}, appliedRevisions: map[*process]map[string]uint64{},
	}
}

func (o *oracle) fail(invariant int, format string, args ...any) {
	if o.violation == "" {
		o.invariant = invariant
		o.violation = fmt.Sprintf("invariant %d at %d ms: ", invariant, o.sim.now) + fmt.Sprintf(format, args...)
	}
}

// reachable reports whether the design requires that packets of clients reach p. This
// is the case if the network and p had no fault for settleTime, and some balancer has
// been ready for idleTimeout and had no fault for settleTime.
func (o *oracle) reachable(p *process) bool {
	sim := o.sim
	if !p.running || sim.networkFaulty() || sim.now-max(sim.lastNetworkFault, p.lastFault) < settleTime {
		return false
	}
	for _, b := range sim.live(true) {
		if b.readyAt >= 0 && sim.now-b.readyAt >= idleTimeout && sim.now-b.lastFault >= settleTime {
			return true
		}
	}
	return false
}

// packetSent checks invariant 1 for one packet of an open flow. The check is skipped
// after a fault of the network, of a balancer, of the platform or of the owner, because
// the packet may be lost then. It is also skipped while the owner is new, because a
// sibling drops a relayed datagram whose owner it does not know (section 3 of the
// design).
func (o *oracle) packetSent(m *message, b *process) {
	f := m.flow
	if m.kind == messageInitial || m.service != f.service {
		return
	}
	o.packets++
	known := f.owner.servingAt >= 0 && o.sim.now-f.owner.servingAt >= discoveryTime
	if !known || !o.controlWorks() || o.sim.now-f.owner.lastFault < settleTime {
		return
	}
	o.checkedPackets++
	o.sim.schedule(deliveryTime, nil, func() {
		if !m.delivered && f.state == flowOpen && f.owner.running && o.controlWorks() && o.sim.now-f.owner.lastFault >= settleTime {
			o.fail(1, "a packet of flow %d through %s did not reach its owner %s", f.id, b, f.owner)
		}
	})
}

// flowTimedOut checks invariant 1 for a flow whose client reached its idle timeout.
// The check applies only while the owner is running and reachable, because the
// design permits that flows break together with their owner.
func (o *oracle) flowTimedOut(f *flow) {
	if o.reachable(f.owner) {
		o.fail(1, "flow %d broke although its owner %s is reachable", f.id, f.owner)
	}
}

// packetEntered checks invariant 2. The address to which a client sends a packet
// identifies the service (section 3 of the design).
func (o *oracle) packetEntered(p *process, m *message) {
	if p.service != m.service {
		o.fail(2, "a packet of flow %d for %s entered %s of %s", m.flow.id, services[m.service], p, services[p.service])
	}
}

// flowOffered checks invariant 6 when a new flow reaches p, even if p refuses it. A
// flow that began before the limit may still complete its handshake. The check is
// skipped if no other sidecar could accept the flow.
func (o *oracle) flowOffered(p *process, f *flow) {
	if p.leaving && f.openedAt > p.leavingSince+newWorkLimit && o.siblingServes(p) {
		o.fail(6, "%s, leaving since %d ms, got flow %d", p, p.leavingSince, f.id)
	}
}

// siblingServes reports whether a sibling of p that is not leaving has been serving for
// 2*discoveryTime, and nothing relevant had a recent fault. Such a sibling could report
// its load to p before the limit. Relevant are the network, the balancers, the platform,
// p and the sibling.
func (o *oracle) siblingServes(p *process) bool {
	sim := o.sim
	if sim.networkFaulty() || sim.now-max(sim.lastNetworkFault, sim.lastControlFault, p.lastFault) < settleTime {
		return false
	}
	for _, q := range sim.live(false) {
		if q != p && q.service == p.service && !q.leaving && q.servingAt >= 0 &&
			sim.now-q.servingAt >= 2*discoveryTime && sim.now-q.lastFault >= settleTime {
			return true
		}
	}
	return false
}

// processStopped checks invariants 1 and 7 at the end of a planned stop of a sidecar.
func (o *oracle) processStopped(p *process) {
	if open := p.openStreams(); len(open) > 0 {
		o.fail(1, "%s stopped while stream %d was open", p, open[0].id)
	}
	if p.active > 0 || p.undelivered() > 0 {
		o.fail(7, "%s stopped with %d requests in progress and %d undelivered responses", p, p.active, p.undelivered())
	}
}

// attemptKey returns the ticket of an attempt, or the attempt itself if it has none.
func attemptKey(a *attempt) any {
	if a.presentedTicket != "" {
		return a.presentedTicket
	}
	return a
}

// requestStarted checks invariants 4, 5 and 6 when an upstream starts work.
func (o *oracle) requestStarted(p *process, req *sidecarRequest) {
	a := req.attempt
	o.runCount++
	if p.leaving && req.arrived > p.leavingSince+newWorkLimit {
		o.fail(6, "%s, leaving since %d ms, ran a request that arrived at %d ms", p, p.leavingSince, req.arrived)
	}
	o.runs[attemptKey(a)]++
	o.orderRuns[a.order]++
	if o.refused[attemptKey(a)] {
		o.fail(4, "order %d ran at %s after it was refused as not run", a.order.id, p)
	}
	if !a.order.booking {
		return
	}
	if a.presentedTicket == "" {
		o.fail(5, "booking %d ran without a ticket", a.order.id)
	}
	if o.runs[attemptKey(a)] > 1 || o.orderRuns[a.order] > 1 {
		o.fail(5, "booking %d ran %d times, its ticket %d times", a.order.id, o.orderRuns[a.order], o.runs[attemptKey(a)])
	}
}

// responseSent checks invariant 4 when a sidecar responds to a client.
func (o *oracle) responseSent(p *process, a *attempt, got httpResponse) {
	if !got.notRun {
		return
	}
	o.notRunCount++
	o.refused[attemptKey(a)] = true
	if o.runs[attemptKey(a)] > 0 {
		o.fail(4, "%s refused order %d as not run after it ran", p, a.order.id)
	}
}

// responseReceived checks invariant 3: a response must come from an upstream that
// processed this very request. Only responses with status 200 are checked.
func (o *oracle) responseReceived(a *attempt, got *httpResponse) {
	o.responses++
	if got.status == http.StatusOK && got.echo != a.order.body {
		o.fail(3, "the response to %q was made for %q", a.order.body, got.echo)
	}
}

// requestTimedOut checks invariants 3 and 7 for a request whose client timed out. The
// check is skipped if the sidecar of the flow may be unreachable, because it cannot
// respond then. It is also skipped after a fault of a balancer or the platform.
func (o *oracle) requestTimedOut(a *attempt) {
	p := a.flow.owner
	if a.flow.state != flowOpen || !o.reachable(p) || !o.controlWorks() {
		return
	}
	if o.sim.lastStop >= a.startedAt {
		o.fail(7, "order %d at %s got no response; a planned stop ended or began at %d ms", a.order.id, p, o.sim.lastStop)
	}
	o.fail(3, "order %d at %s got no response", a.order.id, p)
}

// contractCommitted checks that the platform numbers the revisions of a contract
// consecutively, and schedules the check of invariant 8.
func (o *oracle) contractCommitted(name string, value []byte) {
	next := revision{at: o.sim.now}
	if err := json.Unmarshal(value, &next); err != nil {
		o.fail(8, "stored contract: %v", err)
		return
	}
	if want := uint64(len(o.history[name]) + 1); next.Revision != want {
		o.fail(8, "the platform accepted revision %d of %s after %d", next.Revision, name, want-1)
	}
	o.commits++
	o.history[name] = append(o.history[name], next)
	worked := o.controlWorks()
	o.sim.schedule(contractLimit, nil, func() {
		if worked && o.controlWorks() {
			o.checkInEffect(name, next, o.sim.now-contractLimit)
		}
	})
}

// controlWorks reports whether the network, the balancers and the platform have had no
// fault for settleTime. A balancer that was cut off, or whose neighbour or reader ended,
// receives a contract later.
func (o *oracle) controlWorks() bool {
	sim := o.sim
	return !sim.networkFaulty() && !sim.platform.outage && sim.now-max(sim.lastNetworkFault, sim.lastControlFault) >= settleTime
}

// checkInEffect checks invariant 8 at the balancers that have been ready since the
// given time.
func (o *oracle) checkInEffect(name string, want revision, since clock.Millis) {
	for _, b := range o.sim.live(true) {
		if b.readyAt >= 0 && b.readyAt <= since && o.appliedRevisions[b][name] < want.Revision {
			o.fail(8, "%s has revision %d of %s, although revision %d was accepted at %d ms", b, o.appliedRevisions[b][name], name, want.Revision, want.at)
		}
	}
}

// balancerReady checks invariant 8 at a balancer that has become ready, because clients
// can reach it from now on.
func (o *oracle) balancerReady(b *process) {
	if !o.controlWorks() {
		return
	}
	for _, name := range contractCustomers {
		for _, r := range o.history[name] {
			if r.at <= o.sim.now-contractLimit && o.appliedRevisions[b][name] < r.Revision {
				o.fail(8, "%s is ready with revision %d of %s, although revision %d was accepted at %d ms", b, o.appliedRevisions[b][name], name, r.Revision, r.at)
			}
		}
	}
}

// contractApplied checks that a process never reverts to an older revision, and
// that it only applies accepted revisions.
func (o *oracle) contractApplied(p *process, name string, number uint64, changeID string) {
	if o.appliedRevisions[p] == nil {
		o.appliedRevisions[p] = map[string]uint64{}
	}
	if held := o.appliedRevisions[p][name]; number < held {
		o.fail(8, "%s reverted %s from revision %d to %d", p, name, held, number)
	}
	o.appliedRevisions[p][name] = number
	h := o.history[name]
	if number == 0 || number > uint64(len(h)) || h[number-1].ChangeID != changeID {
		o.fail(8, "%s applied revision %d of %s, change %s, which was not accepted", p, number, name, changeID)
	}
}

// writeReported checks the result that an operator got: a write that was reported as
// successful must be in the history. An error leaves the outcome open and is not
// checked.
func (o *oracle) writeReported(name string, number uint64, changeID string, err error) {
	if err != nil {
		return
	}
	h := o.history[name]
	if number == 0 || number > uint64(len(h)) || h[number-1].ChangeID != changeID {
		o.fail(8, "an operator got success for revision %d of %s (%s), which was not written", number, name, changeID)
	}
}

// checkSettled checks invariant 8 after all faults have ended and the system has had
// time to recover.
func (o *oracle) checkSettled() {
	for _, name := range contractCustomers {
		if h := o.history[name]; len(h) > 0 {
			o.checkInEffect(name, h[len(h)-1], o.sim.now-settleTime)
		}
	}
	for _, b := range o.sim.live(true) {
		if b.readyAt < 0 {
			o.fail(8, "%s is not ready after faults have ended", b)
		}
	}
}
