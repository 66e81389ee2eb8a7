package client

import (
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"

	// maxRefusals and maxLost end a request that has no chance in the time of a
	// run.
	maxRefusals = 10
	maxLost     = 4
	lostDelay   = 100 * clock.Millis(1)
	// defaultRetryAfter is used for a refusal without Retry-After.
	defaultRetryAfter = clock.Second
)

// kind describes one kind of work to the client.
type kind struct {
	name       string
	service    string
	repeatable bool
	stream     bool
}

// answer is what the client received for one attempt.
type answer struct {
	// lost is true if there was no complete answer.
	lost       bool
	status     int
	outcome    string
	retryAfter clock.Millis
	ticket     string
	// service and number name what was answered. They are empty for streams,
	// whose events carry them.
	service string
	number  uint64
}

// step tells what to do next: finish with a result, or wait and send again.
type step struct {
	result Result
	wait   clock.Millis
	ticket string
}

// request decides about the attempts of one request.
type request struct {
	kind     kind
	number   uint64
	ticket   string
	mayRun   bool
	refused  bool
	refusals int
	lost     int
}

func newRequest(k kind, number uint64) *request { return &request{kind: k, number: number} }

// next takes the answer to the last attempt.
func (r *request) next(a answer) step {
	if a.lost {
		return r.repeat()
	}
	switch {
	case a.status == http.StatusOK:
		return step{result: r.check(a)}
	case a.status == http.StatusPreconditionRequired && a.ticket != "":
		return r.withTicket(a.ticket)
	case a.outcome == outcomeNotRun:
		return r.refusedNotRun(a.retryAfter)
	case a.outcome == outcomeUnknown && !r.kind.repeatable:
		return step{result: Unknown}
	case a.status == http.StatusNotFound:
		// Every kind has a path that only its own service knows.
		return step{result: Misrouted}
	case a.status >= http.StatusInternalServerError:
		return r.repeat()
	default:
		return step{result: Unknown}
	}
}

// giveUp returns the result of a request that is ended before its answer.
func (r *request) giveUp() Result {
	if r.refused {
		return NotRun
	}
	return Unknown
}

func (r *request) check(a answer) Result {
	switch {
	case r.kind.stream:
		return Completed
	case a.service != r.kind.service:
		return Misrouted
	case a.number != r.number:
		return MismatchedResponse
	default:
		return Completed
	}
}

// withTicket presents a ticket. A second ticket after an attempt that may have
// run could run the request twice.
func (r *request) withTicket(ticket string) step {
	if r.mayRun && !r.kind.repeatable {
		return step{result: Unknown}
	}
	if r.ticket != "" {
		if r.lost++; r.lost > maxLost {
			return step{result: Unknown}
		}
	}
	r.ticket, r.refused = ticket, false
	return step{ticket: ticket}
}

// repeat sends the same attempt again with the same ticket.
func (r *request) repeat() step {
	r.refused = false
	r.mayRun = r.mayRun || r.ticket != ""
	if r.lost++; r.lost > maxLost {
		return step{result: Unknown}
	}
	return step{wait: lostDelay, ticket: r.ticket}
}

// refusedNotRun drops the ticket, which stays refused for ever.
func (r *request) refusedNotRun(retryAfter clock.Millis) step {
	r.ticket, r.mayRun, r.refused = "", false, true
	if r.refusals++; r.refusals > maxRefusals {
		return step{result: NotRun}
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return step{wait: retryAfter}
}
