package fuzz_test

import (
	"fmt"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"pgregory.net/rapid"
)

const (
	maxFlows = 24
	maxPause = 15_000
	maxStep  = 6_000
)

// outcome is what one case found.
type outcome struct {
	violation string
	invariant int
	steps     int
	oracle    *oracle
}

// runCase builds a world and lets rapid choose what happens in it. Half of the
// cases have planned changes only, in which the oracle checks every packet.
func runCase(t *rapid.T, d decisions) outcome {
	w := newWorld(rapid.Uint64().Draw(t, "world"), d)
	steps := 0
	actions := w.plannedActions()
	faults := rapid.Bool().Draw(t, "faults")
	quiet := 10 * clock.Second
	if faults {
		quiet = settleTime + 10*clock.Second
		for name, action := range w.faultActions() {
			actions[name] = action
		}
	}
	for name, action := range actions {
		actions[name] = func(t *rapid.T) {
			if w.oracle.violation == "" {
				steps++
				action(t)
				w.advance(w.latency())
			}
		}
	}
	t.Repeat(actions)
	if w.oracle.violation == "" {
		w.heal(quiet)
		w.sendAll()
		w.oracle.settled()
	}
	return outcome{violation: w.oracle.violation, invariant: w.oracle.invariant, steps: steps, oracle: w.oracle}
}

// sendAll sends packets of every open flow and lets them arrive.
func (w *world) sendAll() {
	for _, f := range w.flows {
		for range 3 {
			if f.state == flowOpen {
				w.sendClient(f, f.service, message{kind: messagePing, flow: f})
			}
		}
	}
	w.advance(2 * deliveryTime)
}

func (w *world) drawPlace(t *rapid.T) int { return rapid.IntRange(0, len(w.places)-1).Draw(t, "place") }

func (w *world) drawProcess(t *rapid.T) *process { return w.at(w.drawPlace(t)) }

