package demo

import (
	"fmt"

	"github.com/orioledyke/orioledyke/internal/standin/client"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
)

// outcome is what the clients and upstreams observed in one run of the demo.
type outcome struct {
	counts client.Counts
	// runTwice counts bookings that ran more than once.
	runTwice int
}

// newOutcome combines the final counts of the clients with the number of times
// that each upstream ran each booking.
func newOutcome(counts client.Counts, runs []upstream.Runs) outcome {
	total := map[uint64]int{}
	for _, r := range runs {
		for number, count := range r.Runs {
			total[number] += count
		}
	}
	o := outcome{counts: counts}
	for _, count := range total {
		if count > 1 {
			o.runTwice++
		}
	}
	return o
}

// passed reports whether at least one request completed, and none was misrouted,
// received the response to another request, ran twice or lost its flow.
func (o outcome) passed() bool {
	return o.counts.Completed > 0 && o.counts.Misrouted == 0 && o.counts.MismatchedResponses == 0 &&
		o.runTwice == 0 && o.counts.BrokenFlows == 0
}

// String returns the last line that the demo prints.
func (o outcome) String() string {
	return fmt.Sprintf("demo: requests=%d completed=%d not-run=%d unknown=%d misrouted=%d neighbour-answers=%d run-twice=%d broken-flows=%d",
		o.counts.Requests, o.counts.Completed, o.counts.NotRun, o.counts.Unknown,
		o.counts.Misrouted, o.counts.MismatchedResponses, o.runTwice, o.counts.BrokenFlows)
}

// progress returns the line that the demo prints every second.
func progress(r client.Report) string {
	c := r.Total()
	return fmt.Sprintf("demo: time=%ds requests=%d completed=%d not-run=%d unknown=%d misrouted=%d neighbour-answers=%d broken-flows=%d refusals=%d repeats=%d",
		int(r.Elapsed.Duration().Seconds()), c.Requests, c.Completed, c.NotRun, c.Unknown,
		c.Misrouted, c.MismatchedResponses, c.BrokenFlows, c.Refusals, c.Repeats)
}
