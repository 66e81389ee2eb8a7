package fuzz_test

import (
	"fmt"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"pgregory.net/rapid"
)

const (
	maxFlows = 24
	// maxPause is the longest pause of a process in milliseconds.
	maxPause = 15_000
	// maxAdvance is the longest time, in milliseconds, that one step lets pass.
	maxAdvance = 6_000
)

// outcome is the result of one case. violation is empty if the case found none.
type outcome struct {
	violation string
	invariant int
	steps     int
	oracle    *oracle
}

// runCase builds a simulation and lets rapid choose the actions. Half of the cases
// have planned changes only. In these, no fault makes the oracle skip a check.
func runCase(t *rapid.T, d decisions) outcome {
	sim := newSimulation(rapid.Uint64().Draw(t, "world"), d)
	steps := 0
	actions := sim.plannedActions()
	faults := rapid.Bool().Draw(t, "faults")
	quiet := 10 * clock.Second
	if faults {
		quiet = settleTime + 10*clock.Second
		for name, action := range sim.faultActions() {
			actions[name] = action
		}
	}
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			if sim.oracle.violation == "" {
				steps++
				action(t)
				sim.advance(sim.latency())
			}
		}
	}
	t.Repeat(actions)
	if sim.oracle.violation == "" {
		sim.heal(quiet)
		sim.sendAll()
		sim.oracle.checkSettled()
	}
	return outcome{violation: sim.oracle.violation, invariant: sim.oracle.invariant, steps: steps, oracle: sim.oracle}
}

// sendAll sends three packets on every open flow and waits for their arrival.
func (sim *simulation) sendAll() {
	for _, f := range sim.flows {
		for range 3 {
			if f.state == flowOpen {
				sim.sendClient(f, f.service, message{kind: messagePing, flow: f})
			}
		}
	}
	sim.advance(2 * deliveryTime)
}

func (sim *simulation) drawLocation(t *rapid.T) int {
	return rapid.IntRange(0, len(sim.locations)-1).Draw(t, "place")
}

func (sim *simulation) drawProcess(t *rapid.T) *process { return sim.processAt(sim.drawLocation(t)) }

// drawFlow returns a random open flow, or nil if there is none.
func (sim *simulation) drawFlow(t *rapid.T) *flow {
	var open []*flow
	for _, f := range sim.flows {
		if f.state == flowOpen {
			open = append(open, f)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rapid.IntRange(0, len(open)-1).Draw(t, "flow")]
}

func (sim *simulation) newOrder(service int, booking bool) *order {
	id := len(sim.orders) + 1
	o := &order{id: id, service: service, booking: booking, body: fmt.Sprintf("order %d", id)}
	sim.orders = append(sim.orders, o)
	return o
}

// drawOrder returns one of the last eight orders that have a ticket, or nil if
// there is none.
func (sim *simulation) drawOrder(t *rapid.T) *order {
	var ticketed []*order
	for _, o := range sim.orders {
		if o.ticket != "" {
			ticketed = append(ticketed, o)
		}
	}
	if len(ticketed) == 0 {
		return nil
	}
	recent := ticketed[max(0, len(ticketed)-8):]
	return recent[rapid.IntRange(0, len(recent)-1).Draw(t, "order")]
}

func (sim *simulation) plannedActions() map[string]func(*rapid.T) {
	service := rapid.IntRange(0, len(services)-1)
	return map[string]func(*rapid.T){
		"open-flow": func(t *rapid.T) {
			sim.limitFlows()
			idLength := rapid.SampledFrom([]int{8, 17, 20}).Draw(t, "connection-id")
			sim.openFlow(service.Draw(t, "service"), rapid.Bool().Draw(t, "stream"), idLength)
		},
		"open-flows": func(t *rapid.T) {
			sim.limitFlows()
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				sim.openFlow(service.Draw(t, "service"), false, 8)
			}
		},
		"close-flow": func(t *rapid.T) {
			if f := sim.drawFlow(t); f != nil && f.idle() {
				f.state = flowClosed
				f.owner.dropEndedSessions()
			}
		},
		"packets": func(*rapid.T) { sim.sendAll() },
		"packet-to-foreign-service": func(t *rapid.T) {
			if f := sim.drawFlow(t); f != nil {
				sim.sendClient(f, 1-f.service, message{kind: messagePing, flow: f})
			}
		},
		"weigh-in": func(t *rapid.T) {
			if f := sim.drawFlow(t); f != nil {
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					sim.request(f, sim.newOrder(f.service, false), "")
				}
			}
		},
		"booking": func(t *rapid.T) {
			if f := sim.drawFlow(t); f != nil {
				o := sim.newOrder(f.service, true)
				o.follow = rapid.Bool().Draw(t, "follow")
				sim.request(f, o, "")
			}
		},
		"use-ticket":         func(t *rapid.T) { sim.useTicket(t, false) },
		"use-ticket-twice":   func(t *rapid.T) { sim.useTicket(t, false); sim.useTicket(t, false) },
		"use-ticket-falsely": func(t *rapid.T) { sim.useTicket(t, true) },
		"leave": func(t *rapid.T) {
			if p := sim.drawProcess(t); p != nil && p.pausedUntil <= sim.now && sim.mayLeave(p) {
				p.beginStop()
			}
		},
		"join": func(t *rapid.T) {
			index := sim.drawLocation(t)
			if sim.processAt(index) != nil {
				return
			}
			if !sim.locations[index].balancer {
				sim.locations[index].service = service.Draw(t, "service")
			}
			sim.start(index)
		},
		"write-contract": func(t *rapid.T) {
			name := rapid.SampledFrom(contractCustomers).Draw(t, "customer")
			fault := writeFault(rapid.IntRange(0, int(writeFaultCount)-1).Draw(t, "fault"))
			sim.platform.write(name, rapid.IntRange(0, 4).Draw(t, "variant"), fault)
		},
		"late-write":  func(*rapid.T) { sim.platform.deliverLateWrite() },
		"rotate-keys": func(*rapid.T) { sim.rotate() },
		"time": func(t *rapid.T) {
			sim.advance(clock.Millis(rapid.IntRange(1, maxAdvance).Draw(t, "ms")))
		},
		"seconds": func(t *rapid.T) {
			sim.advance(clock.Millis(rapid.IntRange(1, 5).Draw(t, "s")) * clock.Second)
		},
	}
}

