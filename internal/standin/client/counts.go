package client

import "github.com/orioledyke/orioledyke/internal/common/clock"

// Result is what became of a request.
type Result uint8

// Results of requests. BrokenFlow applies to boards only.
const (
	// Completed is the right answer to the request, or a board that was intact
	// until the client closed it.
	Completed Result = iota + 1
	// NotRun is a request that was refused until the client gave up.
	NotRun
	// Unknown is a request that may have run.
	Unknown
	// Misrouted is a request that reached another service.
	Misrouted
	// MismatchedResponse is a response that belongs to another request.
	MismatchedResponse
	// BrokenFlow is a board that ended, failed, fell silent or skipped a number
	// while the client wanted it open.
	BrokenFlow
)

// Counts are the results of one kind of work.
type Counts struct {
	Requests            int `json:"requests"`
	Completed           int `json:"completed"`
	NotRun              int `json:"not-run"`
	Unknown             int `json:"unknown"`
	Misrouted           int `json:"misrouted"`
	MismatchedResponses int `json:"neighbour-answers"`
	BrokenFlows         int `json:"broken-flows"`
	// Refusals and Repeats count attempts: "not run" answers and answers that
	// were lost. They are no results.
	Refusals int `json:"refusals"`
	Repeats  int `json:"repeats"`
	// Interrupted counts those lost answers whose flow had answered before, so
	// that the request may have been in progress.
	Interrupted int `json:"interrupted,omitempty"`
}

// Booking is what became of one booking. Its refusals are answers "not run".
type Booking struct {
	Number   uint64 `json:"number"`
	Result   Result `json:"result"`
	Refusals int    `json:"refusals,omitempty"`
}

// Report holds the counts of every kind since the start.
type Report struct {
	Elapsed clock.Millis      `json:"elapsed-ms"`
	Final   bool              `json:"final"`
	Kinds   map[string]Counts `json:"kinds"`
	// Bookings and BrokenBoards are in the final report only.
	Bookings     []Booking `json:"bookings,omitempty"`
	BrokenBoards []uint64  `json:"broken-boards,omitempty"`
	// Reasons counts lost answers by their error.
	Reasons map[string]int `json:"reasons,omitempty"`
}

// Total returns the sum over all kinds.
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
