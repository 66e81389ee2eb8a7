// Package upstream calls the upstream on the host of a sidecar over HTTP/1.1 and
// measures its health.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// OutcomeHeader is the response header that says whether a request without a
	// regular response has run.
	OutcomeHeader = "Outcome"
	// OutcomeNotRun means that the request certainly did not start. It comes with a
	// 503.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have run. It comes with a 504.
	OutcomeUnknown = "unknown"
	// TimeoutHeader is the request header with the time left until the deadline, in
	// milliseconds.
	TimeoutHeader = "Request-Timeout"

	defaultHealthPath = "/health"
	probePeriod       = clock.Second
	probeTimeout      = 2 * time.Second
	maxHealthBody     = 4 << 10
	// idleTimeout is how long an idle connection is kept. It limits how long a
	// connection that failed while idle may still be used.
	idleTimeout = 4 * time.Second
	// stallTimeout is the shortest time after which a call without a response header
	// is considered stalled on a silent connection.
	stallTimeout = 4 * clock.Second
	// A call is not considered stalled before stallFactor times the usual response time
	// of its kind, because some kinds are slow by nature.
	stallFactor = 4
	// maxIdle is the maximum number of idle connections.
	maxIdle = 64
)

// Errors that end a call.
var (
	// ErrDeadline ends a call whose client no longer waits.
	ErrDeadline = errors.New("deadline of the request exceeded")

	errStalled = errors.New("connection to the upstream is silent")
	errRefused = errors.New("upstream refused the request without starting it")
)

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
	mutex     sync.Mutex
	health    *Health
	calls     map[*pendingCall]struct{}
}

// Config configures a Client.
type Config struct {
	// Address is the host and port of the upstream.
	Address string
	// HealthPath is the path of the health endpoint. It is /health if empty.
	HealthPath string
	Clock      clock.Clock
	// Ticker drives the probes of the health endpoint and the detection of stalled
	// calls. It is clock.SystemTicker if nil.
	Ticker clock.Ticker
}

// Call is one request to the upstream.
type Call struct {
	Kind string
	// Request has a path, query, header and body, but no address.
	Request *http.Request
	// Repeatable allows the Client to cancel the call before its deadline if the
	// connection is silent.
	Repeatable bool
	// Timeout is the time left until the deadline, or zero if there is none.
	Timeout clock.Millis
}

// Error is returned for a call that has no response or was refused as not run.
type Error struct {
	mayHaveRun bool
	retryAfter string
	cause      error
}

// Error returns a description of the cause.
func (e *Error) Error() string { return fmt.Sprintf("call upstream: %v", e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// MayHaveRun reports whether the upstream may have started the request.
func (e *Error) MayHaveRun() bool { return e.mayHaveRun }

// Refused reports whether the upstream itself responded that the request did not run.
func (e *Error) Refused() bool { return errors.Is(e.cause, errRefused) }

// RetryAfter returns the Retry-After header of the upstream, or "".
func (e *Error) RetryAfter() string { return e.retryAfter }

// pendingCall is a call that waits for its response header.
type pendingCall struct {
	kind       string
	startedAt  clock.Millis
	repeatable bool
	cancel     context.CancelCauseFunc
	// conn is nil until the call has a connection.
	conn *conn
	// writesBefore is the write count of conn when the call got it.
	writesBefore uint64
}

// NewClient returns a Client that probes the health of the upstream until ctx ends.
func NewClient(ctx context.Context, config Config) *Client {
	if config.HealthPath == "" {
		config.HealthPath = defaultHealthPath
	}
	if config.Ticker == nil {
		config.Ticker = clock.SystemTicker
	}
	c := &Client{
		config: config,
		transport: &http.Transport{
			DialContext:         newDialer(),
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdle,
		},
		health: NewHealth(config.Clock.Now()),
		calls:  map[*pendingCall]struct{}{},
	}
	ticks := config.Ticker(ctx, probePeriod)
	go func() {
		defer c.transport.CloseIdleConnections()
		for {
			select {
			case <-ticks:
				c.cancelStalled()
				// A probe that hangs must not delay the detection of stalled calls.
				go c.probe(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

// Weight returns the weight of the upstream from MinWeight to MaxWeight.
func (c *Client) Weight() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.health.Weight(c.config.Clock.Now())
}

// RefusesWork reports whether the health endpoint reports a drain and the upstream has
// responded with a 503 or 429 since then or within the 5 s before.
func (c *Client) RefusesWork() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.health.RefusesWork()
}

// Do calls the upstream. The end of ctx ends the call, also while the response body is
// read. The error is an *Error. It wraps the cause of ctx if ctx has ended.
func (c *Client) Do(ctx context.Context, request Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := c.config.Clock.Now()
	p := &pendingCall{kind: request.Kind, startedAt: now, repeatable: request.Repeatable, cancel: cancel}
	c.register(p)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { c.gotConn(p, info) }}
	r := c.prepare(httptrace.WithClientTrace(ctx, trace), request)
	response, err := c.transport.RoundTrip(r)
	c.unregister(p)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		cancel(nil)
		return nil, c.failCall(p, err)
	}
	if isNotRun(response) {
		retryAfter := response.Header.Get("Retry-After")
		_ = response.Body.Close()
		cancel(nil)
		c.record(p, Shed)
		return nil, &Error{retryAfter: retryAfter, cause: errRefused}
	}
	if response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
		c.record(p, Shed)
	} else {
		c.record(p, Responded)
	}
	response.Body = &body{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

func (c *Client) prepare(ctx context.Context, request Call) *http.Request {
	r := request.Request.Clone(ctx)
	r.URL.Scheme = "http"
	r.URL.Host = c.config.Address
	r.RequestURI = ""
	r.Close = false
	// The transport retries a request by itself if the request has no body or its body
	// can be recreated, and its method or Idempotency-Key marks it as repeatable. Only
	// the caller may decide about retries.
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = emptyBodyFor(r.Method)
	}
	r.Header.Del("Idempotency-Key")
	r.Header.Del("X-Idempotency-Key")
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil
	}
	if request.Timeout > 0 {
		r.Header.Set(TimeoutHeader, strconv.FormatInt(int64(request.Timeout), 10))
	}
	return r
}

// isNotRun reports whether the upstream refused the request without starting it.
func isNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		strings.EqualFold(response.Header.Get(OutcomeHeader), OutcomeNotRun)
}

// gotConn records the connection that the transport uses for a call.
func (c *Client) gotConn(p *pendingCall, info httptrace.GotConnInfo) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.conn, _ = info.Conn.(*conn)
	if p.conn != nil {
		p.writesBefore = p.conn.writes.Load()
	}
}

