package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

func testConfig(virtual clock.Clock) Config {
	return Config{
		Service: GrowerPortal, Slots: 3, ServiceTime: 100, ColdStart: 10 * clock.Second, ColdFactor: 8,
		DrainGrace: 2 * clock.Second, HealthLag: clock.Second, Seed: 1, Clock: virtual,
	}
}

func send(s *Server, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

// TestRequestsBeyondSlotsAreShed guards against an upstream that runs more requests
// at the same time than it has slots, or counts a shed booking as run.
func TestRequestsBeyondSlotsAreShed(t *testing.T) {
	c := qt.New(t)
	var manual clock.Manual
	config := testConfig(manual.Clock())
	entered, finish := make(chan struct{}), make(chan struct{})
	config.Sleep = func(context.Context, clock.Millis) error {
		entered <- struct{}{}
		<-finish
		return nil
	}
	s, err := New(config)
	c.Assert(err, qt.IsNil)
	var wait sync.WaitGroup
	for range config.Slots {
		wait.Go(func() { c.Check(send(s, "POST", "/bookings", `{"number":7}`).Code, qt.Equals, http.StatusOK) })
	}
	for range config.Slots {
		<-entered
	}
	refused := send(s, "POST", "/bookings", `{"number":8}`)
	c.Check(refused.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.Header().Get("Outcome"), qt.Equals, "not-run")
	c.Check(refused.Header().Get("Retry-After"), qt.Equals, "1")
	close(finish)
	wait.Wait()
	c.Check(send(s, "GET", "/admin/runs", "").Body.String(), qt.Equals,
		"{\"service\":\"grower-portal\",\"runs\":{\"7\":3},\"shed\":1}\n")
	c.Check(s.state.slotsInUse, qt.Equals, 0)
}

// TestDrainServesThenSheds guards against a drain that refuses new work at once or
// never, and against a drain that /health shows without the lag.
func TestDrainServesThenSheds(t *testing.T) {
	c := qt.New(t)
	var manual clock.Manual
	config := testConfig(manual.Clock())
	config.Sleep = func(context.Context, clock.Millis) error { return nil }
	s, err := New(config)
	c.Assert(err, qt.IsNil)
	booking := func() int { return send(s, "POST", "/bookings", `{"number":1}`).Code }
	health := func() string { return strings.TrimSpace(send(s, "GET", "/health", "").Body.String()) }
	send(s, "PUT", "/admin/drain", "")
	c.Check(booking(), qt.Equals, http.StatusOK)
	c.Check(health(), qt.Equals, `{"status":"serving"}`)
	manual.Advance(clock.Second)
	c.Check(health(), qt.Equals, `{"status":"draining"}`)
	c.Check(booking(), qt.Equals, http.StatusOK)
	manual.Advance(clock.Second)
	c.Check(booking(), qt.Equals, http.StatusServiceUnavailable)
	c.Check(send(s, "GET", "/board?number=1", "").Code, qt.Equals, http.StatusServiceUnavailable)
	send(s, "DELETE", "/admin/drain", "")
	c.Check(booking(), qt.Equals, http.StatusOK)
}

// TestServiceTimesFallAfterStart guards against an upstream that has its normal
// speed right after its start, and against service times that differ between two
// runs with the same seed.
func TestServiceTimesFallAfterStart(t *testing.T) {
	c := qt.New(t)
	mean := func(at clock.Millis) clock.Millis {
		s := newState(testConfig(clock.Clock{}), 0)
		var sum clock.Millis
		for range 1000 {
			sum += s.serviceTime(at)
		}
		return sum / 1000
	}
	c.Check(mean(0) > 7*mean(10*clock.Second), qt.IsTrue)
	c.Check(mean(5*clock.Second) > 4*mean(10*clock.Second), qt.IsTrue)
	c.Check(mean(10*clock.Second), qt.Equals, mean(20*clock.Second))
	warm := mean(20 * clock.Second)
	c.Check(warm > 90 && warm < 110, qt.IsTrue, qt.Commentf("%d", warm))
}

// TestBoardCountsUntilClosed guards against boards that skip a sequence number or
// send events after the client has closed them.
func TestBoardCountsUntilClosed(t *testing.T) {
	c := qt.New(t)
	var manual clock.Manual
	config := testConfig(manual.Clock())
	events := 0
	config.Sleep = func(context.Context, clock.Millis) error {
		if events++; events == 2 {
			return context.Canceled
		}
		return nil
	}
	s, err := New(config)
	c.Assert(err, qt.IsNil)
	c.Check(send(s, "GET", "/board?number=9", "").Body.String(), qt.Equals,
		"id: 1\ndata: {\"service\":\"grower-portal\",\"number\":9,\"sequence\":1}\n\n"+
			"id: 2\ndata: {\"service\":\"grower-portal\",\"number\":9,\"sequence\":2}\n\n")
}

// TestEndedRequestFreesItsSlot guards against slots that stay taken after the caller
// has cancelled the request or its deadline has passed. Both end the context that is
// passed to Sleep. The test uses a deadline.
func TestEndedRequestFreesItsSlot(t *testing.T) {
	c := qt.New(t)
	var manual clock.Manual
	config := testConfig(manual.Clock())
	config.Sleep = func(ctx context.Context, _ clock.Millis) error {
		<-ctx.Done()
		return ctx.Err()
	}
	s, err := New(config)
	c.Assert(err, qt.IsNil)
	request := httptest.NewRequest("POST", "/bookings", strings.NewReader(`{"number":1}`))
	request.Header.Set(TimeoutHeader, "0")
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	c.Check(recorder.Code, qt.Equals, http.StatusGatewayTimeout)
	c.Check(s.state.slotsInUse, qt.Equals, 0)
}

// TestActivityReportsWorkOfUpstream guards against an activity report that hides
// misrouted requests, interrupted requests, or the age of the last arrival, by which a
// test finds work after a departure.
func TestActivityReportsWorkOfUpstream(t *testing.T) {
	c := qt.New(t)
	var manual clock.Manual
	config := testConfig(manual.Clock())
	ctx, cancel := context.WithCancel(context.Background())
	config.Sleep = func(ctx context.Context, _ clock.Millis) error {
		cancel()
		return ctx.Err()
	}
	s, err := New(config)
	c.Assert(err, qt.IsNil)
	activity := func() string { return strings.TrimSpace(send(s, "GET", "/admin/activity", "").Body.String()) }
	c.Check(activity(), qt.Equals,
		`{"service":"grower-portal","foreign":0,"interrupted":0,"arrivals":0,"arrival-age-ms":-1,"open-boards":null}`)
	request := httptest.NewRequest("POST", "/bookings", strings.NewReader(`{"number":1}`)).WithContext(ctx)
	s.ServeHTTP(httptest.NewRecorder(), request)
	c.Check(send(s, "POST", "/weigh-ins", `{"number":2}`).Code, qt.Equals, http.StatusNotFound)
	s.state.openBoards[4] = 1
	manual.Advance(300)
	c.Check(activity(), qt.Equals,
		`{"service":"grower-portal","foreign":1,"interrupted":1,"arrivals":1,"arrival-age-ms":300,"open-boards":[4]}`)
}
