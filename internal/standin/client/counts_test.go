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

	lost    = answer{lost: true}
	refused = answer{status: 503, outcome: "not-run", retryAfter: 2 * clock.Second}
	unknown = answer{status: 504, outcome: "unknown"}
)

func ticket(name string) answer { return answer{status: 428, ticket: name} }

func right(k kind) answer { return answer{status: 200, service: k.service, number: 5} }

// TestRequestSteps guards against a client that runs a booking twice by itself,
// or counts an answer for what it is not.
func TestRequestSteps(t *testing.T) {
	other := right(bookingKind)
	other.number = 6
	for _, test := range []struct {
		name    string
		kind    kind
		answers []answer
		want    []step
	}{
		{"plain", bookingKind, []answer{ticket("a"), right(bookingKind)}, []step{{ticket: "a"}, {result: Completed}}},
		{
			"lost answer repeats the ticket", bookingKind,
			[]answer{ticket("a"), lost, right(bookingKind)},
			[]step{{ticket: "a"}, {wait: lostDelay, ticket: "a"}, {result: Completed}},
		},
		{
			"refusal takes a new ticket", bookingKind,
			[]answer{ticket("a"), refused, ticket("b"), right(bookingKind)},
			[]step{{ticket: "a"}, {wait: 2 * clock.Second}, {ticket: "b"}, {result: Completed}},
		},
		{
			"no new ticket after an attempt that may have run", bookingKind,
			[]answer{ticket("a"), lost, ticket("b")},
			[]step{{ticket: "a"}, {wait: lostDelay, ticket: "a"}, {result: Unknown}},
		},
		{"unknown stops a booking", bookingKind, []answer{ticket("a"), unknown}, []step{{ticket: "a"}, {result: Unknown}}},
		{
			"unknown repeats a weigh-in", weighInKind,
			[]answer{unknown, right(weighInKind)},
			[]step{{wait: lostDelay}, {result: Completed}},
		},
		{"other service", weighInKind, []answer{right(bookingKind)}, []step{{result: Misrouted}}},
		{"path of another service", weighInKind, []answer{{status: 404}}, []step{{result: Misrouted}}},
		{"other request", bookingKind, []answer{ticket("a"), other}, []step{{ticket: "a"}, {result: MismatchedResponse}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRequest(test.kind, 5)
			for i, a := range test.answers {
				c.Check(r.next(a) == test.want[i], qt.IsTrue, qt.Commentf("answer %d", i))
			}
		})
	}
}

// TestRequestsEnd guards against requests that are repeated for ever.
func TestRequestsEnd(t *testing.T) {
	c := qt.New(t)
	last := func(a answer) (result Result, attempts int) {
		r := newRequest(weighInKind, 5)
		for result == 0 {
			result = r.next(a).result
			attempts++
		}
		return result, attempts
	}
	result, attempts := last(lost)
	c.Check(result, qt.Equals, Unknown)
	c.Check(attempts, qt.Equals, maxLost+1)
	result, attempts = last(refused)
	c.Check(result, qt.Equals, NotRun)
	c.Check(attempts, qt.Equals, maxRefusals+1)
	r := newRequest(bookingKind, 5)
	r.next(ticket("a"))
	c.Check(r.giveUp(), qt.Equals, Unknown)
	r.next(refused)
	c.Check(r.giveUp(), qt.Equals, NotRun)
}

// TestBoardFaults guards against boards that count as intact although a number
// was skipped, an event was another board's or the stream fell silent.
func TestBoardFaults(t *testing.T) {
	c := qt.New(t)
	open := func() *board {
		b := newBoard("grower-portal", 5, 3*clock.Second, 0)
		b.event("grower-portal", 5, 1, 1)
		return b
	}
	b := open()
	b.event("grower-portal", 5, 2, 2)
	c.Check(b.closed(3), qt.Equals, Completed)
	b = open()
	b.event("grower-portal", 5, 3, 2)
	c.Check(b.closed(3), qt.Equals, BrokenFlow)
	b = open()
	b.event("grower-portal", 6, 2, 2)
	c.Check(b.ended(), qt.Equals, MismatchedResponse)
	b = open()
	b.event("weighbridge", 5, 2, 2)
	c.Check(b.closed(3), qt.Equals, Misrouted)
	c.Check(open().ended(), qt.Equals, BrokenFlow)
	c.Check(open().closed(4*clock.Second), qt.Equals, BrokenFlow)
	b = open()
	b.event("grower-portal", 5, 2, 4*clock.Second)
	c.Check(b.closed(4*clock.Second), qt.Equals, BrokenFlow)
}

// TestCountsAddUp guards against results that are counted under another name.
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

// TestArrivalsFollowSeed guards against load that differs between runs of one
// seed or does not have the wanted rate.
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

// TestOnlyAnsweredFlowsAreInterrupted guards against a lost answer that counts as
// an interruption although the request cannot have been in progress, and against
// one that does not count although it may have been.
func TestOnlyAnsweredFlowsAreInterrupted(t *testing.T) {
	c := qt.New(t)
	l := &load{counts: map[string]*Counts{}, reasons: map[string]int{}, answered: map[*http3.Transport]bool{}}
	known, fresh := &http3.Transport{}, &http3.Transport{}
	l.heard(known)
	closed := errors.New("closed")
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	l.lost(context.Background(), bookingKind, fresh, closed)
	l.lost(context.Background(), bookingKind, known, &http3.Error{ErrorCode: http3.ErrCodeRequestRejected})
	l.lost(ended, bookingKind, known, closed)
	c.Check(l.countsOf(bookingKind).Interrupted, qt.Equals, 0)
	c.Check(l.lost(context.Background(), bookingKind, known, closed), qt.Equals, answer{lost: true})
	c.Check(l.countsOf(bookingKind).Interrupted, qt.Equals, 1)
}
