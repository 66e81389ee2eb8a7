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

// TestRepeatedTicket guards against a repeated request that runs again, and against a
// different request that uses or affects the ticket.
func TestRepeatedTicket(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	first := async(func() clientResponse { return n.hold(key, "willow") })
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

// TestLostResponse guards against a request that is lost or runs twice when its client
// disconnects before the response.
func TestLostResponse(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	ctx, cancel := context.WithCancel(context.Background())
	first := async(func() clientResponse { return n.do(ctx, http.MethodPost, "/holds/1", key, "willow") })
	job := <-n.upstream.arrived
	cancel()
	c.Assert((<-first).err, qt.Not(qt.IsNil))
	second := async(func() clientResponse { return n.hold(key, "willow") })
	job.reply("held")
	c.Assert((<-second).String(), qt.Equals, `200  "held"`)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestConcurrentRepeats guards against more than one run when a request arrives several
// times at once.
func TestConcurrentRepeats(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	var replies []<-chan clientResponse
	for range 16 {
		replies = append(replies, async(func() clientResponse { return n.hold(key, "willow") }))
	}
	(<-n.upstream.arrived).reply("held")
	for _, r := range replies {
		c.Assert((<-r).String(), qt.Equals, `200  "held"`)
	}
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestBrokenConnection guards against a second run after the connection to the upstream
// broke while the request may have run. It covers new and reused connections.
func TestBrokenConnection(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	for i := range int64(2) {
		key := n.ticket()
		first := async(func() clientResponse { return n.hold(key, "") })
		(<-n.upstream.arrived).reply("held")
		c.Assert((<-first).status, qt.Equals, http.StatusOK)
		key = n.ticket()
		second := async(func() clientResponse { return n.hold(key, "") })
		(<-n.upstream.arrived).abort()
		r := <-second
		c.Assert(r.status, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(r.header.Get("Outcome"), qt.Equals, "unknown")
		c.Assert(r.header.Get("Content-Type"), qt.Equals, "application/problem+json")
		c.Assert(n.hold(key, "").status, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(n.upstream.runs.Load(), qt.Equals, 2*(i+1))
	}
}

// TestNotRun guards against a repeated request that runs after its ticket was reported
// as not run.
func TestNotRun(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	first := async(func() clientResponse { return n.hold(key, "willow") })
	job := <-n.upstream.arrived
	job.respond <- func(w http.ResponseWriter) {
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
	again := async(func() clientResponse { return n.hold(r.header.Get("Request-Ticket"), "willow") })
	(<-n.upstream.arrived).reply("held")
	c.Assert((<-again).status, qt.Equals, http.StatusOK)
}

// TestLargeResponse guards against responses that are kept without limit, and against
// a second run of a request whose response was not kept.
func TestLargeResponse(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	text := strings.Repeat("w", 200_000)
	first := async(func() clientResponse { return n.hold(key, "willow") })
	(<-n.upstream.arrived).reply(text)
	c.Assert((<-first).body == text, qt.IsTrue)
	c.Assert(n.hold(key, "willow").status, qt.Equals, http.StatusConflict)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestLeaving guards against a leaving sidecar that starts new requests, and against
// the loss of requests in progress.
func TestLeaving(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	running, unseen := n.ticket(), n.ticket()
	first := async(func() clientResponse { return n.hold(running, "willow") })
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
	list := async(func() clientResponse { return n.get("/lists/1") })
	(<-n.upstream.arrived).reply("list")
	c.Assert((<-list).status, qt.Equals, http.StatusOK)
	n.advance(2 * clock.Second)
	c.Assert(n.get("/lists/1").header.Get("Outcome"), qt.Equals, "not-run")
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(2))
	c.Assert(n.handler.Drain(context.Background()), qt.IsNil)
}

// TestLeavingQueue guards against a leaving sidecar that starts queued requests after
// it has stopped starting new ones.
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

// leaveWithQueue makes the sidecar leave while one request is at the upstream and
// another one is queued.
func (n *node) leaveWithQueue() (busy *upstreamRequest, first, second <-chan clientResponse) {
	first = async(func() clientResponse { return n.get("/lists/1") })
	busy = <-n.upstream.arrived
	second = async(func() clientResponse { return n.get("/lists/2") })
	n.waitFor(func(l sibling.Load) bool { return l.Queued == 1 })
	n.handler.Leave()
	return busy, first, second
}

// TestLeavingQueueHandsOff guards against a leaving sidecar that refuses queued
// requests although a sibling has a free slot.
func TestLeavingQueueHandsOff(t *testing.T) {
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

// TestForward guards against a second run on a sidecar that the ticket does not name,
// and against the outcome not-run if the named sidecar may have run the request.
func TestForward(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	key := a.ticket()
	first := async(func() clientResponse { return b.hold(key, "willow") })
	(<-a.upstream.arrived).reply("held")
	c.Assert((<-first).String(), qt.Equals, `200  "held"`)
	c.Assert(a.hold(key, "willow").String(), qt.Equals, `200  "held"`)
	c.Assert(a.siblingServer.Close(), qt.IsNil)
	c.Assert(b.hold(key, "willow").header.Get("Outcome"), qt.Equals, "unknown")
	b.handler.SetSiblings(nil)
	c.Assert(b.hold(key, "willow").header.Get("Outcome"), qt.Equals, "unknown")
	c.Assert(a.upstream.runs.Load()+b.upstream.runs.Load(), qt.Equals, int64(1))
}

// TestHandOff guards against requests that are queued although a sibling has a free
// slot, against a second hop, and against a record of the ticket on a sidecar that the
// ticket does not name.
func TestHandOff(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	first := async(func() clientResponse { return a.get("/lists/1") })
	busy := <-a.upstream.arrived
	key := a.ticket()
	second := async(func() clientResponse { return a.hold(key, "willow") })
	(<-b.upstream.arrived).reply("held by b")
	c.Assert((<-second).String(), qt.Equals, `200  "held by b"`)
	c.Assert(a.hold(key, "willow").String(), qt.Equals, `200  "held by b"`)
	c.Assert(b.hold(key, "willow").String(), qt.Equals, `200  "held by b"`)

	// The sibling no longer has a free slot, so the request is queued here.
	blocking := async(func() clientResponse { return b.get("/lists/2") })
	busyB := <-b.upstream.arrived
	a.exchange.Receive(b.owner, sibling.Load{Slots: 1}.Encode(), 0)
	waiting := async(func() clientResponse { return a.get("/lists/3") })
	a.waitFor(func(l sibling.Load) bool { return l.Queued == 1 })
	busy.reply("1")
	(<-a.upstream.arrived).reply("3")
	busyB.reply("2")
	c.Assert((<-first).body+(<-blocking).body+(<-waiting).body, qt.Equals, "123")
}

// TestSiblingDies guards against a second run when the sibling that runs a request
// fails.
func TestSiblingDies(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	first := async(func() clientResponse { return a.get("/lists/1") })
	busy := <-a.upstream.arrived
	key := a.ticket()
	second := async(func() clientResponse { return a.hold(key, "willow") })
	<-b.upstream.arrived
	c.Assert(b.siblingServer.Close(), qt.IsNil)
	c.Assert((<-second).header.Get("Outcome"), qt.Equals, "unknown")
	busy.reply("1")
	c.Assert((<-first).status, qt.Equals, http.StatusOK)
	c.Assert(a.hold(key, "willow").header.Get("Outcome"), qt.Equals, "unknown")
	c.Assert(a.upstream.runs.Load()+b.upstream.runs.Load(), qt.Equals, int64(2))
}
