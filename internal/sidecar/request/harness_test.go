package request_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/sidecar/request"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"github.com/prometheus/client_golang/prometheus"
)

const testContract = `
customer: ferncliff-willow
services:
  - name: bundle-desk
    port: 7001
    slots: 1
    flows: 2
    kinds:
      - {name: hold, method: POST, path-prefix: /holds, urgency: 3, guaranteed-share: 0.5, ceiling: 1, deadline-ms: 10000, repeatable: false}
      - {name: board, method: GET, path-prefix: /boards, urgency: 2, guaranteed-share: 0, ceiling: 1, deadline-ms: 10000, repeatable: true, stream: true}
      - {name: list, method: GET, path-prefix: /lists, urgency: 1, guaranteed-share: 0.2, ceiling: 1, deadline-ms: 10000, repeatable: true}
`

// fakeUpstream is an upstream whose responses the test decides.
type fakeUpstream struct {
	server *httptest.Server
	runs   atomic.Int64
	// arrived receives the requests in the order of arrival.
	arrived chan *upstreamRequest
}

// upstreamRequest is a request that waits for its response.
type upstreamRequest struct {
	r       *http.Request
	body    string
	respond chan func(http.ResponseWriter)
}

func newFakeUpstream(c *qt.C) *fakeUpstream {
	u := &fakeUpstream{arrived: make(chan *upstreamRequest, 100)}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		u.runs.Add(1)
		job := &upstreamRequest{r: r, body: string(body), respond: make(chan func(http.ResponseWriter), 1)}
		u.arrived <- job
		select {
		case writeResponse := <-job.respond:
			writeResponse(w)
		case <-r.Context().Done():
		}
	}))
	c.Cleanup(u.server.Close)
	return u
}

func (j *upstreamRequest) reply(text string) {
	j.respond <- func(w http.ResponseWriter) { _, _ = io.WriteString(w, text) }
}

// abort closes the connection without a response.
func (j *upstreamRequest) abort() {
	j.respond <- func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
}

// node is a sidecar without QUIC: clients connect over TCP.
type node struct {
	c             *qt.C
	owner         identity.OwnerID
	handler       *request.Handler
	clientServer  *httptest.Server
	upstream      *fakeUpstream
	exchange      *sibling.LoadExchange
	siblingServer *sibling.Server
	control       netip.AddrPort
	now           *atomic.Int64
	ticks         chan struct{}
	// probes makes the client of the upstream send a health probe.
	probes chan struct{}
}

func testKeys(c *qt.C) *keyring.Store {
	ring, err := keyring.New(1, map[keyring.Generation][]byte{1: make([]byte, keyring.SecretSize)})
	c.Assert(err, qt.IsNil)
	return keyring.NewStore(ring)
}

func testService(c *qt.C, text string) contract.Service {
	parsed, err := contract.Parse([]byte(text))
	c.Assert(err, qt.IsNil)
	return parsed.Services()[0]
}

func newNode(c *qt.C, owner identity.OwnerID, keys *keyring.Store) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		c: c, owner: owner, upstream: newFakeUpstream(c), now: new(atomic.Int64), ticks: make(chan struct{}), probes: make(chan struct{}),
	}
	c.Cleanup(cancel)
	testClock := clock.New(func() clock.Millis { return clock.Millis(n.now.Load()) })
	probes := func(context.Context, clock.Millis) <-chan struct{} { return n.probes }
	n.exchange = sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: owner, Send: func(sibling.Sibling, []byte) {}})
	n.handler = request.NewHandler(ctx, request.Config{
		Self: owner, Service: testService(c, testContract), Keys: keys, Clock: testClock,
		Ticker:        func(context.Context, clock.Millis) <-chan struct{} { return n.ticks },
		Random:        func() float64 { return 0.5 },
		Upstream:      upstream.NewClient(ctx, upstream.Config{Address: n.upstream.server.Listener.Addr().String(), Clock: testClock, Ticker: probes}),
		Siblings:      n.exchange,
		SiblingClient: sibling.NewClient(ctx, keys),
		Metrics:       prometheus.NewRegistry(),
	})
	n.clientServer = httptest.NewServer(n.handler)
	c.Cleanup(n.clientServer.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n.control = listener.Addr().(*net.TCPAddr).AddrPort()
	n.siblingServer = sibling.NewServer(sibling.ServerConfig{Self: owner, Keys: keys, Handler: n.handler})
	served := make(chan error, 1)
	serveCtx, stop := context.WithCancel(context.Background())
	go func() { served <- n.siblingServer.Serve(serveCtx, listener) }()
	c.Cleanup(func() {
		_ = n.siblingServer.Close()
		stop()
		<-served
	})
	return n
}

// advance moves the clock and returns when the handler has processed the new time.
func (n *node) advance(d clock.Millis) {
	n.now.Add(int64(d))
	// The second tick is received after the first one has been processed.
	n.ticks <- struct{}{}
	n.ticks <- struct{}{}
}

// waitFor waits until the load of the handler meets the condition.
func (n *node) waitFor(condition func(sibling.Load) bool) {
	for !condition(n.handler.Load()) {
		n.ticks <- struct{}{}
	}
}

// pair returns two nodes that are siblings. The first one knows that the second one has
// a free slot.
func pair(c *qt.C) (*node, *node) {
	keys := testKeys(c)
	a, b := newNode(c, 1, keys), newNode(c, 2, keys)
	a.handler.SetSiblings([]sibling.Sibling{{Owner: b.owner, Control: b.control}})
	b.handler.SetSiblings([]sibling.Sibling{{Owner: a.owner, Control: a.control}})
	a.exchange.Receive(b.owner, sibling.Load{Slots: 1}.Encode(), 0)
	return a, b
}

// clientResponse is the response that a client received. Its err is set if the response
// broke off.
type clientResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func (n *node) do(ctx context.Context, method, path, key, body string) clientResponse {
	r, err := http.NewRequestWithContext(ctx, method, n.clientServer.URL+path, strings.NewReader(body))
	if err != nil {
		return clientResponse{err: err}
	}
	r.Header.Set("Idempotency-Key", key)
	return n.send(r)
}

func (n *node) send(r *http.Request) clientResponse {
	response, err := n.clientServer.Client().Do(r)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

func (n *node) get(path string) clientResponse {
	return n.do(context.Background(), http.MethodGet, path, "", "")
}

func (n *node) hold(key, body string) clientResponse {
	return n.do(context.Background(), http.MethodPost, "/holds/1", key, body)
}

// ticket returns a new ticket.
func (n *node) ticket() string {
	r := n.hold("", "")
	n.c.Assert(r.status, qt.Equals, http.StatusPreconditionRequired)
	return r.header.Get("Request-Ticket")
}

// async runs a request in the background.
func async(request func() clientResponse) <-chan clientResponse {
	done := make(chan clientResponse, 1)
	go func() { done <- request() }()
	return done
}

func (r clientResponse) String() string {
	return fmt.Sprintf("%d %s %q", r.status, r.header.Get("Outcome"), r.body)
}
