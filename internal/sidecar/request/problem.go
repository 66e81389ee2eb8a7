package request

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

// Headers towards clients.
const (
	// TicketHeader carries a new ticket.
	TicketHeader = "Request-Ticket"
	// IdempotencyKeyHeader carries the ticket back.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// problem is a response without the upstream's work, as RFC 9457 describes it.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is the Outcome header, if any.
	Outcome    string `json:"outcome,omitempty"`
	retryAfter clock.Millis
	ticket     string
}

func notRun(detail string, retryAfter clock.Millis) problem {
	return problem{
		Status: http.StatusServiceUnavailable, Outcome: upstream.OutcomeNotRun,
		Detail: detail, retryAfter: max(retryAfter, clock.Second),
	}
}

func unknown(detail string) problem {
	return problem{Status: http.StatusGatewayTimeout, Outcome: upstream.OutcomeUnknown, Detail: detail}
}

// response returns p as it is recorded and sent.
func (p problem) response() ticket.Response {
	p.Type = "about:blank"
	p.Title = http.StatusText(p.Status)
	header := http.Header{"Content-Type": {"application/problem+json"}, "Cache-Control": {"no-store"}}
	if p.Outcome != "" {
		header.Set(upstream.OutcomeHeader, p.Outcome)
	}
	if p.retryAfter > 0 {
		seconds := (p.retryAfter + clock.Second - 1) / clock.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if p.ticket != "" {
		header.Set(TicketHeader, p.ticket)
	}
	// A struct of strings and numbers always has a JSON form.
	body, _ := json.Marshal(p)
	return ticket.Response{Status: p.Status, Header: header, Body: body}
}

func writeProblem(w http.ResponseWriter, p problem) {
	writeResponse(w, p.response())
}
