package client

import (
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"

	// A request may be refused maxRefusals times and repeated maxRepeats times. One
	// more refusal or failed attempt ends the request, because it then has no chance
	// to complete within the duration of the load.
	maxRefusals = 10
	maxRepeats  = 4
	// retryDelay applies after a lost response and after a server error.
	retryDelay = 100 * clock.Millis(1)
	// defaultRetryAfter applies to a refusal without a Retry-After header.
	defaultRetryAfter = clock.Second
)

// kind is a kind of work that the client requests.
type kind struct {
	name    string
	service string
	// repeatable is true if running a request twice does no harm.
	repeatable bool
	// stream is true if the response is an event stream.
	stream bool
}

// attemptResponse is the response that the client received to one attempt.
type attemptResponse struct {
	// lost is true if no complete and valid response arrived. The other fields are
	// then empty.
	lost       bool
	status     int
	outcome    string
	retryAfter clock.Millis
	ticket     string
	// service and number identify the request to which the server responded.
	// They are empty for streams, because there the events carry them.
	service string
	number  uint64
}

// step is what the client does next. If the step has a result, the client finishes
// the request. Otherwise the client waits and sends the next attempt, with the ticket
// if there is one.
type step struct {
	result Result
	wait   clock.Millis
	ticket string
}

// request decides after each attempt of one request what to do next. It does not
// send anything itself.
type request struct {
	kind   kind
	number uint64
	ticket string
	// mayHaveRun is true if, since the last refusal, an attempt with a ticket lost its
	// response or got a server error.
	mayHaveRun bool
	// refused is true if the last attempt was refused without being run.
	refused  bool
	refusals int
	repeats  int
}

func newRequest(k kind, number uint64) *request { return &request{kind: k, number: number} }

// next returns the step that follows the response to the last attempt.
func (r *request) next(a attemptResponse) step {
	if a.lost {
		return r.retry()
	}
	switch {
	case a.status == http.StatusOK:
		return step{result: r.checkResponse(a)}
	case a.status == http.StatusPreconditionRequired && a.ticket != "":
		return r.withTicket(a.ticket)
	case a.outcome == outcomeNotRun:
		return r.retryWithoutTicket(a.retryAfter)
	case a.outcome == outcomeUnknown && !r.kind.repeatable:
		return step{result: Unknown}
	case a.status == http.StatusNotFound:
		// Each kind has a path that only its own service handles.
		return step{result: Misrouted}
	case a.status >= http.StatusInternalServerError:
		return r.retry()
	default:
		return step{result: Unknown}
	}
}

// cancelledResult returns the result of a request that the client ends early. It is
// NotRun if the last attempt was refused, and Unknown otherwise.
func (r *request) cancelledResult() Result {
	if r.refused {
		return NotRun
	}
	return Unknown
}

func (r *request) checkResponse(a attemptResponse) Result {
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

// withTicket returns the step that presents a ticket the server has issued.
// Presenting a new ticket after an attempt that may have run could run the request
// twice, so a request that is not repeatable ends as Unknown instead. A new ticket in
// response to an attempt that presented one counts as a repeat.
func (r *request) withTicket(ticket string) step {
	if r.mayHaveRun && !r.kind.repeatable {
		return step{result: Unknown}
	}
	if r.ticket != "" {
		if r.repeats++; r.repeats > maxRepeats {
			return step{result: Unknown}
		}
	}
	r.ticket, r.refused = ticket, false
	return step{ticket: ticket}
}

// retry returns the step that sends the attempt again with the same ticket.
func (r *request) retry() step {
	r.refused = false
	r.mayHaveRun = r.mayHaveRun || r.ticket != ""
	if r.repeats++; r.repeats > maxRepeats {
		return step{result: Unknown}
	}
	return step{wait: retryDelay, ticket: r.ticket}
}

// retryWithoutTicket drops the ticket, if there is one, because the server refuses it
// permanently. The next attempt is sent without a ticket after retryAfter.
func (r *request) retryWithoutTicket(retryAfter clock.Millis) step {
	r.ticket, r.mayHaveRun, r.refused = "", false, true
	if r.refusals++; r.refusals > maxRefusals {
		return step{result: NotRun}
	}
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return step{wait: retryAfter}
}
