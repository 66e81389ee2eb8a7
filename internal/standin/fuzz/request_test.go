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

// order is one operation that a client requests. It is either a booking, which must
// run at most once, or a weigh-in, which may be repeated.
type order struct {
	id      int
	service int
	booking bool
	body    string
	// ticket is the ticket that the client uses. It changes only after a "not run"
	// response.
	ticket string
	// tickets are all tickets that the client has had for this order.
	tickets []string
	// follow makes the client repeat the request at once with its first ticket.
	follow bool
}

// attempt is one HTTP request for an order on one flow.
type attempt struct {
	order *order
	flow  *flow
	// presentedTicket is the ticket that the request carries. It is empty if there is none.
	presentedTicket string
	startedAt       clock.Millis
	// finished is set when the client has received the response or has timed out.
	finished bool
}

type httpResponse struct {
	status int
	notRun bool
	ticket string
	// echo is the request body as the upstream read it.
	echo string
}

func (sim *simulation) request(f *flow, o *order, token string) {
	a := &attempt{order: o, flow: f, presentedTicket: token, startedAt: sim.now}
	f.attempts = append(f.attempts, a)
	sim.sendClient(f, f.service, message{kind: messageRequest, flow: f, attempt: a})
}

func (sim *simulation) tickAttempt(a *attempt) {
	switch {
	case a.finished || sim.now == a.startedAt:
	case sim.now-a.startedAt >= attemptTimeout:
		a.finished = true
		sim.oracle.requestTimedOut(a)
	default:
		sim.sendClient(a.flow, a.flow.service, message{kind: messageRequest, flow: a.flow, attempt: a})
	}
}

// receiveResponse handles a response at the client. Repeated responses are ignored.
func (sim *simulation) receiveResponse(a *attempt) {
	if a.finished {
		return
	}
	a.finished = true
	got := a.flow.owner.sessionsByFlow[a.flow].responses[a]
	sim.oracle.responseReceived(a, got)
	o := a.order
	if got.notRun && got.ticket != "" && o.ticket == a.presentedTicket {
		o.ticket = got.ticket
		o.tickets = append(o.tickets, got.ticket)
		if o.follow && got.status == http.StatusPreconditionRequired {
			sim.request(a.flow, o, o.ticket)
		}
	}
}

// undelivered counts the responses that clients have not received yet.
func (p *process) undelivered() int {
	count := 0
	for _, s := range p.sessions {
		for _, a := range s.flow.attempts {
			if s.flow.owner == p && s.flow.state == flowOpen && !a.finished && s.responses[a] != nil {
				count++
			}
		}
	}
	return count
}

// receiveRequest stands in for the HTTP/3 server of a sidecar. A request runs once,
// even if its packets arrive several times.
func (p *process) receiveRequest(s *session, a *attempt) {
	got, seen := s.responses[a]
	if seen {
		if got != nil {
			p.respond(s, message{kind: messageResponse, flow: s.flow, from: p, attempt: a})
		}
		return
	}
	s.responses[a] = nil
	p.active++
	p.serve(&sidecarRequest{attempt: a, arrived: p.sim.now, deadline: p.sim.now + 5*clock.Second}, func(got httpResponse) {
		p.active--
		s.responses[a] = &got
		p.sim.oracle.responseSent(p, a, got)
		p.respond(s, message{kind: messageResponse, flow: s.flow, from: p, attempt: a})
	})
}

// sidecarRequest is a request that a sidecar handles. The handling mirrors
// internal/sidecar/request and calls the same state machines for every decision.
type sidecarRequest struct {
	attempt   *attempt
	arrived   clock.Millis
	deadline  clock.Millis
	handedOff bool
	forwarded bool
}

func (a *attempt) endpoint() (method, path, kind string) {
	if a.order.booking {
		return http.MethodPost, "/bookings", "booking"
	}
	return http.MethodPut, "/weigh-ins", "weigh-in"
}

