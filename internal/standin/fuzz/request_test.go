package fuzz_test

import (
	"errors"
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
)

const (
	attemptTimeout = 20 * clock.Second
	siblingTimeout = 5 * clock.Second
	maxServiceTime = 3 * clock.Second
)

// order is one intention of a client: a booking, which must run at most once, or
// a weigh-in, which may be repeated.
type order struct {
	id      int
	service int
	booking bool
	body    string
	// ticket is the one that the client uses; it changes only after "not run".
	// tickets are all that it had.
	ticket  string
	tickets []string
	// follow makes the client use a new ticket at once.
	follow bool
}

// attempt is one HTTP request of an order on one flow.
type attempt struct {
	order    *order
	flow     *flow
	token    string
	began    clock.Millis
	answered bool
}

type answer struct {
	status int
	notRun bool
	ticket string
	// echo is what the upstream read.
	echo string
}

func (w *world) request(f *flow, o *order, token string) {
	a := &attempt{order: o, flow: f, token: token, began: w.now}
	f.attempts = append(f.attempts, a)
	w.sendClient(f, f.service, message{kind: messageRequest, flow: f, attempt: a})
}

func (w *world) tickAttempt(a *attempt) {
	switch {
	case a.answered || w.now == a.began:
	case w.now-a.began >= attemptTimeout:
		a.answered = true
		w.oracle.unanswered(a)
	default:
		w.sendClient(a.flow, a.flow.service, message{kind: messageRequest, flow: a.flow, attempt: a})
	}
}

// answered takes a response to an attempt.
func (w *world) answered(a *attempt) {
	if a.answered {
		return
	}
	a.answered = true
	got := a.flow.owner.held[a.flow].answers[a]
	w.oracle.response(a, got)
	o := a.order
	if got.notRun && got.ticket != "" && o.ticket == a.token {
		o.ticket = got.ticket
		o.tickets = append(o.tickets, got.ticket)
		if o.follow && got.status == http.StatusPreconditionRequired {
			w.request(a.flow, o, o.ticket)
		}
	}
}

// unanswered counts responses that clients have not received yet.
func (p *process) unanswered() int {
	count := 0
	for _, s := range p.sessions {
		for _, a := range s.flow.attempts {
			if s.flow.owner == p && s.flow.state == flowOpen && !a.answered && s.answers[a] != nil {
				count++
			}
		}
	}
	return count
}

// receiveRequest is the HTTP/3 server of a sidecar: a request runs once, however
// often its packets arrive.
func (p *process) receiveRequest(s *session, a *attempt) {
	got, seen := s.answers[a]
	if seen {
		if got != nil {
			p.reply(s, message{kind: messageResponse, flow: s.flow, from: p, attempt: a})
		}
		return
	}
	s.answers[a] = nil
	p.active++
	p.serve(&exchange{attempt: a, arrived: p.w.now, deadline: p.w.now + 5*clock.Second}, func(got answer) {
		p.active--
		s.answers[a] = &got
		p.w.oracle.replied(p, a, got)
		p.reply(s, message{kind: messageResponse, flow: s.flow, from: p, attempt: a})
	})
}

// exchange is a request in a sidecar. It follows internal/sidecar/request, whose
// decisions are in the state machines that it calls.
type exchange struct {
	attempt   *attempt
	arrived   clock.Millis
	deadline  clock.Millis
	handedOff bool
	forwarded bool
}

func (a *attempt) method() (method, path, kind string) {
	if a.order.booking {
		return http.MethodPost, "/bookings", "booking"
	}
	return http.MethodPut, "/weigh-ins", "weigh-in"
}

func (p *process) serve(e *exchange, done func(answer)) {
	method, path, _ := e.attempt.method()
	service, _ := p.serviceInEffect()
	kind, ok := service.Match(method, path)
	if !ok {
		done(answer{status: http.StatusNotFound, notRun: true})
		return
	}
	if kind.Repeatable() || e.handedOff {
		p.execute(e, done)
		return
	}
	if e.attempt.token == "" {
		token, ok := p.tickets.Issue(p.keys.Ring().Active(), p.w.now)
		if !ok {
			done(notRun())
			return
		}
		done(answer{status: http.StatusPreconditionRequired, notRun: true, ticket: token})
		return
	}
	p.serveTicket(e, done)
}

func notRun() answer  { return answer{status: http.StatusServiceUnavailable, notRun: true} }
func unknown() answer { return answer{status: http.StatusGatewayTimeout} }

func (p *process) serveTicket(e *exchange, done func(answer)) {
	t, err := ticket.Parse(p.keys.Ring(), e.attempt.token)
	switch {
	case errors.Is(err, ticket.ErrUnknownKey):
		done(unknown())
	case err != nil || t.Service() != p.serviceID:
		done(answer{status: http.StatusBadRequest})
	case !p.w.decisions.runsHere(p, t):
		p.forward(e, t, done)
	default:
		p.begin(e, t, done)
	}
}

func (p *process) begin(e *exchange, t ticket.Ticket, done func(answer)) {
	method, path, _ := e.attempt.method()
	digest := ticket.NewDigest(method, path, "", []byte(e.attempt.order.body))
	state, response := p.w.decisions.begin(p, t, digest)
	switch state {
	case ticket.Run:
		p.execute(e, func(got answer) { p.finish(t, got, done) })
	case ticket.Running:
		p.waiting[t.Nonce()] = append(p.waiting[t.Nonce()], func() { p.begin(e, t, done) })
	case ticket.Done:
		done(answer{status: response.Status, echo: string(response.Body)})
	case ticket.DoneWithoutBody:
		done(answer{status: http.StatusConflict})
	case ticket.Refused:
		done(p.refusal())
	case ticket.Mismatch:
		done(answer{status: http.StatusUnprocessableEntity})
	default:
		done(unknown())
	}
}

