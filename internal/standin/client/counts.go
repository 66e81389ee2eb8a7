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
	// Repeats counts attempts that were repeated because their response was lost.
	Refusals int `json:"refusals"`
	Repeats  int `json:"repeats"`
	// Interrupted counts lost responses on flows that had responded before, so
	// that the request may have been in progress.
	Interrupted int `json:"interrupted,omitempty"`
}

// Booking is the result of one booking. Refusals counts its responses with the
// outcome "not-run".
type Booking struct {
	Number   uint64 `json:"number"`
	Result   Result `json:"result"`
	Refusals int    `json:"refusals,omitempty"`
}

// Report holds the counts since the start, by the name of the kind of work.
type Report struct {
	Elapsed clock.Millis      `json:"elapsed-ms"`
	Final   bool              `json:"final"`
	Kinds   map[string]Counts `json:"kinds"`
	// Bookings and BrokenBoards are set only in the final report.
	// BrokenBoards holds the numbers of the boards with the result BrokenFlow.
	Bookings     []Booking `json:"bookings,omitempty"`
	BrokenBoards []uint64  `json:"broken-boards,omitempty"`
	// Reasons counts lost responses by their error. It is set only in the final
	// report.
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
