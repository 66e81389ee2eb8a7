package upstream_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

type fixture struct {
	client *upstream.Client
	now    atomic.Int64
	ticks  chan struct{}
}

func newFixture(c *qt.C, address string) *fixture {
	f := &fixture{ticks: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	f.client = upstream.NewClient(ctx, upstream.Config{
		Address: address,
		Clock:   clock.New(func() clock.Millis { return clock.Millis(f.now.Load()) }),
		Ticker:  func(context.Context, clock.Millis) <-chan struct{} { return f.ticks },
	})
	return f
}

func (f *fixture) do(ctx context.Context, method, body string, repeatable bool) error {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r := httptest.NewRequest(method, "/work", reader)
	r.Header.Set("Idempotency-Key", "k")
	response, err := f.client.Do(ctx, upstream.Call{Kind: "work", Request: r, Repeatable: repeatable})
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.Join(err, response.Body.Close())
}

func mayHaveRun(err error) bool {
	var failed *upstream.Error
	return !errors.As(err, &failed) || failed.MayHaveRun()
}

// TestTransportDoesNotRepeat guards against a request that runs twice because net/http
// itself retries it when a reused connection breaks.
func TestTransportDoesNotRepeat(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
	}))
	c.Cleanup(server.Close)
	f := newFixture(c, server.Listener.Addr().String())
	for i, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "body"} {
			before := runs.Load()
			c.Assert(f.do(context.Background(), method, body, false), qt.IsNil)
			err := f.do(context.Background(), method, body, false)
			c.Assert(mayHaveRun(err), qt.IsTrue, qt.Commentf("%d %v", i, err))
			c.Assert(runs.Load()-before, qt.Equals, int64(2), qt.Commentf("%s %q", method, body))
		}
	}
}

// TestStalledConnection guards against a repeatable request that waits on a silent
// connection until its deadline, and against the cancellation of a request that may not
// be repeated.
func TestStalledConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	arrived := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The request is read, so it has been sent. It never gets a response.
			_, _ = conn.Read(make([]byte, 1))
			arrived <- conn
		}
	}()
	f := newFixture(c, listener.Addr().String())
	ctx, cancel := context.WithCancelCause(context.Background())
	const calls = 4
	repeatable, unrepeatable := make(chan error, calls), make(chan error, 1)
	for range calls {
		go func() { repeatable <- f.do(ctx, http.MethodGet, "", true) }()
		defer (<-arrived).Close()
	}
	go func() { unrepeatable <- f.do(ctx, http.MethodGet, "", false) }()
	defer (<-arrived).Close()
	f.now.Store(3999)
	f.ticks <- struct{}{}
	defer (<-arrived).Close() // The probe of the health endpoint.
	c.Assert(repeatable, qt.HasLen, 0)
	f.now.Store(4000)
	f.ticks <- struct{}{}
	for range calls {
		c.Assert(mayHaveRun(<-repeatable), qt.IsTrue)
	}
	c.Assert(unrepeatable, qt.HasLen, 0)
	cancel(upstream.ErrDeadline)
	err = <-unrepeatable
	c.Assert(errors.Is(err, upstream.ErrDeadline), qt.IsTrue)
	c.Assert(mayHaveRun(err), qt.IsTrue)
}

// TestNotStarted guards against a request that certainly did not start but is reported
// as one that may have run, and against any other refusal that is reported as not
// started.
func TestNotStarted(t *testing.T) {
	c := qt.New(t)
	header := http.Header{"Outcome": {"not-run"}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	f := newFixture(c, server.Listener.Addr().String())
	err := f.do(context.Background(), http.MethodPost, "body", false)
	c.Assert(mayHaveRun(err), qt.IsFalse)
	header = nil
	c.Assert(f.do(context.Background(), http.MethodPost, "body", false), qt.IsNil)
	server.Close()
	// A client without an idle connection has to dial.
	f = newFixture(c, server.Listener.Addr().String())
	err = f.do(context.Background(), http.MethodPost, "body", false)
	c.Assert(mayHaveRun(err), qt.IsFalse)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(mayHaveRun(f.do(ctx, http.MethodPost, "body", false)), qt.IsFalse)
}

// TestWeight guards against a cold, failing or slow upstream that has the full weight,
// against a weight that never recovers, and against a health endpoint that raises the
// weight or excludes an upstream that works.
func TestWeight(t *testing.T) {
	c := qt.New(t)
	h := upstream.NewHealth(0)
	assertWeight := func(want int, now clock.Millis) {
		c.Helper()
		c.Assert(h.Weight(now), qt.Equals, want)
	}
	assertWeight(1, 0)
	assertWeight(9, 16_000)
	assertWeight(16, 30_000)
	record := func(result upstream.Result, elapsed, now clock.Millis) {
		for range 40 {
			h.Record("work", result, elapsed, now)
		}
	}
	record(upstream.Responded, 100, 30_000)
	assertWeight(16, 30_000)
	record(upstream.Shed, 0, 30_000)
	assertWeight(1, 30_000)
	assertWeight(16, 50_000)
	record(upstream.Responded, 400, 50_000)
	c.Assert(h.Weight(50_000) < 13, qt.IsTrue)
	assertWeight(16, 70_000)
	h.RecordProbe(true, false, 70_000)
	assertWeight(4, 70_000)
	h.RecordProbe(false, true, 70_000)
	assertWeight(1, 70_000)
	h.RecordProbe(false, false, 70_000)
	assertWeight(16, 70_000)
	record(upstream.Unreachable, 0, 70_000)
	assertWeight(1, 110_000)
	h.RecordProbe(false, false, 110_000)
	assertWeight(1, 110_000)
	assertWeight(16, 140_000)
}

// TestRefusesWork guards against a draining upstream that still gets requests because
// its health endpoint reported the drain after the refusals. It also guards against an
// upstream that gets no requests because of an old refusal or of a report alone.
func TestRefusesWork(t *testing.T) {
	c := qt.New(t)
	h := upstream.NewHealth(0)
	h.Record("work", upstream.Shed, 0, 1000)
	c.Assert(h.RefusesWork(), qt.IsFalse)
	h.RecordProbe(false, true, 6000)
	c.Assert(h.RefusesWork(), qt.IsTrue)
	h.RecordProbe(false, true, 60_000)
	c.Assert(h.RefusesWork(), qt.IsTrue)
	h.RecordProbe(false, false, 61_000)
	c.Assert(h.RefusesWork(), qt.IsFalse)
	h.RecordProbe(false, true, 62_000)
	c.Assert(h.RefusesWork(), qt.IsFalse)
	h.Record("work", upstream.Responded, 10, 62_000)
	c.Assert(h.RefusesWork(), qt.IsFalse)
	h.Record("work", upstream.Shed, 0, 62_000)
	c.Assert(h.RefusesWork(), qt.IsTrue)
}
