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

// TestLimits guards against a stand-in that accepts more calls or larger values than
// its configured limits allow. The real service would refuse them.
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

// TestPendingBlockingQuery guards against a pending blocking query that does not
// count against the read rate, and against one that does not end when a key changes.
func TestPendingBlockingQuery(t *testing.T) {
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
	// The pending blocking query takes up one of the two reads per second.
	c.Assert(do(server, "GET", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusOK)
	c.Assert(do(server, "GET", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusTooManyRequests)
	c.Assert(server.Counts().PendingBlockingQueries, qt.Equals, 1)
	c.Assert(do(server, "DELETE", "/v1/kv/p/a", "").Code, qt.Equals, http.StatusOK)
	response := <-done
	c.Assert(response.Code, qt.Equals, http.StatusNotFound)
	c.Assert(response.Header().Get("X-Consul-Index"), qt.Equals, "3")
	c.Assert(server.Counts().PendingBlockingQueries, qt.Equals, 0)
}

// TestTransaction guards against a transaction that applies only some of its
// operations, and against one that may have more operations than the real service
// accepts.
func TestTransaction(t *testing.T) {
	c := qt.New(t)
	server := platform.NewServer(platform.Config{})
	failed := do(server, "PUT", "/v1/txn", `[{"KV":{"Verb":"cas","Key":"a","Value":"MQ=="}},{"KV":{"Verb":"check-index","Key":"b","Index":7}}]`)
	c.Assert(failed.Code, qt.Equals, http.StatusConflict)
	c.Assert(failed.Body.String(), qt.Contains, `"OpIndex":1`)
	_, ok := server.Value("a")
	c.Assert(ok, qt.IsFalse)
	tooMany := "[" + strings.TrimSuffix(strings.Repeat(`{"KV":{"Verb":"set","Key":"a"}},`, 65), ",") + "]"
	c.Assert(do(server, "PUT", "/v1/txn", tooMany).Code, qt.Equals, http.StatusRequestEntityTooLarge)
	c.Assert(do(server, "PUT", "/v1/kv/a?cas=5", "x").Body.String(), qt.Equals, "false\n")
	c.Assert(do(server, "PUT", "/v1/kv/a?cas=0", "x").Body.String(), qt.Equals, "true\n")
}

// TestAdminSetsFaults guards against faults that cannot be set over HTTP, against
// unknown fault names that are accepted, and against a delayed write that is dropped
// because its caller has disconnected. It also guards against leases that cannot be
// expired over HTTP and against wrong counts of writes.
func TestAdminSetsFaults(t *testing.T) {
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
	response := do(server, "PUT", "/v1/session/create", `{"TTL":"10s","Behavior":"delete"}`)
	c.Assert(json.Unmarshal(response.Body.Bytes(), &created), qt.IsNil)
	c.Assert(do(server, "PUT", "/v1/kv/s?acquire="+created.ID, "1").Body.String(), qt.Equals, "true\n")
	c.Assert(do(server, "PUT", "/admin/expire-leases", "").Code, qt.Equals, http.StatusNoContent)
	c.Assert(do(server, "GET", "/v1/kv/s", "").Code, qt.Equals, http.StatusNotFound)
	c.Assert(do(server, "PUT", "/v1/session/renew/"+created.ID, "").Code, qt.Equals, http.StatusNotFound)
	c.Assert(do(server, "GET", "/admin/counts", "").Body.String(), qt.Contains, `"writes":4`)
}
