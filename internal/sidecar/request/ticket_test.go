package request_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
)

// TestRepeatedTicket guards against running work again for a repeated request,
// and against another request using up or disturbing a ticket.
func TestRepeatedTicket(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	first := async(func() reply { return n.hold(key, "willow") })
	job := <-n.upstream.arrived
	other := n.hold(key, "osier")
	c.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(job.body, qt.Equals, "willow")
	c.Assert(job.r.Header.Get("Idempotency-Key"), qt.Equals, "")
	job.reply("held")
	c.Assert((<-first).String(), qt.Equals, `200  "held"`)
	c.Assert(n.hold(key, "willow").String(), qt.Equals, `200  "held"`)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
	c.Assert(n.hold("forged", "willow").status, qt.Equals, http.StatusBadRequest)
}

// TestLostAnswer guards against losing or repeating work whose client went away
// before the answer.
func TestLostAnswer(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	ctx, cancel := context.WithCancel(context.Background())
	first := async(func() reply { return n.do(ctx, http.MethodPost, "/holds/1", key, "willow") })
	job := <-n.upstream.arrived
	cancel()
	c.Assert((<-first).err, qt.Not(qt.IsNil))
	second := async(func() reply { return n.hold(key, "willow") })
	job.reply("held")
	c.Assert((<-second).String(), qt.Equals, `200  "held"`)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestConcurrentRepeats guards against two of several simultaneous copies of a
// request both running.
func TestConcurrentRepeats(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	var replies []<-chan reply
	for range 16 {
		replies = append(replies, async(func() reply { return n.hold(key, "willow") }))
	}
	(<-n.upstream.arrived).reply("held")
	for _, r := range replies {
		c.Assert((<-r).String(), qt.Equals, `200  "held"`)
	}
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestBrokenConnection guards against a second run after the connection to the
// upstream broke on a request that may have run, also on a reused connection.
func TestBrokenConnection(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	for i := range int64(2) {
		key := n.ticket()
		first := async(func() reply { return n.hold(key, "") })
		(<-n.upstream.arrived).reply("held")
		c.Assert((<-first).status, qt.Equals, http.StatusOK)
		key = n.ticket()
		second := async(func() reply { return n.hold(key, "") })
		(<-n.upstream.arrived).breakOff()
		r := <-second
		c.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(r.header.Get("Outcome"), qt.Equals, "unknown")
		c.Assert(r.header.Get("Content-Type"), qt.Equals, "application/problem+json")
		c.Assert(n.hold(key, "").status, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(n.upstream.runs.Load(), qt.Equals, 2*(i+1))
	}
}

// TestNotRun guards against a later copy running after its ticket was refused as
// not run.
func TestNotRun(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	first := async(func() reply { return n.hold(key, "willow") })
	job := <-n.upstream.arrived
	job.answer <- func(w http.ResponseWriter) {
		w.Header().Set("Outcome", "not-run")
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	r := <-first
	c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(r.header.Get("Outcome"), qt.Equals, "not-run")
	c.Assert(r.header.Get("Retry-After"), qt.Equals, "7")
	c.Assert(n.hold(key, "willow").header.Get("Outcome"), qt.Equals, "not-run")
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
	again := async(func() reply { return n.hold(r.header.Get("Request-Ticket"), "willow") })
	(<-n.upstream.arrived).reply("held")
	c.Assert((<-again).status, qt.Equals, http.StatusOK)
}

// TestLargeResponse guards against keeping responses without limit and against a
// repeat of work whose response was not kept.
func TestLargeResponse(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	text := strings.Repeat("w", 200_000)
	first := async(func() reply { return n.hold(key, "willow") })
	(<-n.upstream.arrived).reply(text)
	c.Assert((<-first).body == text, qt.IsTrue)
	c.Assert(n.hold(key, "willow").status, qt.Equals, http.StatusConflict)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestLeaving guards against new work on a leaving sidecar and against losing the
// work in progress.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	running, unseen := n.ticket(), n.ticket()
	first := async(func() reply { return n.hold(running, "willow") })
	job := <-n.upstream.arrived
	n.handler.Leave()
	c.Assert(n.handler.Load().Leaving, qt.IsTrue)
	c.Assert(n.hold("", "").status, qt.Equals, http.StatusServiceUnavailable)
	r := n.hold(unseen, "osier")
	c.Assert(r.header.Get("Outcome"), qt.Equals, "not-run")
	c.Assert(r.header.Get("Request-Ticket"), qt.Equals, "")
	job.reply("held")
	c.Assert((<-first).status, qt.Equals, http.StatusOK)
	c.Assert(n.hold(running, "willow").status, qt.Equals, http.StatusOK)
	list := async(func() reply { return n.get("/lists/1") })
	(<-n.upstream.arrived).reply("list")
	c.Assert((<-list).status, qt.Equals, http.StatusOK)
	n.advance(2 * clock.Second)
	c.Assert(n.get("/lists/1").header.Get("Outcome"), qt.Equals, "not-run")
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(2))
	c.Assert(n.handler.Drain(context.Background()), qt.IsNil)
}

// TestLeavingQueue guards against work that a leaving sidecar queued and starts
// after it has stopped to take new work.
func TestLeavingQueue(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	b.handler.SetSiblings(nil)
	a.exchange.Receive(b.owner, sibling.Load{Leaving: true}.Encode(), 0)
	busy, first, second := a.leaveWithQueue()
	a.advance(2 * clock.Second)
	c.Assert((<-second).header.Get("Outcome"), qt.Equals, "not-run")
	busy.reply("1")
	c.Assert((<-first).body, qt.Equals, "1")
	c.Assert(a.upstream.runs.Load(), qt.Equals, int64(1))
}

// leaveWithQueue lets one request reach the upstream and another one queue, and
// makes the sidecar leave.
func (n *node) leaveWithQueue() (busy *work, first, second <-chan reply) {
	first = async(func() reply { return n.get("/lists/1") })
	busy = <-n.upstream.arrived
	second = async(func() reply { return n.get("/lists/2") })
	n.until(func(l sibling.Load) bool { return l.Queued == 1 })
	n.handler.Leave()
	return busy, first, second
}

// TestLeavingQueueMoves guards against a refusal of queued work when a sibling of a
// leaving sidecar has a free slot.
func TestLeavingQueueMoves(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	a.exchange.Receive(b.owner, sibling.Load{}.Encode(), 0)
	busy, first, second := a.leaveWithQueue()
	a.exchange.Receive(b.owner, sibling.Load{Slots: 1}.Encode(), 0)
	a.advance(2 * clock.Second)
	(<-b.upstream.arrived).reply("2")
	c.Assert((<-second).body, qt.Equals, "2")
	busy.reply("1")
	c.Assert((<-first).body, qt.Equals, "1")
	c.Assert(a.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestForward guards against a second run on a sidecar that the ticket does not
// name, and against "not run" where the named one may have run it.
func TestForward(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	key := a.ticket()
	first := async(func() reply { return b.hold(key, "willow") })
	(<-a.upstream.arrived).reply("held")
	c.Assert((<-first).String(), qt.Equals, `200  "held"`)
	c.Assert(a.hold(key, "willow").String(), qt.Equals, `200  "held"`)
	c.Assert(a.hops.Close(), qt.IsNil)
	c.Assert(b.hold(key, "willow").header.Get("Outcome"), qt.Equals, "unknown")
	b.handler.SetSiblings(nil)
	c.Assert(b.hold(key, "willow").header.Get("Outcome"), qt.Equals, "unknown")
	c.Assert(a.upstream.runs.Load()+b.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestHandOff guards against queueing beside a free slot of a sibling, against a
// second hop, and against a record outside the sidecar that the ticket names.
func TestHandOff(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	first := async(func() reply { return a.get("/lists/1") })
	busy := <-a.upstream.arrived
	key := a.ticket()
	second := async(func() reply { return a.hold(key, "willow") })
	(<-b.upstream.arrived).reply("held by b")
	c.Assert((<-second).String(), qt.Equals, `200  "held by b"`)
	c.Assert(a.hold(key, "willow").String(), qt.Equals, `200  "held by b"`)
	c.Assert(b.hold(key, "willow").String(), qt.Equals, `200  "held by b"`)

	// The sibling has no free slot any more: the work waits here.
	blocking := async(func() reply { return b.get("/lists/2") })
	busyB := <-b.upstream.arrived
	a.exchange.Receive(b.owner, sibling.Load{Slots: 1}.Encode(), 0)
	waiting := async(func() reply { return a.get("/lists/3") })
	a.until(func(l sibling.Load) bool { return l.Queued == 1 })
	busy.reply("1")
	(<-a.upstream.arrived).reply("3")
	busyB.reply("2")
	c.Assert((<-first).body+(<-blocking).body+(<-waiting).body, qt.Equals, "123")
}

// TestSiblingDies guards against a second run when the sibling that has the work
// dies in the middle.
func TestSiblingDies(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	first := async(func() reply { return a.get("/lists/1") })
	busy := <-a.upstream.arrived
	key := a.ticket()
	second := async(func() reply { return a.hold(key, "willow") })
	<-b.upstream.arrived
	c.Assert(b.hops.Close(), qt.IsNil)
	c.Assert((<-second).header.Get("Outcome"), qt.Equals, "unknown")
	busy.reply("1")
	c.Assert((<-first).status, qt.Equals, http.StatusOK)
	c.Assert(a.hold(key, "willow").header.Get("Outcome"), qt.Equals, "unknown")
	c.Assert(a.upstream.runs.Load()+b.upstream.runs.Load(), qt.Equals, int64(2))
}
