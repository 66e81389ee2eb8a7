// Package upstream calls the upstream beside a sidecar over HTTP/1.1 and judges
// its health.
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
	// OutcomeHeader tells what became of a request that has no regular answer.
	OutcomeHeader = "Outcome"
	// OutcomeNotRun on a 503 tells that the work certainly did not start.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown on a 504 tells that the work may have run.
	OutcomeUnknown = "unknown"
	// TimeoutHeader tells the upstream the time left in milliseconds.
	TimeoutHeader = "Request-Timeout"

	defaultHealthPath = "/health"
	probePeriod       = clock.Second
	probeTimeout      = 2 * time.Second
	maxHealthBody     = 4 << 10
	// idleTimeout keeps a connection that fell silent while idle from being used
	// more than 4 s later.
	idleTimeout = 4 * time.Second
	// stallTimeout is the shortest time after which a call without a response
	// header is taken for one on a silent connection.
	stallTimeout = 4 * clock.Second
	// stallFactor keeps kinds that are slow by nature from being taken for
	// stalled.
	stallFactor = 4
	maxIdle     = 64
)

// Causes of the end of a call.
var (
	// ErrDeadline ends a call whose client no longer waits.
	ErrDeadline = errors.New("deadline of the request exceeded")

	errStalled = errors.New("connection to the upstream is silent")
	errRefused = errors.New("upstream refused the request as not run")
)

// Client calls one upstream. It is safe for concurrent use.
type Client struct {
	config    Config
	transport *http.Transport
	mutex     sync.Mutex
	health    *Health
	calls     map[*call]struct{}
}

// Config configures a Client.
type Config struct {
	// Address is host and port.
	Address string
	// HealthPath is the path of the health endpoint, /health if empty.
	HealthPath string
	Clock      clock.Clock
	// Ticker drives the probes of the health endpoint and the search for silent
	// connections. It is clock.SystemTicker if nil.
	Ticker clock.Ticker
}

// Call is one request to the upstream.
type Call struct {
	Kind string
	// Request has path, query, header and body, but no address.
	Request *http.Request
	// Repeatable permits to give up a silent connection before the deadline.
	Repeatable bool
	// Timeout is the time left until the deadline, or zero for none.
	Timeout clock.Millis
}

// Error is returned for a call without an answer of the upstream's work.
type Error struct {
	started    bool
	retryAfter string
	cause      error
}

// Error returns a description of the cause.
func (e *Error) Error() string { return fmt.Sprintf("call upstream: %v", e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// MayHaveRun reports whether the work can have started.
func (e *Error) MayHaveRun() bool { return e.started }

// Refused reports whether the upstream itself said that the work was not run.
func (e *Error) Refused() bool { return errors.Is(e.cause, errRefused) }

// RetryAfter returns the value that the upstream sent, or "".
func (e *Error) RetryAfter() string { return e.retryAfter }

// call is a call that waits for its response header.
type call struct {
	kind    string
	started clock.Millis
	limited bool
	cancel  context.CancelCauseFunc
	conn    *conn
	before  uint64
}

// NewClient returns a Client that probes the upstream's health until ctx ends.
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
		calls:  map[*call]struct{}{},
	}
	ticks := config.Ticker(ctx, probePeriod)
	go func() {
		defer c.transport.CloseIdleConnections()
		for {
			select {
			case <-ticks:
				c.cancelStalled()
				// A probe that hangs must not delay the search for stalled calls.
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

// RefusesWork reports whether the upstream drains and has refused work since.
func (c *Client) RefusesWork() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.health.RefusesWork()
}

// Do calls the upstream. The error is an *Error. The context ends the call, also
// while the response body is read; its cause is kept.
func (c *Client) Do(ctx context.Context, request Call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := c.config.Clock.Now()
	p := &call{kind: request.Kind, started: now, limited: request.Repeatable, cancel: cancel}
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
		return nil, c.fail(p, err)
	}
	if refusedNotRun(response) {
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
	// The transport repeats a request by itself if it has no body, or a way to
	// get it again, and either method or Idempotency-Key make it look repeatable.
	// Retries are decided by the caller alone.
	r.GetBody = nil
	if r.Body == nil || r.Body == http.NoBody {
		r.Body = withoutBody(r.Method)
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

func refusedNotRun(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		strings.EqualFold(response.Header.Get(OutcomeHeader), OutcomeNotRun)
}

func (c *Client) gotConn(p *call, info httptrace.GotConnInfo) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p.conn, _ = info.Conn.(*conn)
	if p.conn != nil {
		p.before = p.conn.writes.Load()
	}
}

func (c *Client) fail(p *call, err error) error {
	c.mutex.Lock()
	connection := p.conn
	c.mutex.Unlock()
	if connection == nil {
		if !errors.Is(err, context.Canceled) && !errors.Is(err, ErrDeadline) {
			c.record(p, Unreachable)
		}
		return &Error{cause: err}
	}
	// The connection is useless now. After Close, the transport can send nothing
	// more on it.
	_ = connection.Close()
	if !errors.Is(err, context.Canceled) {
		c.record(p, Failed)
	}
	return &Error{started: connection.writes.Load() != p.before, cause: err}
}

func (c *Client) record(p *call, result Result) {
	now := c.config.Clock.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.health.Record(p.kind, result, now-p.started, now)
}

func (c *Client) register(p *call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[p] = struct{}{}
}

func (c *Client) unregister(p *call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.calls, p)
}

// cancelStalled ends repeatable calls that have waited for a response header far
// longer than usual, so that they can use another connection.
func (c *Client) cancelStalled() {
	now := c.config.Clock.Now()
	c.mutex.Lock()
	var stalled []*call
	for p := range c.calls {
		limit := max(stallTimeout, stallFactor*c.health.UsualTime(p.kind))
		if p.limited && p.conn != nil && now-p.started >= limit {
			stalled = append(stalled, p)
		}
	}
	for _, p := range stalled {
		p.cancel(errStalled)
		// A kind that is slow by nature becomes known as slow. This must not raise
		// the limit for calls that stalled at the same time.
		c.health.recordTime(p.kind, float64(now-p.started), now)
		delete(c.calls, p)
	}
	c.mutex.Unlock()
	if len(stalled) > 0 {
		// Connections that are idle may have fallen silent at the same time.
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
		// Only a refused connection is certain: an endpoint that hangs says nothing
		// about the work.
		if !connected.Load() && ctx.Err() == nil {
			c.record(&call{}, Unreachable)
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

// body ends the context of a call when the response has been read.
type body struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close releases the call.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// withoutBody returns a body without bytes with which the transport does not
// repeat the request. Methods that are never repeated keep Content-Length: 0.
func withoutBody(method string) io.ReadCloser {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return emptyBody{}
	default:
		return http.NoBody
	}
}

// emptyBody is a body without bytes that the transport cannot replay.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }
