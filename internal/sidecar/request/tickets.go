package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// tickets makes a ticket.Store safe for concurrent use, and makes repeated requests
// wait for the response of the first one.
type tickets struct {
	self    identity.OwnerID
	service identity.ServiceID
	keys    *keyring.Store
	clock   clock.Clock

	mutex sync.Mutex
	store *ticket.Store
	// running holds a channel for each nonce whose request is in progress. The channel
	// is closed when the request ends.
	running map[uint64]chan struct{}
}

func newTickets(config Config) *tickets {
	service := config.Service.ID()
	return &tickets{
		self: config.Self, service: service, keys: config.Keys, clock: config.Clock,
		store:   ticket.NewStore(ticket.Config{Self: config.Self, Service: service}),
		running: map[uint64]chan struct{}{},
	}
}

func (t *tickets) issue() (string, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.store.Issue(t.keys.Ring().Active(), t.clock.Now())
}

func (t *tickets) leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.store.Leave()
}

// begin returns the state of a ticket. If the request arrived before and is still in
// progress, begin waits until it ends. The error is the cause for which ctx has ended.
func (t *tickets) begin(ctx context.Context, token ticket.Ticket, digest ticket.Digest) (ticket.State, ticket.Response, error) {
	for {
		t.mutex.Lock()
		state, response := t.store.Begin(token, digest, t.clock.Now())
		if state == ticket.Run {
			t.running[token.Nonce()] = make(chan struct{})
		}
		ended := t.running[token.Nonce()]
		t.mutex.Unlock()
		if state != ticket.Running {
			return state, response, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return state, response, context.Cause(ctx)
		}
	}
}

// complete records the response of a run. A nil response is one that is too large to
// keep.
func (t *tickets) complete(token ticket.Ticket, response *ticket.Response) {
	t.end(token, func() { t.store.Complete(token, response) })
}

// refuse records that the request did not run.
func (t *tickets) refuse(token ticket.Ticket) {
	t.end(token, func() { t.store.Refuse(token) })
}

// end calls record and wakes the repeated requests that wait in begin.
func (t *tickets) end(token ticket.Ticket, record func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record()
	if ended, ok := t.running[token.Nonce()]; ok {
		delete(t.running, token.Nonce())
		close(ended)
	}
}

// serveTicketed serves a request that may run at most once.
func (e *exchange) serveTicketed() {
	h := e.handler
	e.outcome = outcomeRejected
	key := e.r.Header.Get(IdempotencyKeyHeader)
	if key == "" {
		e.requireTicket()
		return
	}
	token, err := ticket.Parse(h.config.Keys.Ring(), key)
	switch {
	case errors.Is(err, ticket.ErrUnknownKey):
		e.outcome = outcomeUnknown
		writeProblem(e.w, unknownProblem("The ticket was issued with a key that is no longer in use."))
	case err != nil || token.Service() != h.tickets.service:
		writeProblem(e.w, problem{Status: http.StatusBadRequest, Detail: IdempotencyKeyHeader + " is not a ticket of this service."})
	case token.Owner() != h.config.Self:
		e.forward(token)
	default:
		e.serveTicket(token)
	}
}

// requireTicket issues a ticket in response to a request without one.
func (e *exchange) requireTicket() {
	token, ok := e.handler.tickets.issue()
	if !ok {
		e.outcome = outcomeNotRun
		writeProblem(e.w, notRunProblem("The service is moving to another host.", 0))
		return
	}
	writeProblem(e.w, problem{
		Status: http.StatusPreconditionRequired, Outcome: upstream.OutcomeNotRun, ticket: token,
		Detail: "Send the request again with the " + TicketHeader + " as " + IdempotencyKeyHeader + ".",
	})
}

