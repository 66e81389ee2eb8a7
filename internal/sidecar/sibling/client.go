package sibling

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

const dialTimeout = time.Second

// errMisdirected is the cause if the receiver is not the intended sibling.
var errMisdirected = errors.New("the address belongs to another process")

// Client sends requests to siblings. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// Error is returned for a request to which a sibling did not respond.
type Error struct {
	mayHaveRun bool
	cause      error
}

// Error returns a description of the cause.
func (e *Error) Error() string { return fmt.Sprintf("pass request to sibling: %v", e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// MayHaveRun reports whether the sibling may have received the request.
func (e *Error) MayHaveRun() bool { return e.mayHaveRun }

// NewClient returns a Client whose idle connections are closed when ctx ends.
func NewClient(ctx context.Context, keys *keyring.Store) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP2(true)
	c := &Client{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig:     keys.TLS("h2"),
		TLSHandshakeTimeout: dialTimeout,
		Protocols:           protocols,
		DisableCompression:  true,
		IdleConnTimeout:     time.Minute,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
	context.AfterFunc(ctx, c.transport.CloseIdleConnections)
	return c
}

// Do sends a request to a sibling and returns its response. The request has a path,
// query, header and body, but no address. The error is an *Error.
func (c *Client) Do(ctx context.Context, to Sibling, origin Origin, request *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r := request.Clone(httptrace.WithClientTrace(ctx, trace))
	r.URL.Scheme = "https"
	r.URL.Host = to.Control.String()
	r.RequestURI = ""
	r.GetBody = nil
	setHeaders(r.Header, to.Owner, origin)
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil
	}
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{mayHaveRun: connected.Load(), cause: err}
	}
	if response.Header.Get(hopHeader) == misdirected {
		_ = response.Body.Close()
		return nil, &Error{cause: errMisdirected}
	}
	return response, nil
}