// useTicket sends a request with a ticket of an earlier order over a random flow. The
// owner of the flow need not be the sidecar that issued the ticket. If falsely is true,
// the request carries a different order than the one that the ticket was issued for.
func (sim *simulation) useTicket(t *rapid.T, falsely bool) {
	o, f := sim.drawOrder(t), sim.drawFlow(t)
	if o == nil || f == nil {
		return
	}
	token := o.tickets[rapid.IntRange(0, len(o.tickets)-1).Draw(t, "ticket")]
	if falsely {
		o = sim.newOrder(f.service, true)
	}
	sim.request(f, o, token)
}

// limitFlows closes the oldest idle flows until fewer than maxFlows are open or
// pending.
func (sim *simulation) limitFlows() {
	open := 0
	for _, f := range sim.flows {
		if f.state <= flowOpen {
			open++
		}
	}
	for _, f := range sim.flows {
		if open >= maxFlows && f.state == flowOpen && f.idle() {
			f.state = flowClosed
			f.owner.dropEndedSessions()
			open--
		}
	}
}

// idle reports whether no request on the flow is in progress.
func (f *flow) idle() bool {
	for _, a := range f.attempts {
		if !a.finished {
			return false
		}
	}
	return true
}

// mayLeave reports whether another process can take over from p. For a balancer, this
// is any balancer. For a sidecar, it is a sidecar of the same service. The other process
// must not be leaving, and must have been ready or serving for discoveryTime. No
// operator stops the last one.
func (sim *simulation) mayLeave(p *process) bool {
	staying := 0
	for _, q := range sim.live(p.balancer != nil) {
		settled := q.servingAt >= 0 && sim.now-q.servingAt >= discoveryTime
		if p.balancer != nil {
			settled = q.readyAt >= 0 && sim.now-q.readyAt >= discoveryTime
		}
		if q != p && q.service == p.service && !q.leaving && settled {
			staying++
		}
	}
	return staying > 0
}

func (sim *simulation) faultActions() map[string]func(*rapid.T) {
	dataCentre := rapid.SampledFrom([]string{"hr-east-a", "hr-east-b"})
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) {
			if p := sim.drawProcess(t); p != nil {
				sim.recordProcessFault(p)
				sim.terminate(p, rapid.Bool().Draw(t, "reset"))
			}
		},
		"replace": func(t *rapid.T) {
			index := sim.drawLocation(t)
			if p := sim.processAt(index); p != nil {
				sim.recordProcessFault(p)
				sim.terminate(p, rapid.Bool().Draw(t, "reset"))
			}
			if !sim.locations[index].balancer {
				sim.locations[index].service = rapid.IntRange(0, len(services)-1).Draw(t, "service")
			}
			sim.start(index)
		},
		"pause": func(t *rapid.T) {
			if p := sim.drawProcess(t); p != nil {
				p.pausedUntil = sim.now + clock.Millis(rapid.IntRange(1, maxPause).Draw(t, "ms"))
			}
		},
		"cut": func(t *rapid.T) {
			a, b := sim.drawLocation(t), sim.drawLocation(t)
			sim.cuts[[2]int{a, b}] = true
			if rapid.Bool().Draw(t, "both") {
				sim.cuts[[2]int{b, a}] = true
			}
		},
		"partition": func(t *rapid.T) { sim.partitioned[dataCentre.Draw(t, "data-centre")] = true },
		"mend":      func(*rapid.T) { clear(sim.cuts); clear(sim.partitioned) },
		"faulty":    func(t *rapid.T) { sim.faulty = rapid.Bool().Draw(t, "faulty") },
		"outage":    func(t *rapid.T) { sim.platform.outage = rapid.Bool().Draw(t, "outage") },
		"heal": func(t *rapid.T) {
			sim.heal(settleTime + clock.Millis(rapid.IntRange(1, 20_000).Draw(t, "ms")))
		},
	}
}
