package request

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// exchange is the state of one request and its response.
type exchange struct {
	handler   *Handler
	kind      contract.Kind
	origin    sibling.Origin
	w         http.ResponseWriter
	r         *http.Request
	startedAt clock.Millis
	deadline  clock.Millis
	span      trace.Span
	outcome   string
	// held is the number of bytes reserved for the request body.
	held int64

	// ctx ends at the deadline with the cause upstream.ErrDeadline.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// removeDeadline makes ctx no longer end at the deadline.
	removeDeadline func()
}

func (h *Handler) begin(w http.ResponseWriter, r *http.Request, kind contract.Kind) *exchange {
	e := &exchange{handler: h, kind: kind, w: w, r: r, startedAt: h.config.Clock.Now(), outcome: outcomeAborted}
	e.origin = sibling.OriginOf(r.Context())
	limit := kind.Deadline()
	if limit <= 0 {
		limit = defaultDeadline
	}
	if e.origin.TimeLeft > 0 {
		limit = min(limit, e.origin.TimeLeft)
	}
	e.deadline = e.startedAt + limit
	ctx := r.Context()
	if needsTicket(kind) {
		// The request continues when its client disconnects, so that a repeated
		// request gets the response. A request that was handed off ends with the
		// request of the sibling that sent it.
		if e.origin.Hop != sibling.HandedOff {
			ctx = context.WithoutCancel(ctx)
		}
	}
	ctx = otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(r.Header))
	ctx, e.span = tracer().Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("kind", kind.Name()), attribute.String("hop", string(e.origin.Hop))))
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	e.removeDeadline = h.deadlines.add(e.deadline, func() { e.cancel(upstream.ErrDeadline) })
	return e
}

// end releases what the exchange holds and records the outcome. It also runs during a
// panic that aborts the response.
func (e *exchange) end() {
	e.removeDeadline()
	e.cancel(nil)
	e.handler.memory.free(e.held)
	elapsed := e.handler.config.Clock.Now() - e.startedAt
	e.handler.metrics.requests.WithLabelValues(e.kind.Name(), e.outcome).Inc()
	e.handler.metrics.duration.WithLabelValues(e.kind.Name()).Observe(elapsed.Duration().Seconds())
	e.span.SetAttributes(attribute.String("outcome", e.outcome))
	if e.outcome == outcomeUnknown || e.outcome == outcomeAborted {
		e.span.SetStatus(codes.Error, e.outcome)
	}
	e.span.End()
}

// serve serves a request that needs no ticket.
func (e *exchange) serve() {
	body, err := e.openBody()
	if err != nil {
		e.rejectBody(err)
		return
	}
	result, f := e.execute(body)
	if f != nil {
		e.writeFailure(f)
		return
	}
	defer result.release()
	e.outcome = outcomeAnswered
	writeHeader(e.w, result.response.StatusCode, endToEnd(result.response.Header))
	if e.kind.Stream() {
		e.removeDeadline()
		// The body can start much later than the header. If the flush fails, copying
		// the body fails as well.
		_ = http.NewResponseController(e.w).Flush()
	}
	e.copyRest(result, result.response.Body)
}

// copyRest sends the body and the trailer of a response whose header has been sent. If
// the body from the upstream or sibling breaks off, copyRest aborts the response with a
// panic, so that the client does not take the response for complete.
func (e *exchange) copyRest(result *result, body interface{ Read([]byte) (int, error) }) {
	if err := copyBody(e.w, body); err != nil {
		e.outcome = outcomeAborted
		if errors.Is(err, errClient) {
			return
		}
		e.handler.config.Logger.Info("response-aborted",
			zap.String("kind", e.kind.Name()), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	writeTrailer(e.w, result.response.Trailer)
}

func (e *exchange) rejectBody(err error) {
	e.outcome = outcomeRejected
	p := problem{Outcome: upstream.OutcomeNotRun}
	switch {
	case errors.Is(err, errBodyTooLarge):
		p.Status = http.StatusRequestEntityTooLarge
		p.Detail = "The body of a request that may not be repeated is limited to 256 KiB."
	case errors.Is(err, errNoMemory):
		e.outcome = outcomeNotRun
		p = notRunProblem("Too many requests are waiting.", 0)
	case errors.Is(err, upstream.ErrDeadline):
		p.Status = http.StatusRequestTimeout
		p.Detail = "The body did not arrive before the deadline."
	default:
		p.Status = http.StatusBadRequest
		p.Detail = "The body could not be read."
	}
	writeProblem(e.w, p)
}

func (e *exchange) writeFailure(f *failure) {
	p := f.problem()
	e.outcome = outcomeNotRun
	if f.mayHaveRun {
		e.outcome = outcomeUnknown
	}
	writeProblem(e.w, p)
}

// newRequest returns the request to send to the upstream or a sibling, without a
// body.
func (e *exchange) newRequest(ctx context.Context) *http.Request {
	header := endToEnd(e.r.Header)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
	r := &http.Request{
		Method: e.r.Method,
		URL:    &url.URL{Path: e.r.URL.Path, RawPath: e.r.URL.RawPath, RawQuery: e.r.URL.RawQuery},
		Header: header,
		Host:   e.r.Host,
	}
	return r.WithContext(ctx)
}
