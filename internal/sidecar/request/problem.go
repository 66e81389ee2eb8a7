package request

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/ticket"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

// Headers of requests and responses of clients.
const (
	// TicketHeader is the response header with a new ticket.
	TicketHeader = "Request-Ticket"
	// IdempotencyKeyHeader is the request header in which the client sends the ticket.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// problem is a response of the sidecar itself, in the format of RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome is also sent as the Outcome header unless it is empty.
	Outcome    string `json:"outcome,omitempty"`
	retryAfter clock.Millis
	ticket     string
}

// notRunProblem describes a request that certainly did not run.
func notRunProblem(detail string, retryAfter clock.Millis) problem {
	return problem{
		Status: http.StatusServiceUnavailable, Outcome: upstream.OutcomeNotRun,
		Detail: detail, retryAfter: max(retryAfter, clock.Second),
	}
}

// unknownProblem describes a request that may have run.
func unknownProblem(detail string) problem {
	return problem{Status: http.StatusGatewayTimeout, Outcome: upstream.OutcomeUnknown, Detail: detail}
}

// response returns p as the response to record and send.
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
	// Encoding a struct of strings and numbers never fails.
	body, _ := json.Marshal(p)
	return ticket.Response{Status: p.Status, Header: header, Body: body}
}

func writeProblem(w http.ResponseWriter, p problem) {
	writeResponse(w, p.response())
}
