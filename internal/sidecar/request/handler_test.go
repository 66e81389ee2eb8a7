package request_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

// TestLateResponses guards against a client that gets the response to the request of
// another client, when responses arrive late and out of order.
func TestLateResponses(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	n.handler.SetService(testService(c, strings.Replace(testContract, "slots: 1", "slots: 8", 1)))
	var jobs []*upstreamRequest
	var replies []<-chan clientResponse
	for i := range 8 {
		replies = append(replies, async(func() clientResponse { return n.get(fmt.Sprintf("/lists/%d", i)) }))
		jobs = append(jobs, <-n.upstream.arrived)
	}
	for i := range jobs {
		last := jobs[len(jobs)-1-i]
		last.reply(last.r.URL.Path)
	}
	for i, r := range replies {
		c.Assert((<-r).body, qt.Equals, fmt.Sprintf("/lists/%d", i))
	}
}

// TestUnknownKind guards against requests that reach the upstream although their kind
// is not in the contract, also when a path that is not canonical disguises them.
func TestUnknownKind(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	for _, path := range []string{"/", "/lists/../admin", "/lists/%2e%2e/admin", "/lists//x"} {
		c.Assert(n.get(path).status, qt.Equals, http.StatusNotFound, qt.Commentf("%s", path))
	}
	c.Assert(n.do(context.Background(), http.MethodDelete, "/lists/1", "", "").status, qt.Equals, http.StatusNotFound)
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(0))
}

// TestDeadline guards against requests that run or stay queued after their clients
// have stopped waiting.
func TestDeadline(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	first := async(func() clientResponse { return n.get("/lists/1") })
	job := <-n.upstream.arrived
	c.Assert(job.r.Header.Get("Request-Timeout"), qt.Equals, "10000")
	n.advance(clock.Second)
	second := async(func() clientResponse { return n.get("/lists/2") })
	n.waitFor(func(l sibling.Load) bool { return l.Queued == 1 })
	n.advance(9 * clock.Second)
	c.Assert((<-first).header.Get("Outcome"), qt.Equals, "unknown")
	// The upstream sees the cancellation, and the slot goes to the next request.
	<-job.r.Context().Done()
	(<-n.upstream.arrived).reply("2")
	c.Assert((<-second).body, qt.Equals, "2")
}

// TestQueueOverflow guards against queued requests that cannot start in time, and
// against refusals without a Retry-After.
func TestQueueOverflow(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	first := async(func() clientResponse { return n.get("/lists/1") })
	job := <-n.upstream.arrived
	n.advance(8 * clock.Second)
	job.reply("slow")
	c.Assert((<-first).status, qt.Equals, http.StatusOK)
	n.waitFor(func(l sibling.Load) bool { return l.InUse == 0 })
	replies := make(chan clientResponse)
	for i := range 20 {
		go func() { replies <- n.get(fmt.Sprintf("/lists/%d", i)) }()
	}
	// At the measured service time of 1.1 s, one request runs, 8 can start before the
	// deadline, and 11 cannot.
	busy := <-n.upstream.arrived
	assertRefused := func(count int) {
		for range count {
			got := <-replies
			c.Assert(got.header.Get("Outcome"), qt.Equals, "not-run")
			c.Assert(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
	}
	assertRefused(11)
	c.Assert(n.handler.Load(), qt.Equals, sibling.Load{InUse: 1, Queued: 8})
	n.advance(9 * clock.Second)
	assertRefused(8)
	busy.reply("late")
	c.Assert((<-replies).body, qt.Equals, "late")
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(2))
}

// TestStream guards against streams that use the slots of other requests, that are
// delivered late, or that are opened without limit.
func TestStream(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	var parts []chan string
	var streams []*bufio.Reader
	for range 2 {
		opened := make(chan *http.Response, 1)
		go func() {
			response, err := n.clientServer.Client().Get(n.clientServer.URL + "/boards/1")
			c.Check(err, qt.IsNil)
			opened <- response
		}()
		stream := make(chan string)
		parts = append(parts, stream)
		job := <-n.upstream.arrived
		job.respond <- func(w http.ResponseWriter) {
			_ = http.NewResponseController(w).Flush()
			for part := range stream {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
			}
		}
		// The header arrives before the first part of the body.
		response := <-opened
		defer response.Body.Close()
		streams = append(streams, bufio.NewReader(response.Body))
	}
	c.Assert(n.get("/boards/1").status, qt.Equals, http.StatusServiceUnavailable)
	n.advance(clock.Minute)
	list := async(func() clientResponse { return n.get("/lists/1") })
	(<-n.upstream.arrived).reply("list")
	c.Assert((<-list).body, qt.Equals, "list")
	for i, stream := range streams {
		for range 2 {
			parts[i] <- "full\n"
			line, err := stream.ReadString('\n')
			c.Assert(err, qt.IsNil)
			c.Assert(line, qt.Equals, "full\n")
		}
		close(parts[i])
		_, err := stream.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
	}
}

// TestBrokenResponse guards against an incomplete response that looks complete.
func TestBrokenResponse(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	first := async(func() clientResponse { return n.get("/lists/1") })
	(<-n.upstream.arrived).respond <- func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	c.Assert((<-first).err, qt.Not(qt.IsNil))
}

// TestRetryBudget guards against retries above 10% of first attempts, and against a
// repeatable request that is never retried.
func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	go func() {
		for job := range n.upstream.arrived {
			job.abort()
		}
	}()
	for range 100 {
		c.Assert(n.get("/lists/1").header.Get("Outcome"), qt.Equals, "unknown")
	}
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(110))
}