func (p *process) refusal() answer {
	got := notRun()
	got.ticket, _ = p.tickets.Issue(p.keys.Ring().Active(), p.w.now)
	return got
}

func (p *process) finish(t ticket.Ticket, got answer, done func(answer)) {
	if got.notRun {
		p.w.decisions.refuse(p, t)
		got = p.refusal()
	} else {
		p.tickets.Complete(t, &ticket.Response{Status: got.status, Body: []byte(got.echo)})
	}
	done(got)
	waiting := p.waiting[t.Nonce()]
	delete(p.waiting, t.Nonce())
	for _, again := range waiting {
		again()
	}
}

func (p *process) forward(e *exchange, t ticket.Ticket, done func(answer)) {
	to, ok := p.exchange.Find(t.Owner())
	if !ok || e.forwarded {
		done(unknown())
		return
	}
	passed := &exchange{attempt: e.attempt, deadline: e.deadline, forwarded: true}
	p.call(to, passed, func(got answer, failed, _ bool) {
		if failed {
			got = unknown()
		}
		done(got)
	})
}

// call passes a request to a sibling over one connection, which either carries
// both messages or fails.
func (p *process) call(to sibling.Sibling, e *exchange, done func(got answer, failed, mayHaveRun bool)) {
	w := p.w
	q := w.atAddress(to.Control)
	// The sibling's certificate names its owner ID.
	if q == nil || q.id != to.Owner || w.cut(p, q) || w.cut(q, p) {
		w.schedule(w.latency(), p, func() { done(answer{}, true, false) })
		return
	}
	ended := false
	end := func(got answer, failed bool) {
		if !ended {
			ended = true
			done(got, failed, true)
		}
	}
	w.schedule(siblingTimeout, p, func() { end(answer{}, true) })
	lost := func() bool { return w.faulty && w.random.IntN(10) == 0 }
	if lost() {
		return
	}
	w.schedule(w.latency(), q, func() {
		e.arrived = w.now
		q.active++
		q.serve(e, func(got answer) {
			q.active--
			if !lost() && !w.cut(q, p) {
				w.schedule(w.latency(), p, func() { end(got, false) })
			}
		})
	})
}

func (p *process) execute(e *exchange, done func(answer)) {
	w := p.w
	closed := w.decisions.closed(p)
	to, free := sibling.Sibling{}, false
	if !e.handedOff {
		to, free = p.exchange.MostFree(w.now)
	}
	if free && closed {
		p.handOff(e, to, done)
		return
	}
	if closed || e.handedOff && p.leaving {
		done(notRun())
		return
	}
	p.admit(e, free, to, done)
}

func (p *process) admit(e *exchange, free bool, to sibling.Sibling, done func(answer)) {
	w := p.w
	p.lastID++
	id := p.lastID
	_, _, kind := e.attempt.method()
	actions := p.admission.Admit(admission.Request{
		ID: id, Kind: kind, Deadline: e.deadline, CanHandOff: free,
		NoQueue: e.handedOff, Random: w.random.Float64(),
	}, w.now)
	decided := func(a admission.Action) {
		switch a.Type {
		case admission.Start:
			p.run(e, id, done)
		case admission.HandOff:
			p.handOff(e, to, done)
		default:
			done(notRun())
		}
	}
	if actions[0].Type == admission.Queue {
		p.gate[id] = decided
		return
	}
	decided(actions[0])
}

// deliver passes later decisions of the admission to the requests in its queues.
func (p *process) deliver(actions []admission.Action) {
	for _, a := range actions {
		if decided, ok := p.gate[a.ID]; ok {
			delete(p.gate, a.ID)
			decided(a)
		}
	}
}

func (p *process) handOff(e *exchange, to sibling.Sibling, done func(answer)) {
	p.exchange.RecordHandOff(to.Owner)
	passed := &exchange{attempt: e.attempt, deadline: e.deadline, handedOff: true}
	p.call(to, passed, func(got answer, failed, mayHaveRun bool) {
		switch {
		case failed && mayHaveRun:
			done(unknown())
		case failed || got.notRun:
			p.afterHandOff(e, done)
		default:
			done(got)
		}
	})
}

// afterHandOff queues here what no sibling took.
func (p *process) afterHandOff(e *exchange, done func(answer)) {
	if p.w.decisions.closed(p) {
		done(notRun())
		return
	}
	p.admit(e, false, sibling.Sibling{}, done)
}

// run calls the upstream, which may not start the work, or break off after it.
func (p *process) run(e *exchange, id admission.ID, done func(answer)) {
	w := p.w
	if w.random.IntN(8) == 0 {
		w.schedule(w.latency(), p, func() {
			p.deliver(p.admission.Abandon(id, w.now))
			done(notRun())
		})
		return
	}
	w.oracle.ran(p, e)
	broken := w.random.IntN(20) == 0
	w.schedule(clock.Millis(w.random.Int64N(int64(maxServiceTime))), p, func() {
		got := answer{status: http.StatusOK, echo: e.attempt.order.body}
		if broken {
			got = unknown()
		}
		p.deliver(p.admission.Complete(id, w.now))
		done(got)
	})
}
