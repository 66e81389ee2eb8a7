package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/quic-go/quic-go/http3"
)

var (
	bookingKind = kind{name: "booking", service: "grower-portal"}
	weighInKind = kind{name: "weigh-in", service: "weighbridge", repeatable: true}

	lost    = attemptResponse{lost: true}
	refused = attemptResponse{status: 503, outcome: "not-run", retryAfter: 2 * clock.Second}
	unknown = attemptResponse{status: 504, outcome: "unknown"}
)

func ticket(name string) attemptResponse { return attemptResponse{status: 428, ticket: name} }

func correct(k kind) attemptResponse {
	return attemptResponse{status: 200, service: k.service, number: 5}
}

// TestRequestSteps guards against a client whose own retries run a booking twice,
// and against a response that is counted under the wrong result.
func TestRequestSteps(t *testing.T) {
	other := correct(bookingKind)
	other.number = 6
	for _, test := range []struct {
		name      string
		kind      kind
		responses []attemptResponse
		want      []step
	}{
		{"plain", bookingKind, []attemptResponse{ticket("a"), correct(bookingKind)}, []step{{ticket: "a"}, {result: Completed}}},
		{
			"retry with the same ticket after a lost response", bookingKind,
			[]attemptResponse{ticket("a"), lost, correct(bookingKind)},
			[]step{{ticket: "a"}, {wait: retryDelay, ticket: "a"}, {result: Completed}},
		},
		{
			"new ticket after a refusal", bookingKind,
			[]attemptResponse{ticket("a"), refused, ticket("b"), correct(bookingKind)},
			[]step{{ticket: "a"}, {wait: 2 * clock.Second}, {ticket: "b"}, {result: Completed}},
		},
		{
			"no new ticket after an attempt that may have run", bookingKind,
			[]attemptResponse{ticket("a"), lost, ticket("b")},
			[]step{{ticket: "a"}, {wait: retryDelay, ticket: "a"}, {result: Unknown}},
		},
		{"a booking ends after outcome unknown", bookingKind, []attemptResponse{ticket("a"), unknown}, []step{{ticket: "a"}, {result: Unknown}}},
		{
			"a weigh-in is retried after outcome unknown", weighInKind,
			[]attemptResponse{unknown, correct(weighInKind)},
			[]step{{wait: retryDelay}, {result: Completed}},
		},
		{"response of another service", weighInKind, []attemptResponse{correct(bookingKind)}, []step{{result: Misrouted}}},
		{"status 404 from another service", weighInKind, []attemptResponse{{status: 404}}, []step{{result: Misrouted}}},
		{"response to another request", bookingKind, []attemptResponse{ticket("a"), other}, []step{{ticket: "a"}, {result: MismatchedResponse}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRequest(test.kind, 5)
			for i, a := range test.responses {
				c.Check(r.next(a) == test.want[i], qt.IsTrue, qt.Commentf("response %d", i))
			}
		})
	}
}

// TestRequestsEnd guards against requests that are retried without end.
func TestRequestsEnd(t *testing.T) {
	c := qt.New(t)
	respondUntilEnd := func(a attemptResponse) (result Result, attempts int) {
		r := newRequest(weighInKind, 5)
		for result == 0 {
			result = r.next(a).result
			attempts++
		}
		return result, attempts
	}
	result, attempts := respondUntilEnd(lost)
	c.Check(result, qt.Equals, Unknown)
	c.Check(attempts, qt.Equals, maxRepeats+1)
	result, attempts = respondUntilEnd(refused)
	c.Check(result, qt.Equals, NotRun)
	c.Check(attempts, qt.Equals, maxRefusals+1)
	r := newRequest(bookingKind, 5)
	r.next(ticket("a"))
	c.Check(r.cancelledResult(), qt.Equals, Unknown)
	r.next(refused)
	c.Check(r.cancelledResult(), qt.Equals, NotRun)
}