func (p *process) serve(req *sidecarRequest, done func(httpResponse)) {
	method, path, _ := req.attempt.endpoint()
	service, _ := p.serviceInEffect()
	kind, ok := service.Match(method, path)
	if !ok {
		done(httpResponse{status: http.StatusNotFound, notRun: true})
		return
	}
	if kind.Repeatable() || req.handedOff {
		p.execute(req, done)
		return
	}
	if req.attempt.presentedTicket == "" {
		token, ok := p.tickets.Issue(p.keys.Ring().Active(), p.sim.now)
		if !ok {
			done(notRun())
			return
		}
		done(httpResponse{status: http.StatusPreconditionRequired, notRun: true, ticket: token})
		return
	}
	p.serveTicket(req, done)
}

func notRun() httpResponse         { return httpResponse{status: http.StatusServiceUnavailable, notRun: true} }
func outcomeUnknown() httpResponse { return httpResponse{status: http.StatusGatewayTimeout} }

func (p *process) serveTicket(req *sidecarRequest, done func(httpResponse)) {
	t, err := ticket.Parse(p.keys.Ring(), req.attempt.presentedTicket)
	switch {
	case errors.Is(err, ticket.ErrUnknownKey):
		done(outcomeUnknown())
	case err != nil || t.Service() != p.serviceID:
		done(httpResponse{status: http.StatusBadRequest})
	case !p.sim.decisions.ownsTicket(p, t):
		p.forward(req, t, done)
	default:
		p.beginTicket(req, t, done)
	}
}

func (p *process) beginTicket(req *sidecarRequest, t ticket.Ticket, done func(httpResponse)) {
	method, path, _ := req.attempt.endpoint()
	digest := ticket.NewDigest(method, path, "", []byte(req.attempt.order.body))
	state, recorded := p.sim.decisions.beginTicket(p, t, digest)
	switch state {
	case ticket.Run:
		p.execute(req, func(got httpResponse) { p.finishTicket(t, got, done) })
	case ticket.Running:
		p.waitingRepeats[t.Nonce()] = append(p.waitingRepeats[t.Nonce()], func() { p.beginTicket(req, t, done) })
	case ticket.Done:
		done(httpResponse{status: recorded.Status, echo: string(recorded.Body)})
	case ticket.DoneWithoutResponse:
		done(httpResponse{status: http.StatusConflict})
	case ticket.Refused:
		done(p.refusal())
	case ticket.Mismatch:
		done(httpResponse{status: http.StatusUnprocessableEntity})
	default:
		done(outcomeUnknown())
	}
}

func (p *process) refusal() httpResponse {
	got := notRun()
	got.ticket, _ = p.tickets.Issue(p.keys.Ring().Active(), p.sim.now)
	return got
}

func (p *process) finishTicket(t ticket.Ticket, got httpResponse, done func(httpResponse)) {
	if got.notRun {
		p.sim.decisions.refuseTicket(p, t)
		got = p.refusal()
	} else {
		p.tickets.Complete(t, &ticket.Response{Status: got.status, Body: []byte(got.echo)})
	}
	done(got)
	waiting := p.waitingRepeats[t.Nonce()]
	delete(p.waitingRepeats, t.Nonce())
	for _, repeat := range waiting {
		repeat()
	}
}

// forward passes a request to the sidecar that issued its ticket.
func (p *process) forward(req *sidecarRequest, t ticket.Ticket, done func(httpResponse)) {
	to, ok := p.loadExchange.Find(t.Owner())
	if !ok || req.forwarded {
		done(outcomeUnknown())
		return
	}
	passed := &sidecarRequest{attempt: req.attempt, deadline: req.deadline, forwarded: true}
	p.callSibling(to, passed, func(got httpResponse, failed, _ bool) {
		if failed {
			got = outcomeUnknown()
		}
		done(got)
	})
}

// callSibling passes a request to a sibling over one connection, which either carries
// both the request and the response or fails.
func (p *process) callSibling(to sibling.Sibling, req *sidecarRequest, done func(got httpResponse, failed, mayHaveRun bool)) {
	sim := p.sim
	q := sim.processByAddress(to.Control)
	// The certificate of the sibling contains its owner ID, so another process at the
	// same address is rejected.
	if q == nil || q.id != to.Owner || sim.cut(p, q) || sim.cut(q, p) {
		sim.schedule(sim.latency(), p, func() { done(httpResponse{}, true, false) })
		return
	}
	ended := false
	finish := func(got httpResponse, failed bool) {
		if !ended {
			ended = true
			done(got, failed, true)
		}
	}
	sim.schedule(siblingTimeout, p, func() { finish(httpResponse{}, true) })
	lost := func() bool { return sim.faulty && sim.random.IntN(10) == 0 }
	if lost() {
		return
	}
	sim.schedule(sim.latency(), q, func() {
		req.arrived = sim.now
		q.active++
		q.serve(req, func(got httpResponse) {
			q.active--
			if !lost() && !sim.cut(q, p) {
				sim.schedule(sim.latency(), p, func() { finish(got, false) })
			}
		})
	})
}

// execute admits a request on this sidecar, hands it off to a sibling, or refuses it.
func (p *process) execute(req *sidecarRequest, done func(httpResponse)) {
	sim := p.sim
	noNewWork := sim.decisions.stopsNewWork(p)
	to, free := sibling.Sibling{}, false
	if !req.handedOff {
		to, free = p.loadExchange.MostFree(sim.now)
	}
	if free && noNewWork {
		p.handOff(req, to, done)
		return
	}
	if noNewWork || req.handedOff && p.leaving {
		done(notRun())
		return
	}
	p.admit(req, free, to, done)
}

func (p *process) admit(req *sidecarRequest, free bool, to sibling.Sibling, done func(httpResponse)) {
	sim := p.sim
	p.lastID++
	id := p.lastID
	_, _, kind := req.attempt.endpoint()
	actions := p.admission.Admit(admission.Request{
		ID: id, Kind: kind, Deadline: req.deadline, CanHandOff: free,
		NoQueue: req.handedOff, Random: sim.random.Float64(),
	}, sim.now)
	callback := func(a admission.Action) {
		switch a.Type {
		case admission.Start:
			p.run(req, id, done)
		case admission.HandOff:
			p.handOff(req, to, done)
		default:
			done(notRun())
		}
	}
	if actions[0].Type == admission.Queue {
		p.admissionCallbacks[id] = callback
		return
	}
	callback(actions[0])
}

// deliver passes the decisions of the admission controller to the queued requests.
func (p *process) deliver(actions []admission.Action) {
	for _, a := range actions {
		if callback, ok := p.admissionCallbacks[a.ID]; ok {
			delete(p.admissionCallbacks, a.ID)
			callback(a)
		}
	}
}

func (p *process) handOff(req *sidecarRequest, to sibling.Sibling, done func(httpResponse)) {
	p.loadExchange.RecordHandOff(to.Owner)
	passed := &sidecarRequest{attempt: req.attempt, deadline: req.deadline, handedOff: true}
	p.callSibling(to, passed, func(got httpResponse, failed, mayHaveRun bool) {
		switch {
		case failed && mayHaveRun:
			done(outcomeUnknown())
		case failed || got.notRun:
			p.afterHandOff(req, done)
		default:
			done(got)
		}
	})
}

// afterHandOff admits a request on this sidecar after a sibling did not run it. If this
// sidecar has stopped new work by now, it refuses the request.
func (p *process) afterHandOff(req *sidecarRequest, done func(httpResponse)) {
	if p.sim.decisions.stopsNewWork(p) {
		done(notRun())
		return
	}
	p.admit(req, false, sibling.Sibling{}, done)
}

// run calls the upstream. With a probability of 1/8 the upstream does not start the
// work. With a probability of 1/20 it fails after the work, so that the outcome is
// unknown.
func (p *process) run(req *sidecarRequest, id admission.ID, done func(httpResponse)) {
	sim := p.sim
	if sim.random.IntN(8) == 0 {
		sim.schedule(sim.latency(), p, func() {
			p.deliver(p.admission.Abandon(id, sim.now))
			done(notRun())
		})
		return
	}
	sim.oracle.requestStarted(p, req)
	fails := sim.random.IntN(20) == 0
	sim.schedule(clock.Millis(sim.random.Int64N(int64(maxServiceTime))), p, func() {
		got := httpResponse{status: http.StatusOK, echo: req.attempt.order.body}
		if fails {
			got = outcomeUnknown()
		}
		p.deliver(p.admission.Complete(id, sim.now))
		done(got)
	})
}