// TestUnreachable guards against the outcome "unknown" for a request whose connection
// to the upstream was never opened, and against a refused request that runs when it is
// repeated.
func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	key := n.ticket()
	n.upstream.server.Close()
	for range 2 {
		c.Assert(n.hold(key, "willow").header.Get("Outcome"), qt.Equals, "not-run")
	}
	c.Assert(n.get("/lists/1").header.Get("Outcome"), qt.Equals, "not-run")
	c.Assert(n.handler.Weight(), qt.Equals, 1)
}

// TestHeaders guards against hop-by-hop headers that are forwarded, and against clients
// that send the headers that only siblings may send.
func TestHeaders(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	r, err := http.NewRequest(http.MethodPost, n.clientServer.URL+"/holds/1?x=1", nil)
	c.Assert(err, qt.IsNil)
	r.Header = http.Header{
		"Connection": {"X-Private"}, "X-Private": {"1"}, "Te": {"trailers"}, "Orioledyke-Hop": {"hand-off"},
		"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
	}
	first := n.send(r)
	c.Assert(first.status, qt.Equals, http.StatusPreconditionRequired)
	r.Header.Set("Idempotency-Key", first.header.Get("Request-Ticket"))
	done := async(func() clientResponse { return n.send(r) })
	job := <-n.upstream.arrived
	c.Assert(job.r.RequestURI, qt.Equals, "/holds/1?x=1")
	for _, name := range []string{"X-Private", "Te", "Orioledyke-Hop", "Connection"} {
		c.Assert(job.r.Header.Get(name), qt.Equals, "", qt.Commentf("%s", name))
	}
	c.Assert(job.r.Header.Get("Traceparent"), qt.Contains, "0af7651916cd43dd8448eb211c80319c")
	job.respond <- func(w http.ResponseWriter) {
		w.Header()["Keep-Alive"] = []string{"timeout=5"}
		w.Header().Set("Etag", "e")
		w.WriteHeader(http.StatusCreated)
	}
	got := <-done
	c.Assert(got.status, qt.Equals, http.StatusCreated)
	c.Assert(got.header.Get("Keep-Alive"), qt.Equals, "")
	c.Assert(got.header.Get("Etag"), qt.Equals, "e")
}

// TestDrainingUpstream guards against new requests to an upstream that drains although
// its sidecar is not leaving. It also guards against an upstream that gets no requests
// because of the report of its health endpoint alone, which can be wrong.
func TestDrainingUpstream(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	n.advance(30 * clock.Second)
	probe := func(health string, applied func(weight int) bool) {
		n.probes <- struct{}{}
		(<-n.upstream.arrived).reply(health)
		for !applied(n.handler.Weight()) {
			n.ticks <- struct{}{}
		}
	}
	probe("draining", func(weight int) bool { return weight == upstream.MinWeight })
	served := async(func() clientResponse { return n.get("/lists/1") })
	(<-n.upstream.arrived).reply("1")
	c.Assert((<-served).body, qt.Equals, "1")

	refused := async(func() clientResponse { return n.get("/lists/2") })
	(<-n.upstream.arrived).respond <- func(w http.ResponseWriter) {
		w.Header().Set("Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	c.Assert((<-refused).header.Get("Outcome"), qt.Equals, "not-run")
	runs := n.upstream.runs.Load()
	afterRefusal := async(func() clientResponse { return n.get("/lists/3") })
	select {
	case job := <-n.upstream.arrived:
		job.reply("3")
		c.Fatal("a draining upstream got a new request after it had refused one")
	case got := <-afterRefusal:
		c.Assert(got.header.Get("Outcome"), qt.Equals, "not-run")
	}
	c.Assert(n.upstream.runs.Load(), qt.Equals, runs)

	probe("ok", func(weight int) bool { return weight > upstream.MinWeight })
	afterDrain := async(func() clientResponse { return n.get("/lists/4") })
	(<-n.upstream.arrived).reply("4")
	c.Assert((<-afterDrain).body, qt.Equals, "4")
}