// TestBoardFaults guards against boards that count as intact although a sequence
// number was skipped, an event belonged to another board or service, or the stream
// stalled.
func TestBoardFaults(t *testing.T) {
	c := qt.New(t)
	open := func() *board {
		b := newBoard("grower-portal", 5, 3*clock.Second, 0)
		b.checkEvent("grower-portal", 5, 1, 1)
		return b
	}
	b := open()
	b.checkEvent("grower-portal", 5, 2, 2)
	c.Check(b.closedByClient(3), qt.Equals, Completed)
	b = open()
	b.checkEvent("grower-portal", 5, 3, 2)
	c.Check(b.closedByClient(3), qt.Equals, BrokenFlow)
	b = open()
	b.checkEvent("grower-portal", 6, 2, 2)
	c.Check(b.endedEarly(), qt.Equals, MismatchedResponse)
	b = open()
	b.checkEvent("weighbridge", 5, 2, 2)
	c.Check(b.closedByClient(3), qt.Equals, Misrouted)
	c.Check(open().endedEarly(), qt.Equals, BrokenFlow)
	c.Check(open().closedByClient(4*clock.Second), qt.Equals, BrokenFlow)
	b = open()
	b.checkEvent("grower-portal", 5, 2, 4*clock.Second)
	c.Check(b.closedByClient(4*clock.Second), qt.Equals, BrokenFlow)
}

// TestCountsAddUp guards against results that are counted in the wrong field, and
// against a total that leaves out a kind of work or a result.
func TestCountsAddUp(t *testing.T) {
	c := qt.New(t)
	var a, b Counts
	for i, result := range []Result{Completed, NotRun, Unknown, Misrouted, MismatchedResponse, BrokenFlow} {
		for range i + 1 {
			a.add(result)
		}
	}
	b.add(Completed)
	report := Report{Kinds: map[string]Counts{"booking": a, "weigh-in": b}}
	c.Check(report.Total(), qt.Equals, Counts{
		Completed: 2, NotRun: 2, Unknown: 3, Misrouted: 4, MismatchedResponses: 5, BrokenFlows: 6,
	})
}

// TestArrivalsFollowSeed guards against arrival times that differ between two runs
// with the same seed, and against a load that misses the configured rate.
func TestArrivalsFollowSeed(t *testing.T) {
	c := qt.New(t)
	times := func(seed uint64) []clock.Millis {
		return arrivals(rand.New(rand.NewPCG(seed, 0)), 50, 100*clock.Second)
	}
	c.Check(times(1), qt.DeepEquals, times(1))
	c.Check(times(2), qt.Not(qt.DeepEquals), times(1))
	count := len(times(1))
	c.Check(count > 4800 && count < 5200, qt.IsTrue, qt.Commentf("%d arrivals", count))
	c.Check(arrivals(nil, 0, clock.Second), qt.HasLen, 0)
}

// TestLostResponsesCountedAsInterrupted guards against a lost response that counts as
// an interruption although the request cannot have been in progress. It also guards
// against one that does not count although the request may have been in progress.
func TestLostResponsesCountedAsInterrupted(t *testing.T) {
	c := qt.New(t)
	l := &load{counts: map[string]*Counts{}, reasons: map[string]int{}, responded: map[*http3.Transport]bool{}}
	responding, unused := &http3.Transport{}, &http3.Transport{}
	l.markResponded(responding)
	closed := errors.New("closed")
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	l.recordLost(context.Background(), bookingKind, unused, closed)
	l.recordLost(context.Background(), bookingKind, responding, &http3.Error{ErrorCode: http3.ErrCodeRequestRejected})
	l.recordLost(ended, bookingKind, responding, closed)
	c.Check(l.countsOf(bookingKind).Interrupted, qt.Equals, 0)
	c.Check(l.recordLost(context.Background(), bookingKind, responding, closed), qt.Equals, attemptResponse{lost: true})
	c.Check(l.countsOf(bookingKind).Interrupted, qt.Equals, 1)
}
