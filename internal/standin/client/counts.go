package client

import "github.com/orioledyke/orioledyke/internal/common/clock"

// Result is the final state of a request after all its attempts.
type Result uint8

// Results of requests. Zero means that the request is not finished. BrokenFlow
// applies to boards only.
const (
	// Completed is a request that got the right response, or a board that was
	// intact until the client closed it.
	Completed Result = iota + 1
	// NotRun is a request that certainly did not run: it was refused until the
	// client stopped trying.
	NotRun
	// Unknown is a request that may or may not have run.
	Unknown
	// Misrouted is a request that reached another service than its own.
	Misrouted
	// MismatchedResponse is a response that belongs to another request.
	MismatchedResponse
	// BrokenFlow is a board that ended, failed, stalled or skipped a sequence
	// number while the client wanted it open.
	BrokenFlow
)

// Counts holds the number of requests of one kind of work, by result.
type Counts struct {
	Requests            int `json:"requests"`
	Completed           int `json:"completed"`
	NotRun              int `json:"not-run"`
	Unknown             int `json:"unknown"`
	Misrouted           int `json:"misrouted"`
	MismatchedResponses int `json:"neighbour-answers"`
	BrokenFlows         int `json:"broken-flows"`
	// Refusals and Repeats count attempts and are not results.
	// Refusals counts responses with the outcome "not-run".
	// Repeats counts attempts whose response was lost, was a server error other than
	// a refusal, or carried a new ticket although the attempt presented one. The
	// client repeats a request after such an attempt, up to a limit.
	Refusals int `json:"refusals"`
	Repeats  int `json:"repeats"`
	// Interrupted counts lost responses on flows that had carried a response before,
	// so that the request may have been in progress.
	Interrupted int `json:"interrupted,omitempty"`
}

// Booking is the result of one booking.
type Booking struct {
	Number uint64 `json:"number"`
	Result Result `json:"result"`
	// Refusals counts the responses with the outcome "not-run".
	Refusals int `json:"refusals,omitempty"`
}

// Report holds the counts since the start of the load.
type Report struct {
	Elapsed clock.Millis `json:"elapsed-ms"`
	Final   bool         `json:"final"`
	// Kinds holds the counts by the name of the kind of work.
	Kinds map[string]Counts `json:"kinds"`
	// Bookings and BrokenBoards are set only in the final report.
	// BrokenBoards holds the numbers of the boards with the result BrokenFlow.
	Bookings     []Booking `json:"bookings,omitempty"`
	BrokenBoards []uint64  `json:"broken-boards,omitempty"`
	// Reasons counts lost responses by kind of work and error. It is set only in the
	// final report.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Total returns the sum over all kinds of work.
func (r Report) Total() Counts {
	var total Counts
	for _, k := range r.Kinds {
		total.Requests += k.Requests
		total.Completed += k.Completed
		total.NotRun += k.NotRun
		total.Unknown += k.Unknown
		total.Misrouted += k.Misrouted
		total.MismatchedResponses += k.MismatchedResponses
		total.BrokenFlows += k.BrokenFlows
		total.Refusals += k.Refusals
		total.Repeats += k.Repeats
		total.Interrupted += k.Interrupted
	}
	return total
}

func (c *Counts) add(result Result) {
	switch result {
	case Completed:
		c.Completed++
	case NotRun:
		c.NotRun++
	case Unknown:
		c.Unknown++
	case Misrouted:
		c.Misrouted++
	case MismatchedResponse:
		c.MismatchedResponses++
	case BrokenFlow:
		c.BrokenFlows++
	}
}
