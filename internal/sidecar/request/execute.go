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

// maxAttempts limits the attempts of one request.
const maxAttempts = 2

// result is an answer of the upstream or a sibling. The caller must call release
// when the body has been read.
type result struct {
	response *http.Response
	release  func()
}

// failure is a request without an answer.
type failure struct {
	mayHaveRun bool
	// shed tells that admission or the upstream refused the work, so that an
	// immediate retry at the same place is of no use.
	shed       bool
	retryAfter clock.Millis
	detail     string
	cause      error
}

func (f *failure) problem() problem {
	if f.mayHaveRun {
		return unknown(f.detail)
	}
	return notRun(f.detail, f.retryAfter)
}

// execute runs a request, here or on a sibling, and retries within the budget.
func (e *exchange) execute(body *source) (*result, *failure) {
	e.handler.budget.attempt()
	for attempt := 1; ; attempt++ {
		done, f := e.attempt(body, attempt > 1)
		if f == nil {
			return done, nil
		}
		if attempt >= maxAttempts || !e.mayRetry(f, body) {
			return nil, f
		}
		e.handler.metrics.retries.Inc()
		e.handler.config.Logger.Info("request-retried",
			zap.String("kind", e.kind.Name()), zap.Bool("may-have-run", f.mayHaveRun), zap.Error(f.cause))
	}
}

func (e *exchange) mayRetry(f *failure, body *source) bool {
	// The sidecar that handed a request off decides about its retries: it knows the
	// revision of the contract under which the client was admitted.
	if e.origin.Hop == sibling.HandedOff || e.ctx.Err() != nil || !body.replayable() {
		return false
	}
	if f.mayHaveRun && ticketed(e.kind) {
		return false
	}
	if f.shed {
		if _, ok := e.freeSibling(); !ok || f.cause == nil {
			return false
		}
	}
	return e.handler.budget.take()
}

// attempt tries once: on this sidecar or, without a free slot, on a sibling. The
// refusal of a sibling leads back to this sidecar's queue without a retry,
// because the work has been started nowhere.
func (e *exchange) attempt(body *source, preferSibling bool) (*result, *failure) {
	h := e.handler
	closed := h.closed(h.config.Clock.Now())
	to, free := e.freeSibling()
	if free && (closed || preferSibling) {
		done, f := e.handOff(to, body)
		if f == nil || f.mayHaveRun || !body.replayable() {
			return done, f
		}
		free = false
	}
	if closed || e.origin.Hop == sibling.HandedOff && h.isLeaving() {
		return nil, leavingFailure()
	}
	action, f := e.acquire(free)
	if f == nil && action.Type == admission.HandOff {
		done, handedOff := e.handOff(to, body)
		if handedOff == nil || handedOff.mayHaveRun || !body.replayable() {
			return done, handedOff
		}
		action, f = e.acquire(false)
	}
	if f != nil {
		return nil, f
	}
	if action.Type != admission.Start {
		if h.closed(h.config.Clock.Now()) {
			return e.moveOn(body)
		}
		return nil, &failure{shed: true, retryAfter: action.RetryAfter, detail: "No slot is free before the deadline."}
	}
	return e.call(body, action.ID)
}

// moveOn passes on a request that was queued when the sidecar stopped to start new
// work.
func (e *exchange) moveOn(body *source) (*result, *failure) {
	if to, ok := e.freeSibling(); ok {
		return e.handOff(to, body)
	}
	return nil, leavingFailure()
}

func leavingFailure() *failure {
	return &failure{shed: true, detail: "The service is moving to another host."}
}

// freeSibling returns a sibling that can take the request, which makes at most
// one such hop.
func (e *exchange) freeSibling() (sibling.Sibling, bool) {
	if e.kind.Stream() || e.origin.Hop == sibling.HandedOff {
		return sibling.Sibling{}, false
	}
	return e.handler.config.Siblings.MostFree(e.handler.config.Clock.Now())
}

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

// call sends the request to the upstream while it holds a slot.
func (e *exchange) call(body *source, id admission.ID) (*result, *failure) {
	h := e.handler
	ctx, span := tracer().Start(e.ctx, "upstream call", trace.WithSpanKind(trace.SpanKindClient))
	timeout := max(e.deadline-h.config.Clock.Now(), 1)
	if e.kind.Stream() {
		timeout = 0
	}
	response, err := h.config.Upstream.Do(ctx, upstream.Call{
		Kind:       e.kind.Name(),
		Request:    e.withBody(e.outgoing(ctx), body),
		Repeatable: !ticketed(e.kind),
		Timeout:    timeout,
	})
	if err != nil {
		h.gate.abandon(id)
		span.SetStatus(codes.Error, err.Error())
		span.End()
		return nil, upstreamFailure(err)
	}
	span.SetAttributes(attribute.Int("http.response.status_code", response.StatusCode))
	return &result{response: response, release: func() {
		_ = response.Body.Close()
		h.gate.complete(id)
		span.End()
	}}, nil
}

func upstreamFailure(err error) *failure {
	f := &failure{mayHaveRun: true, detail: "The upstream gave no complete answer.", cause: err}
	var failed *upstream.Error
	if !errors.As(err, &failed) || failed.MayHaveRun() {
		return f
	}
	f.mayHaveRun = false
	f.shed = failed.Refused()
	f.retryAfter = seconds(failed.RetryAfter())
	f.detail = "The upstream did not start the work."
	return f
}

// handOff passes the request to a sibling with a free slot.
func (e *exchange) handOff(to sibling.Sibling, body *source) (*result, *failure) {
	h := e.handler
	h.config.Siblings.RecordHandOff(to.Owner)
	ctx, span := tracer().Start(e.ctx, "hand-off", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("owner", to.Owner.String())))
	origin := sibling.Origin{Hop: sibling.HandedOff, TimeLeft: max(e.deadline-h.config.Clock.Now(), 1)}
	request := e.withBody(e.outgoing(ctx), body)
	request.Header.Del(IdempotencyKeyHeader)
	done, f := e.pass(ctx, span, to, origin, request)
	if f != nil {
		return nil, f
	}
	response := done.response
	if response.StatusCode == http.StatusServiceUnavailable &&
		strings.EqualFold(response.Header.Get(upstream.OutcomeHeader), upstream.OutcomeNotRun) {
		done.release()
		retryAfter := seconds(response.Header.Get("Retry-After"))
		return nil, &failure{shed: true, retryAfter: retryAfter, detail: "No slot is free before the deadline."}
	}
	return done, nil
}

// pass sends a request to a sibling and ends the span when its answer has been
// read.
func (e *exchange) pass(ctx context.Context, span trace.Span, to sibling.Sibling, origin sibling.Origin, r *http.Request) (*result, *failure) {
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

func (e *exchange) withBody(r *http.Request, body *source) *http.Request {
	r.Body = body.open()
	r.ContentLength = body.length
	return r
}

func seconds(value string) clock.Millis {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		return 0
	}
	return clock.Millis(n) * clock.Second
}
