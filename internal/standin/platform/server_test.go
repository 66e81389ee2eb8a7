package platform_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/platform"
)

func do(server *platform.Server, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

// Guards against rates and sizes that are more generous than the real service.
func TestLimits(t *testing.T) {
	c := qt.New(t)
	now := clock.Millis(0)
	server := platform.NewServer(platform.Config{
		WritesPerSecond: 2, ReadsPerSecond: 3, MaxValueSize: 4, Now: func() clock.Millis { return now },
	})
	c.Assert(do(server, "PUT", "/v1/kv/a", "12345").Code, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(do(server, "PUT", "/v1/kv/a", "1234").Code, qt.Equals, http.StatusOK)
	c.Assert(do(server, "PUT", "/v1/kv/a", "1").Code, qt.Equals, http.StatusTooManyRequests)
	for range 3 {
		c.Assert(do(server, "GET", "/v1/kv/a", "").Code, qt.Equals, http.StatusOK)
	}
	c.Assert(do(server, "GET", "/v1/kv/a", "").Code, qt.Equals, http.StatusTooManyRequests)
	now += clock.Second
	c.Assert(do(server, "PUT", "/v1/kv/a", "2").Code, qt.Equals, http.StatusOK)
	c.Assert(server.Counts(), qt.Equals, platform.Counts{Reads: 4, Writes: 4, Refused: 2})
}

// Guards against a pending watch that is not counted, and against one that does
// not end with a change.
func TestPendingWatch(t *testing.T) {
	c := qt.New(t)
	now := clock.Millis(0)
	pending := make(chan struct{})
	server := platform.NewServer(platform.Config{
		ReadsPerSecond: 2, Now: func() clock.Millis { return now },
		After: func(clock.Millis) <-chan time.Time {
			close(pending)
			return nil
		},
	})
	c.Assert(do(server, "PUT", "/v1/kv/p/a", "1").Code, qt.Equals, http.StatusOK)
	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- do(server, "GET", "/v1/kv/p/?recurse&index=2&wait=60s", "") }()
	<-pending
	c.Assert(do(server, "GET", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusOK)
	now += clock.Second
	// The watch occupies one of two reads a second.
	c.Assert(do(server, "GET", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusOK)
	c.Assert(do(server, "GET", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusTooManyRequests)
	c.Assert(server.Counts().PendingWatches, qt.Equals, 1)
	c.Assert(do(server, "DELETE", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusOK)
	answer := <-done
	c.Assert(answer.Code, qt.Equals, http.StatusNotFound)
	c.Assert(answer.Header().Get("X-Consul-Index"), qt.Equals, "3")
	c.Assert(server.Counts().PendingWatches, qt.Equals, 0)
}

// Guards against a transaction that applies some operations only, and against
// more operations than the service takes.
func TestTransaction(t *testing.T) {
	c := qt.New(t)
	server := platform.NewServer(platform.Config{})
	failed := do(server, "PUT", "/v1/txn", `[{"KV":{"Verb":"cas","Key":"a","Value":"MQ=="}},{"KV":{"Verb":"check-index","Key":"b","Index":7}}]`)
	c.Assert(failed.Code, qt.Equals, http.StatusConflict)
	c.Assert(failed.Body.String(), qt.Contains, `"OpIndex":1`)
	_, ok := server.Value("a")
	c.Assert(ok, qt.IsFalse)
	many := "[" + strings.TrimSuffix(strings.Repeat(`{"KV":{"Verb":"set","Key":"a"}},`, 65), ",") + "]"
	c.Assert(do(server, "PUT", "/v1/txn", many).Code, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(do(server, "PUT", "/v1/kv/a?cas=5", "x").Body.String(), qt.Equals, "false\n")
	c.Assert(do(server, "PUT", "/v1/kv/a?cas=0", "x").Body.String(), qt.Equals, "true\n")
}

// Guards against switches that a command cannot set over HTTP, and against a
// delayed write that is dropped because its caller has left.
func TestSwitches(t *testing.T) {
	c := qt.New(t)
	slept := clock.Millis(0)
	server := platform.NewServer(platform.Config{Sleep: func(ctx context.Context, d clock.Millis) error {
		slept += d
		return ctx.Err()
	}})
	c.Assert(do(server, "PUT", "/admin/switches", `{"outage":true}`).Code, qt.Equals, http.StatusOK)
	c.Assert(do(server, "GET", "/v1/kv/a", "").Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(do(server, "PUT", "/admin/switches", `{"outages":true}`).Code, qt.Equals, http.StatusBadRequest)
	c.Assert(do(server, "PUT", "/admin/switches", `{"outage":false,"latency-ms":250,"lost-responses":1}`).Code, qt.Equals, http.StatusOK)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(func() {
		request := httptest.NewRequestWithContext(ctx, "PUT", "/v1/kv/a", strings.NewReader("1"))
		server.Handler().ServeHTTP(httptest.NewRecorder(), request)
	}, qt.PanicMatches, http.ErrAbortHandler.Error())
	c.Assert(slept, qt.Equals, clock.Millis(250))
	value, _ := server.Value("a")
	c.Assert(string(value), qt.Equals, "1")

	var created struct{ ID string }
	answer := do(server, "PUT", "/v1/session/create", `{"TTL":"10s","Behavior":"delete"}`)
	c.Assert(json.Unmarshal(answer.Body.Bytes(), &created), qt.IsNil)
	c.Assert(do(server, "PUT", "/v1/kv/s?acquire="+created.ID, "1").Body.String(), qt.Equals, "true\n")
	c.Assert(do(server, "PUT", "/admin/expire-leases", "").Code, qt.Equals, http.StatusNoContent)
	c.Assert(do(server, "GET", "/v1/kv/s", "").Code, qt.Equals, http.StatusNotFound)
	c.Assert(do(server, "PUT", "/v1/session/renew/"+created.ID, "").Code, qt.Equals, http.StatusNotFound)
	c.Assert(do(server, "GET", "/admin/counts", "").Body.String(), qt.Contains, `"writes":4`)
}
