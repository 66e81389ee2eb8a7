package request_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestMisdirected guards against a request that runs on a process which has taken over
// the address of a sibling, and against a request that is lost for this reason.
func TestMisdirected(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	key := b.ticket()
	a.handler.SetSiblings([]sibling.Sibling{{Owner: 3, Control: b.control}})
	a.exchange.Receive(3, sibling.Load{Slots: 1}.Encode(), 0)
	first := async(func() clientResponse { return a.get("/lists/1") })
	busy := <-a.upstream.arrived
	second := async(func() clientResponse { return a.get("/lists/2") })
	a.waitFor(func(l sibling.Load) bool { return l.Queued == 1 })
	busy.reply("1")
	(<-a.upstream.arrived).reply("2")
	c.Assert((<-first).body+(<-second).body, qt.Equals, "12")
	// The sidecar that issued the ticket is no longer a sibling here.
	c.Assert(a.hold(key, "").header.Get("Outcome"), qt.Equals, "unknown")
	c.Assert(b.upstream.runs.Load(), qt.Equals, int64(0))
}

// TestForeignKeys guards against requests that are accepted from a process without the
// key ring.
func TestForeignKeys(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, 1, testKeys(c))
	secret := make([]byte, keyring.SecretSize)
	secret[0] = 1
	foreign, err := keyring.New(1, map[keyring.Generation][]byte{1: secret})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := sibling.NewClient(ctx, keyring.NewStore(foreign))
	r, err := http.NewRequest(http.MethodGet, "/lists/1", nil)
	c.Assert(err, qt.IsNil)
	to := sibling.Sibling{Owner: n.owner, Control: n.control}
	_, err = client.Do(ctx, to, sibling.Origin{Hop: sibling.HandedOff}, r)
	c.Assert(err, qt.ErrorMatches, "pass request to sibling: .*")
	c.Assert(n.upstream.runs.Load(), qt.Equals, int64(0))
}

// TestLeavingHandsOff guards against a leaving sidecar that refuses requests although a
// sibling has a free slot.
func TestLeavingHandsOff(t *testing.T) {
	c := qt.New(t)
	a, b := pair(c)
	a.handler.Leave()
	a.advance(3000)
	text := strings.Repeat("photo", 100_000)
	for _, body := range []string{"", text} {
		a.exchange.Receive(b.owner, sibling.Load{Slots: 1}.Encode(), 3000)
		done := async(func() clientResponse { return a.do(context.Background(), http.MethodGet, "/lists/1", "", body) })
		job := <-b.upstream.arrived
		c.Assert(job.body == body, qt.IsTrue)
		job.reply("list")
		c.Assert((<-done).status, qt.Equals, http.StatusOK)
	}
	c.Assert(a.upstream.runs.Load(), qt.Equals, int64(0))
}

// TestTrace guards against a hop without a span, and against a trace that ends at the
// sidecar.
func TestTrace(t *testing.T) {
	c := qt.New(t)
	spans := tracetest.NewSpanRecorder()
	provider, propagator := otel.GetTracerProvider(), otel.GetTextMapPropagator()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSpanProcessor(spans)))
	otel.SetTextMapPropagator(propagation.TraceContext{})
	c.Cleanup(func() {
		otel.SetTracerProvider(provider)
		otel.SetTextMapPropagator(propagator)
	})
	a, b := pair(c)
	first := async(func() clientResponse { return a.get("/lists/1") })
	busy := <-a.upstream.arrived
	second := async(func() clientResponse { return a.get("/lists/2") })
	job := <-b.upstream.arrived
	job.reply("2")
	busy.reply("1")
	c.Assert((<-first).body+(<-second).body, qt.Equals, "12")
	c.Assert(a.handler.Drain(context.Background()), qt.IsNil)
	c.Assert(b.handler.Drain(context.Background()), qt.IsNil)
	names := map[string]int{}
	for _, span := range spans.Ended() {
		if strings.Contains(job.r.Header.Get("Traceparent"), span.SpanContext().TraceID().String()) {
			names[span.Name()]++
		}
	}
	c.Assert(names, qt.DeepEquals, map[string]int{"request": 2, "hand-off": 1, "upstream call": 1})
}