// drawFlow returns an open flow, or nil.
func (w *world) drawFlow(t *rapid.T) *flow {
	var open []*flow
	for _, f := range w.flows {
		if f.state == flowOpen {
			open = append(open, f)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[rapid.IntRange(0, len(open)-1).Draw(t, "flow")]
}

func (w *world) newOrder(service int, booking bool) *order {
	id := len(w.orders) + 1
	o := &order{id: id, service: service, booking: booking, body: fmt.Sprintf("order %d", id)}
	w.orders = append(w.orders, o)
	return o
}

// drawOrder returns an order with a ticket, or nil.
func (w *world) drawOrder(t *rapid.T) *order {
	var ticketed []*order
	for _, o := range w.orders {
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

func (w *world) plannedActions() map[string]func(*rapid.T) {
	service := rapid.IntRange(0, len(services)-1)
	return map[string]func(*rapid.T){
		"open-flow": func(t *rapid.T) {
			w.limitFlows()
			chosen := rapid.SampledFrom([]int{8, 17, 20}).Draw(t, "connection-id")
			w.openFlow(service.Draw(t, "service"), rapid.Bool().Draw(t, "stream"), chosen)
		},
		"open-flows": func(t *rapid.T) {
			w.limitFlows()
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				w.openFlow(service.Draw(t, "service"), false, 8)
			}
		},
		"close-flow": func(t *rapid.T) {
			if f := w.drawFlow(t); f != nil && f.idle() {
				f.state = flowClosed
				f.owner.forget()
			}
		},
		"packets": func(*rapid.T) { w.sendAll() },
		"packet-to-foreign-service": func(t *rapid.T) {
			if f := w.drawFlow(t); f != nil {
				w.sendClient(f, 1-f.service, message{kind: messagePing, flow: f})
			}
		},
		"weigh-in": func(t *rapid.T) {
			if f := w.drawFlow(t); f != nil {
				for range rapid.IntRange(1, 6).Draw(t, "count") {
					w.request(f, w.newOrder(f.service, false), "")
				}
			}
		},
		"booking": func(t *rapid.T) {
			if f := w.drawFlow(t); f != nil {
				o := w.newOrder(f.service, true)
				o.follow = rapid.Bool().Draw(t, "follow")
				w.request(f, o, "")
			}
		},
		"use-ticket":         func(t *rapid.T) { w.useTicket(t, false) },
		"use-ticket-twice":   func(t *rapid.T) { w.useTicket(t, false); w.useTicket(t, false) },
		"use-ticket-falsely": func(t *rapid.T) { w.useTicket(t, true) },
		"leave": func(t *rapid.T) {
			if p := w.drawProcess(t); p != nil && p.resumes <= w.now && w.mayLeave(p) {
				p.stop()
			}
		},
		"join": func(t *rapid.T) {
			at := w.drawPlace(t)
			if w.at(at) != nil {
				return
			}
			if !w.places[at].balancer {
				w.places[at].service = service.Draw(t, "service")
			}
			w.start(at)
		},
		"write-contract": func(t *rapid.T) {
			name := rapid.SampledFrom(written).Draw(t, "customer")
			fault := writeFault(rapid.IntRange(0, int(writeFaults)-1).Draw(t, "fault"))
			w.platform.write(name, rapid.IntRange(0, 4).Draw(t, "variant"), fault)
		},
		"late-write":  func(*rapid.T) { w.platform.arriveLate() },
		"rotate-keys": func(*rapid.T) { w.rotate() },
		"time": func(t *rapid.T) {
			w.advance(clock.Millis(rapid.IntRange(1, maxStep).Draw(t, "ms")))
		},
		"seconds": func(t *rapid.T) {
			w.advance(clock.Millis(rapid.IntRange(1, 5).Draw(t, "s")) * clock.Second)
		},
	}
}

// useTicket sends a ticket over any flow of any sidecar, with its order or with
// another one that has the same ticket.
func (w *world) useTicket(t *rapid.T, falsely bool) {
	o, f := w.drawOrder(t), w.drawFlow(t)
	if o == nil || f == nil {
		return
	}
	token := o.tickets[rapid.IntRange(0, len(o.tickets)-1).Draw(t, "ticket")]
	if falsely {
		o = w.newOrder(f.service, true)
	}
	w.request(f, o, token)
}

// limitFlows closes the oldest idle flows beyond a limit.
func (w *world) limitFlows() {
	open := 0
	for _, f := range w.flows {
		if f.state <= flowOpen {
			open++
		}
	}
	for _, f := range w.flows {
		if open >= maxFlows && f.state == flowOpen && f.idle() {
			f.state = flowClosed
			f.owner.forget()
			open--
		}
	}
}

func (f *flow) idle() bool {
	for _, a := range f.attempts {
		if !a.answered {
			return false
		}
	}
	return true
}

// mayLeave keeps a planned change from ending the last balancer or the last
// sidecar of a service, which no operator does.
func (w *world) mayLeave(p *process) bool {
	staying := 0
	for _, q := range w.live(p.balancer != nil) {
		settled := q.serving >= 0 && w.now-q.serving >= knownTime
		if p.balancer != nil {
			settled = q.ready >= 0 && w.now-q.ready >= knownTime
		}
		if q != p && q.service == p.service && !q.leaving && settled {
			staying++
		}
	}
	return staying > 0
}

func (w *world) faultActions() map[string]func(*rapid.T) {
	dataCentre := rapid.SampledFrom([]string{"hr-east-a", "hr-east-b"})
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) {
			if p := w.drawProcess(t); p != nil {
				w.noteProcessFault(p)
				w.crash(p, rapid.Bool().Draw(t, "reset"))
			}
		},
		"replace": func(t *rapid.T) {
			at := w.drawPlace(t)
			if p := w.at(at); p != nil {
				w.noteProcessFault(p)
				w.crash(p, rapid.Bool().Draw(t, "reset"))
			}
			if !w.places[at].balancer {
				w.places[at].service = rapid.IntRange(0, len(services)-1).Draw(t, "service")
			}
			w.start(at)
		},
		"pause": func(t *rapid.T) {
			if p := w.drawProcess(t); p != nil {
				p.resumes = w.now + clock.Millis(rapid.IntRange(1, maxPause).Draw(t, "ms"))
			}
		},
		"cut": func(t *rapid.T) {
			a, b := w.drawPlace(t), w.drawPlace(t)
			w.cuts[[2]int{a, b}] = true
			if rapid.Bool().Draw(t, "both") {
				w.cuts[[2]int{b, a}] = true
			}
		},
		"partition": func(t *rapid.T) { w.partitioned[dataCentre.Draw(t, "data-centre")] = true },
		"mend":      func(*rapid.T) { clear(w.cuts); clear(w.partitioned) },
		"faulty":    func(t *rapid.T) { w.faulty = rapid.Bool().Draw(t, "faulty") },
		"outage":    func(t *rapid.T) { w.platform.outage = rapid.Bool().Draw(t, "outage") },
		"heal": func(t *rapid.T) {
			w.heal(settleTime + clock.Millis(rapid.IntRange(1, 20_000).Draw(t, "ms")))
		},
	}
}
