package request

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// maxAttempts is the maximum number of attempts for one request.
const maxAttempts = 2

// result is a response of the upstream or a sibling. The caller must call release
// when it has read the body.
type result struct {
	response *http.Response
	release  func()
}

// failure describes an attempt without a response.
type failure struct {
	mayHaveRun bool
	// shed is true if the request was refused: by admission, by the upstream, by a
	// sibling, or because this sidecar is leaving or its upstream is draining. An
	// immediate retry on the same host is then useless.
	shed       bool
	retryAfter clock.Millis
	detail     string
	cause      error
}

func (f *failure) problem() problem {
	if f.mayHaveRun {
		return unknownProblem(f.detail)
	}
	return notRunProblem(f.detail, f.retryAfter)
}

// execute runs a request on this sidecar or a sibling, and retries it within the
// budget.
func (e *exchange) execute(body *bodySource) (*result, *failure) {
	e.handler.budget.recordAttempt()
	for attempt := 1; ; attempt++ {
		res, f := e.attempt(body, attempt > 1)
		if f == nil {
			return res, nil
		}
		if attempt >= maxAttempts || !e.mayRetry(f, body) {
			return nil, f
		}
		e.handler.metrics.retries.Inc()
		e.handler.config.Logger.Info("request-retried",
			zap.String("kind", e.kind.Name()), zap.Bool("may-have-run", f.mayHaveRun), zap.Error(f.cause))
	}
}

func (e *exchange) mayRetry(f *failure, body *bodySource) bool {
	// The sidecar that handed off a request decides about its retries, because it
	// knows the revision of the contract under which the client was admitted.
	if e.origin.Hop == sibling.HandedOff || e.ctx.Err() != nil || !body.replayable() {
		return false
	}
	if f.mayHaveRun && needsTicket(e.kind) {
		return false
	}
	if f.shed {
		if _, ok := e.freeSibling(); !ok || f.cause == nil {
			return false
		}
	}
	return e.handler.budget.take()
}

// attempt makes one attempt, on this sidecar or on a sibling with a free slot. It uses
// the sibling if no slot is free here, if this sidecar refuses new work, or if
// preferSibling is set.
//
// If the request certainly did not run on the sibling and its body can be sent again,
// the admission of this sidecar decides about it, unless this sidecar refuses new work.
// This does not count as a retry, because the request has not started anywhere.
func (e *exchange) attempt(body *bodySource, preferSibling bool) (*result, *failure) {
	h := e.handler
	refusesNewWork := h.refusesNewWork(h.config.Clock.Now())
	to, free := e.freeSibling()
	if free && (refusesNewWork || preferSibling) {
		res, f := e.handOff(to, body)
		if f == nil || f.mayHaveRun || !body.replayable() {
			return res, f
		}
		free = false
	}
	if refusesNewWork || e.origin.Hop == sibling.HandedOff && h.isLeaving() {
		return nil, newLeavingFailure()
	}
	action, f := e.acquire(free)
	if f == nil && action.Type == admission.HandOff {
		res, handOffFailure := e.handOff(to, body)
		if handOffFailure == nil || handOffFailure.mayHaveRun || !body.replayable() {
			return res, handOffFailure
		}
		action, f = e.acquire(false)
	}
	if f != nil {
		return nil, f
	}
	if action.Type != admission.Start {
		if h.refusesNewWork(h.config.Clock.Now()) {
			return e.handOffQueued(body)
		}
		return nil, &failure{shed: true, retryAfter: action.RetryAfter, detail: "No slot is free before the deadline."}
	}
	return e.callUpstream(body, action.ID)
}

// handOffQueued hands off a request that was queued when this sidecar stopped starting
// new requests. It fails if no sibling has a free slot.
func (e *exchange) handOffQueued(body *bodySource) (*result, *failure) {
	if to, ok := e.freeSibling(); ok {
		return e.handOff(to, body)
	}
	return nil, newLeavingFailure()
}

func newLeavingFailure() *failure {
	return &failure{shed: true, detail: "The service is moving to another host."}
}

// freeSibling returns a sibling to which the request can be handed off. A request is
// handed off at most once, and a stream never.
func (e *exchange) freeSibling() (sibling.Sibling, bool) {
	if e.kind.Stream() || e.origin.Hop == sibling.HandedOff {
		return sibling.Sibling{}, false
	}
	return e.handler.config.Siblings.MostFree(e.handler.config.Clock.Now())
}

