// Package platform accesses the platform's key-value service through the HTTP
// API of Consul. It stores contracts, claims of ports, and seeds there.
package platform

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// DefaultCallTimeout bounds one call. The service responds in milliseconds,
	// so a longer delay means that the connection or the service has failed.
	DefaultCallTimeout = 2 * clock.Second
	// DefaultWatchWait is how long the service holds a watch without a change.
	// A silent connection is detected after this time plus the call timeout,
	// which is less than the 4 s in which a revision must be in effect.
	DefaultWatchWait = clock.Second
	// DefaultAttempts is the maximum number of attempts for a read, or for a
	// write of a contract.
	DefaultAttempts = 8

	backoffBase = 50 * clock.Millis(1)
	backoffMax  = 2 * clock.Second
	// maxResponseSize bounds the memory that one response takes. 1,300
	// contracts of the largest size take 114 MB in base64.
	maxResponseSize = 128 << 20
	changeIDSize    = 16
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// Address is the base URL of the service.
	Address string
	// Token is sent with every call unless it is empty.
	Token string
	// CallTimeout defaults to DefaultCallTimeout.
	CallTimeout clock.Millis
	// WatchWait defaults to DefaultWatchWait.
	WatchWait clock.Millis
	// Attempts defaults to DefaultAttempts.
	Attempts int
	// Transport sends the HTTP calls.
	Transport http.RoundTripper
	// Sleep returns after d, or earlier with an error if ctx ends.
	Sleep func(ctx context.Context, d clock.Millis) error
	// Random returns a number from 0 up to but not including 1.
	Random func() float64
	// NewChangeID returns an identifier that no other change has.
	NewChangeID func() string
	// Report receives errors that are not returned: those from which a watch or
	// a registration recovers, and stored values that cannot be parsed.
	Report func(err error)
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a Client.
func New(config Config) *Client {
	config = withDefaults(config)
	config.Address = strings.TrimSuffix(config.Address, "/")
	return &Client{config: config, http: &http.Client{Transport: config.Transport}}
}

func withDefaults(config Config) Config {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	if config.WatchWait == 0 {
		config.WatchWait = DefaultWatchWait
	}
	if config.Attempts == 0 {
		config.Attempts = DefaultAttempts
	}
	if config.Transport == nil {
		config.Transport = newTransport(config.CallTimeout)
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	if config.Random == nil {
		config.Random = mathrand.Float64
	}
	if config.NewChangeID == nil {
		config.NewChangeID = newChangeID
	}
	if config.Report == nil {
		config.Report = func(error) {}
	}
	return config
}

// newTransport returns a transport that uses HTTP/1.1 only. A call that times
// out then closes its connection, so that the next call does not use a
// connection that has become silent.
func newTransport(timeout clock.Millis) *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout.Duration()}).DialContext,
		TLSHandshakeTimeout: timeout.Duration(),
		IdleConnTimeout:     time.Minute,
		Protocols:           protocols,
	}
}

func sleep(ctx context.Context, d clock.Millis) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func newChangeID() string {
	var id [changeIDSize]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// backoff sleeps before another attempt. The delay is at most 50 ms for attempt
// 1, and this maximum doubles with each attempt up to 2 s. Half of it is
// random.
func (c *Client) backoff(ctx context.Context, attempt int) error {
	d := backoffMax
	if shift := attempt - 1; shift < 6 {
		d = min(backoffBase<<shift, backoffMax)
	}
	half := d / 2
	return c.config.Sleep(ctx, half+clock.Millis(c.config.Random()*float64(half)))
}

// callError is a call without a usable response.
type callError struct {
	method string
	path   string
	cause  error
	// notApplied is true if the call certainly had no effect.
	notApplied bool
	// permanent is true if repeating the call cannot succeed.
	permanent bool
}

func (e *callError) Error() string {
	return fmt.Sprintf("platform: %s %s: %v", e.method, e.path, e.cause)
}

func (e *callError) Unwrap() error { return e.cause }

type response struct {
	status int
	index  uint64
	body   []byte
}

// call makes one call with a timeout of CallTimeout plus extra. Status codes
// 200, 404 and 409 are results, and all others are errors.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, extra clock.Millis) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, (c.config.CallTimeout + extra).Duration())
	defer cancel()
	target := c.config.Address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return response{}, &callError{method: method, path: path, cause: err, notApplied: true, permanent: true}
	}
	if c.config.Token != "" {
		request.Header.Set("X-Consul-Token", c.config.Token)
	}
	httpResponse, err := c.http.Do(request)
	if err != nil {
		return response{}, &callError{method: method, path: path, cause: err, notApplied: isDialError(err)}
	}
	defer httpResponse.Body.Close()
	return c.readResponse(method, path, httpResponse)
}

func (c *Client) readResponse(method, path string, httpResponse *http.Response) (response, error) {
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseSize+1))
	if err != nil {
		return response{}, &callError{method: method, path: path, cause: err}
	}
	if len(data) > maxResponseSize {
		return response{}, &callError{method: method, path: path, cause: fmt.Errorf("response exceeds %d bytes", maxResponseSize)}
	}
	switch httpResponse.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusConflict:
	default:
		return response{}, statusError(method, path, httpResponse.StatusCode, data)
	}
	// A response without an index gets index 0, with which a watch does not
	// block.
	index, _ := strconv.ParseUint(httpResponse.Header.Get("X-Consul-Index"), 10, 64)
	return response{status: httpResponse.StatusCode, index: index, body: data}, nil
}

// statusError classifies a status code. A call with status 4xx was not applied.
// After 5xx the call may have taken effect, for example if the service elected
// a new leader during the call.
func statusError(method, path string, status int, data []byte) error {
	const shown = 200
	text := strings.Join(strings.Fields(string(data[:min(len(data), shown)])), " ")
	return &callError{
		method: method, path: path, cause: fmt.Errorf("status %d: %s", status, text),
		notApplied: status >= 400 && status < 500,
		permanent:  status >= 400 && status < 500 && status != http.StatusTooManyRequests,
	}
}

func isPermanent(err error) bool {
	var call *callError
	return errors.As(err, &call) && call.permanent
}

// isDialError reports whether no connection was established, so that nothing
// was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