// serveTicket serves a request whose ticket names this sidecar as its owner.
func (e *exchange) serveTicket(token ticket.Ticket) {
	body, err := e.bufferBody(maxTicketedBody)
	if err != nil {
		e.rejectBody(err)
		return
	}
	digest := ticket.NewDigest(e.r.Method, e.r.URL.RequestURI(), e.r.Header.Get("Content-Type"), body.data)
	state, response, err := e.handler.tickets.begin(e.ctx, token, digest)
	if err != nil {
		e.outcome = outcomeUnknown
		writeProblem(e.w, unknownProblem("The request is still in progress."))
		return
	}
	switch state {
	case ticket.Run:
		e.runTicket(token, body)
	case ticket.Done:
		e.outcome = outcomeRepeated
		writeResponse(e.w, response)
	case ticket.DoneWithoutResponse:
		e.outcome = outcomeRepeated
		writeProblem(e.w, problem{
			Status: http.StatusConflict,
			Detail: "The work has run. Its response was too large to be kept for a repeated request.",
		})
	case ticket.Refused:
		e.outcome = outcomeNotRun
		e.writeNotRun(notRunProblem("The work was refused and does not run with this ticket.", 0))
	case ticket.Mismatch:
		writeProblem(e.w, problem{
			Status: http.StatusUnprocessableEntity,
			Detail: "The ticket was used for another request, which is not affected.",
		})
	default:
		e.outcome = outcomeUnknown
		writeProblem(e.w, unknownProblem("The ticket has expired and its record may have been dropped."))
	}
}

// runTicket runs the request of a ticket. It records the response before it sends the
// response to the client, so that a lost response can be repeated.
func (e *exchange) runTicket(token ticket.Ticket, body *bodySource) {
	h := e.handler
	interruption := unknownProblem("The work was interrupted.").response()
	// This has an effect only after a panic. In all other cases, the ticket is no longer
	// running at the end of this function.
	defer h.tickets.complete(token, &interruption)
	res, f := e.execute(body)
	if f != nil && !f.mayHaveRun {
		h.tickets.refuse(token)
		e.outcome = outcomeNotRun
		e.writeNotRun(f.problem())
		return
	}
	if f != nil {
		e.recordUnknown(token, f)
		return
	}
	defer res.release()
	head, err := io.ReadAll(io.LimitReader(res.response.Body, ticket.MaxBody+1))
	if err != nil {
		e.recordUnknown(token, &failure{mayHaveRun: true, detail: "The response of the upstream broke off.", cause: err})
		return
	}
	header := endToEnd(res.response.Header)
	e.outcome = outcomeAnswered
	if len(head) > ticket.MaxBody {
		h.tickets.complete(token, nil)
		writeHeader(e.w, res.response.StatusCode, header)
		e.copyRest(res, io.MultiReader(bytes.NewReader(head), res.response.Body))
		return
	}
	response := ticket.Response{Status: res.response.StatusCode, Header: header, Body: head, Trailer: res.response.Trailer}
	h.tickets.complete(token, &response)
	// Release the slot now. A slow client could take long to read the response.
	res.release()
	writeResponse(e.w, response)
}

func (e *exchange) recordUnknown(token ticket.Ticket, f *failure) {
	e.outcome = outcomeUnknown
	e.handler.config.Logger.Warn("request-outcome-unknown", zap.String("kind", e.kind.Name()), zap.Error(f.cause))
	response := f.problem().response()
	e.handler.tickets.complete(token, &response)
	writeResponse(e.w, response)
}

// writeNotRun writes p with a new ticket, so that the client can send the request
// again.
func (e *exchange) writeNotRun(p problem) {
	p.ticket, _ = e.handler.tickets.issue()
	writeProblem(e.w, p)
}

// forward sends a request to the sidecar that its ticket names. If there is no
// response, the outcome is unknown, because the request may have arrived and run there
// before.
func (e *exchange) forward(token ticket.Ticket) {
	h := e.handler
	e.outcome = outcomeUnknown
	to, ok := h.config.Siblings.Find(token.Owner())
	if !ok || e.origin.Hop != sibling.Direct {
		writeProblem(e.w, unknownProblem("The sidecar that issued the ticket is gone."))
		return
	}
	ctx, span := tracer().Start(e.ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	origin := sibling.Origin{Hop: sibling.Forwarded, TimeLeft: max(e.deadline-h.config.Clock.Now(), 1)}
	request := e.newRequest(ctx)
	request.Body = e.r.Body
	request.ContentLength = e.r.ContentLength
	res, f := e.sendToSibling(ctx, span, to, origin, request)
	if f != nil {
		writeProblem(e.w, unknownProblem(f.detail))
		return
	}
	defer res.release()
	e.outcome = outcomeAnswered
	writeHeader(e.w, res.response.StatusCode, endToEnd(res.response.Header))
	e.copyRest(res, res.response.Body)
}