// acquire waits for the decision of admission about the request.
func (e *exchange) acquire(canHandOff bool) (admission.Action, *failure) {
	action, err := e.handler.gate.acquire(e.ctx, admission.Request{
		Kind:       e.kind.Name(),
		Deadline:   e.deadline,
		CanHandOff: canHandOff,
		NoQueue:    e.origin.Hop == sibling.HandedOff,
	})
	if err != nil {
		return admission.Action{}, &failure{detail: "The request ended before a slot was free.", cause: err}
	}
	return action, nil
}

// callUpstream sends the request to the upstream. The request id holds its slot until
// the result is released or the call fails.
func (e *exchange) callUpstream(body *bodySource, id admission.ID) (*result, *failure) {
	h := e.handler
	ctx, span := tracer().Start(e.ctx, "upstream call", trace.WithSpanKind(trace.SpanKindClient))
	timeout := max(e.deadline-h.config.Clock.Now(), 1)
	if e.kind.Stream() {
		timeout = 0
	}
	response, err := h.config.Upstream.Do(ctx, upstream.Call{
		Kind:       e.kind.Name(),
		Request:    e.withBody(e.newRequest(ctx), body),
		Repeatable: !needsTicket(e.kind),
		Timeout:    timeout,
	})
	if err != nil {
		h.gate.abandon(id)
		span.SetStatus(codes.Error, err.Error())
		span.End()
		return nil, newUpstreamFailure(err)
	}
	span.SetAttributes(attribute.Int("http.response.status_code", response.StatusCode))
	return &result{response: response, release: func() {
		_ = response.Body.Close()
		h.gate.complete(id)
		span.End()
	}}, nil
}

func newUpstreamFailure(err error) *failure {
	f := &failure{mayHaveRun: true, detail: "The upstream gave no complete answer.", cause: err}
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.MayHaveRun() {
		return f
	}
	f.mayHaveRun = false
	f.shed = failed.Refused()
	f.retryAfter = parseRetryAfter(failed.RetryAfter())
	f.detail = "The upstream did not start the work."
	return f
}

// handOff sends the request to a sibling with a free slot.
func (e *exchange) handOff(to sibling.Sibling, body *bodySource) (*result, *failure) {
	h := e.handler
	h.config.Siblings.RecordHandOff(to.Owner)
	ctx, span := tracer().Start(e.ctx, "hand-off", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("owner", to.Owner.String())))
	origin := sibling.Origin{Hop: sibling.HandedOff, TimeLeft: max(e.deadline-h.config.Clock.Now(), 1)}
	request := e.withBody(e.newRequest(ctx), body)
	request.Header.Del(IdempotencyKeyHeader)
	res, f := e.sendToSibling(ctx, span, to, origin, request)
	if f != nil {
		return nil, f
	}
	response := res.response
	if response.StatusCode == http.StatusServiceUnavailable &&
		strings.EqualFold(response.Header.Get(upstream.OutcomeHeader), upstream.OutcomeNotRun) {
		res.release()
		retryAfter := parseRetryAfter(response.Header.Get("Retry-After"))
		return nil, &failure{shed: true, retryAfter: retryAfter, detail: "No slot is free before the deadline."}
	}
	return res, nil
}

// sendToSibling sends a request to a sibling. It ends the span on failure, or else
// when the result is released.
func (e *exchange) sendToSibling(ctx context.Context, span trace.Span, to sibling.Sibling, origin sibling.Origin, r *http.Request) (*result, *failure) {
	h := e.handler
	response, err := h.config.SiblingClient.Do(ctx, to, origin, r)
	if err != nil {
		h.metrics.handOffs.WithLabelValues(string(origin.Hop), "failed").Inc()
		h.config.Logger.Warn("sibling-unanswered", zap.String("hop", string(origin.Hop)),
			zap.Stringer("owner", to.Owner), zap.Error(err))
		span.SetStatus(codes.Error, err.Error())
		span.End()
		f := &failure{mayHaveRun: true, detail: "The sidecar that has the request did not answer.", cause: err}
		var failed *sibling.Error
		if errors.As(err, &failed) {
			f.mayHaveRun = failed.MayHaveRun()
		}
		return nil, f
	}
	h.metrics.handOffs.WithLabelValues(string(origin.Hop), "answered").Inc()
	return &result{response: response, release: func() {
		_ = response.Body.Close()
		span.End()
	}}, nil
}

func (e *exchange) withBody(r *http.Request, body *bodySource) *http.Request {
	r.Body = body.open()
	r.ContentLength = body.length
	return r
}

// parseRetryAfter parses a Retry-After value. It returns 0 if the value is not a number
// of seconds.
func parseRetryAfter(value string) clock.Millis {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0
	}
	return clock.Millis(n) * clock.Second
}
