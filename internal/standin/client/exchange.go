package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/quic-go/quic-go/http3"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const (
	ticketHeader         = "Request-Ticket"
	idempotencyKeyHeader = "Idempotency-Key"
	outcomeHeader        = "Outcome"

	maxResponseBytes = 1 << 20

	tracerName = "github.com/orioledyke/orioledyke/internal/standin/client"
)

// responseBody is the body of an upstream's response and the data of each event of a
// board.
type responseBody struct {
	Service  string `json:"service"`
	Number   uint64 `json:"number"`
	Sequence uint64 `json:"sequence"`
}

// flow is the QUIC connection that a request uses. Closing the flow leaves a shared
// connection open.
type flow struct {
	load      *load
	transport *http3.Transport
	shared    bool
}

// reconnect replaces the QUIC connection after a lost response, because the old
// connection may never carry a response again although new connections work.
func (f *flow) reconnect() {
	if f.shared {
		f.load.retire(f.transport)
	}
	f.close()
	f.transport, f.shared = f.load.newTransport(), false
}

func (f *flow) close() {
	if !f.shared {
		_ = f.transport.Close()
	}
}

// runRequest sends attempts of one booking or weigh-in until the request has a
// result, and counts the result.
func (l *load) runRequest(ctx context.Context, k kind, number uint64) {
	f := &flow{load: l, transport: l.sharedTransport(number), shared: true}
	if !k.repeatable {
		f.transport, f.shared = l.newTransport(), false
	}
	defer f.close()
	r := newRequest(k, number)
	l.finish(k, l.runAttempts(ctx, r, f, func(ticket string) attemptResponse { return l.sendAttempt(ctx, f.transport, r, ticket) }), r)
}

// runAttempts calls send for each attempt until the request has a result or ctx
// ends.
func (l *load) runAttempts(ctx context.Context, r *request, f *flow, send func(ticket string) attemptResponse) Result {
	ticket := ""
	for {
		a := send(ticket)
		if a.lost && ctx.Err() != nil {
			return r.cancelledResult()
		}
		s := r.next(a)
		if s.result != 0 {
			return s.result
		}
		if s.wait > 0 && !pause(ctx, s.wait) {
			return r.cancelledResult()
		}
		ticket = s.ticket
		if a.lost {
			f.reconnect()
		}
	}
}

// sendAttempt sends one attempt and reads the whole response.
func (l *load) sendAttempt(ctx context.Context, transport *http3.Transport, r *request, ticket string) attemptResponse {
	attemptCtx, cancel := context.WithTimeout(ctx, l.config.ResponseTimeout.Duration())
	defer cancel()
	response, err := l.roundTrip(attemptCtx, transport, r, ticket)
	if err != nil {
		return l.recordLost(ctx, r.kind, transport, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return l.recordLost(ctx, r.kind, transport, err)
	}
	l.markResponded(transport)
	a := parseHeader(response)
	if a.status != http.StatusOK {
		return a
	}
	var m responseBody
	if err := json.Unmarshal(body, &m); err != nil {
		return l.recordLost(ctx, r.kind, transport, err)
	}
	a.service, a.number = m.Service, m.Number
	return a
}

// roundTrip sends one attempt and returns as soon as the header of the response has
// arrived. The caller closes the body.
func (l *load) roundTrip(ctx context.Context, transport *http3.Transport, r *request, ticket string) (*http.Response, error) {
	method, url, body := http.MethodPost, "", fmt.Sprintf(`{"number":%d}`, r.number)
	switch r.kind.name {
	case weighIn.name:
		url = fmt.Sprintf("https://%s/weigh-ins", l.config.Weighbridge)
	case boardKind.name:
		method, body = http.MethodGet, ""
		url = fmt.Sprintf("https://%s/board?number=%d", l.config.GrowerPortal, r.number)
	default:
		url = fmt.Sprintf("https://%s/bookings", l.config.GrowerPortal)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	if body == "" {
		request.Body = nil
	} else {
		request.Header.Set("Content-Type", "application/json")
	}
	if ticket != "" {
		request.Header.Set(idempotencyKeyHeader, ticket)
	}
	ctx, span := otel.Tracer(tracerName).Start(ctx, "client request", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return transport.RoundTrip(request)
}

func parseHeader(response *http.Response) attemptResponse {
	a := attemptResponse{
		status: response.StatusCode, outcome: response.Header.Get(outcomeHeader), ticket: response.Header.Get(ticketHeader),
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = clock.Millis(seconds * float64(clock.Second))
	}
	return a
}

// runBoard opens a board, checks its events and counts the result. The client closes
// the board when ctx ends.
func (l *load) runBoard(ctx context.Context, k kind, number uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &flow{load: l, transport: l.newTransport()}
	defer f.close()
	r := newRequest(k, number)
	var stream io.ReadCloser
	result := l.runAttempts(ctx, r, f, func(ticket string) attemptResponse {
		response, err := l.roundTripWithTimeout(ctx, f.transport, r, ticket)
		if err != nil {
			return l.recordLost(ctx, r.kind, f.transport, err)
		}
		a := parseHeader(response)
		if a.status == http.StatusOK {
			stream = response.Body
		} else {
			_ = response.Body.Close()
		}
		return a
	})
	if stream != nil {
		result = l.readBoard(ctx, stream, newBoard(k.service, number, l.config.StallLimit, l.clock.Now()))
		_ = stream.Close()
	}
	l.finish(k, result, r)
}

// roundTripWithTimeout is like roundTrip, but fails if the header of the response
// does not arrive within ResponseTimeout. It does not limit how long the body is
// read.
func (l *load) roundTripWithTimeout(ctx context.Context, transport *http3.Transport, r *request, ticket string) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(l.config.ResponseTimeout.Duration(), cancel)
	response, err := l.roundTrip(ctx, transport, r, ticket)
	if !timer.Stop() && err == nil {
		_ = response.Body.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return response, nil
}

// readBoard checks the events of a board until ctx or the stream ends.
func (l *load) readBoard(ctx context.Context, stream io.Reader, b *board) Result {
	scanner := bufio.NewScanner(stream)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		var m responseBody
		if err := json.Unmarshal([]byte(data), &m); err != nil {
			return b.endedEarly()
		}
		b.checkEvent(m.Service, m.Number, m.Sequence, l.clock.Now())
	}
	if ctx.Err() != nil {
		return b.closedByClient(l.clock.Now())
	}
	return b.endedEarly()
}