// failCall ends a call that failed with err. It closes the connection of the call, if
// there is one, records the result and returns the *Error of the call.
func (c *Client) failCall(p *pendingCall, err error) error {
	c.mutex.Lock()
	connection := p.conn
	c.mutex.Unlock()
	if connection == nil {
		if !errors.Is(err, context.Canceled) && !errors.Is(err, ErrDeadline) {
			c.record(p, Unreachable)
		}
		return &Error{cause: err}
	}
	// The connection is no longer usable. After Close, the transport cannot write to
	// it, so the count of writes is final.
	_ = connection.Close()
	if !errors.Is(err, context.Canceled) {
		c.record(p, Failed)
	}
	return &Error{mayHaveRun: connection.writes.Load() != p.writesBefore, cause: err}
}

func (c *Client) record(p *pendingCall, result Result) {
	now := c.config.Clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.health.Record(p.kind, result, now-p.startedAt, now)
}

func (c *Client) register(p *pendingCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[p] = struct{}{}
}

func (c *Client) unregister(p *pendingCall) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.calls, p)
}

// cancelStalled cancels repeatable calls that have waited for a response header much
// longer than usual, so that they can be retried on another connection.
func (c *Client) cancelStalled() {
	now := c.config.Clock.Now()
	c.mutex.Lock()
	var stalled []*pendingCall
	for p := range c.calls {
		limit := max(stallTimeout, stallFactor*c.health.UsualTime(p.kind))
		if p.repeatable && p.conn != nil && now-p.startedAt >= limit {
			stalled = append(stalled, p)
		}
	}
	for _, p := range stalled {
		p.cancel(errStalled)
		// The elapsed time counts as a response time, so that a kind that is slow by
		// nature gets a higher limit. It is recorded only after the loop above, so that
		// it does not raise the limit for calls that stalled at the same time.
		c.health.recordTime(p.kind, float64(now-p.startedAt), now)
		delete(c.calls, p)
	}
	c.mutex.Unlock()
	if len(stalled) > 0 {
		// Idle connections may have become silent at the same time.
		c.transport.CloseIdleConnections()
	}
}

func (c *Client) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+c.config.Address+c.config.HealthPath, nil)
	if err != nil {
		return
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		// Only a failed dial is conclusive. An endpoint that hangs says nothing about
		// whether the upstream can serve requests.
		if !connected.Load() && ctx.Err() == nil {
			c.record(&pendingCall{}, Unreachable)
		}
		return
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(io.LimitReader(response.Body, maxHealthBody))
	failing := response.StatusCode >= http.StatusBadRequest && response.StatusCode != http.StatusNotFound
	draining := strings.Contains(strings.ToLower(string(data)), "draining")
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.health.RecordProbe(failing, draining, c.config.Clock.Now())
}

// body is the body of a response. Close ends the context of the call.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and ends the context of the call.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// emptyBodyFor returns an empty body with which the transport does not retry a request
// of the given method. For a method that the transport never retries, this is
// http.NoBody, with which it sends Content-Length: 0 for POST, PUT and PATCH.
func emptyBodyFor(method string) io.ReadCloser {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return emptyBody{}
	default:
		return http.NoBody
	}
}

// emptyBody is an empty body that the transport cannot replay.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
