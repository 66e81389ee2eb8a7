// Package request serves the HTTP requests of clients and siblings. It combines
// admission, tickets, calls to the upstream and hand-offs to siblings.
package request

import (
	"context"
	"net/http"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// tickPeriod is the period at which deadlines, queues and load messages are
	// processed. It is the precision of deadlines.
	tickPeriod = clock.Millis(20)
	// leavingGrace is how long a leaving sidecar still starts new requests. It gives
	// balancers and clients time to learn that the sidecar is leaving.
	leavingGrace = 2 * clock.Second
	// defaultDeadline is the deadline of requests of a kind without one.
	defaultDeadline = 30 * clock.Second
)

// Handler is the http.Handler for all requests to a sidecar. It is safe for concurrent
// use.
type Handler struct {
	config    Config
	gate      *gate
	tickets   *tickets
	deadlines deadlines
	budget    retryBudget
	memory    bodyMemory
	metrics   *metrics

	mutex          sync.Mutex
	service        contract.Service
	leaving        bool
	leavingSince   clock.Millis
	activeRequests int
	// idle is closed when no request is in progress. It is nil unless Drain waits.
	idle chan struct{}
}

// Config configures a Handler.
type Config struct {
	Self    identity.OwnerID
	Service contract.Service
	Keys    *keyring.Store
	Clock   clock.Clock
	// Ticker drives deadlines, queues and load messages. It is clock.SystemTicker if
	// nil.
	Ticker clock.Ticker
	// Random returns a number in [0, 1). It must be safe for concurrent use.
	Random   func() float64
	Upstream *upstream.Client
	// Siblings holds the loads of the siblings. The Handler calls its Tick.
	Siblings *sibling.LoadExchange
	// SiblingClient sends requests to siblings.
	SiblingClient *sibling.Client
	// Flows returns the number of open flows, which Load reports. It may be nil.
	Flows func() int
	// Logger may be nil, for no log.
	Logger *zap.Logger
	// Metrics may be nil, for no metrics.
	Metrics prometheus.Registerer
}

// NewHandler returns a Handler whose goroutine ends with ctx.
func NewHandler(ctx context.Context, config Config) *Handler {
	if config.Ticker == nil {
		config.Ticker = clock.SystemTicker
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	h := &Handler{
		config:  config,
		gate:    newGate(config),
		tickets: newTickets(config),
		service: config.Service,
	}
	h.metrics = newMetrics(config.Metrics, h)
	ticks := config.Ticker(ctx, tickPeriod)
	go func() {
		for {
			select {
			case <-ticks:
				h.deadlines.expire(config.Clock.Now())
				h.gate.tick()
				if h.refusesNewWork(config.Clock.Now()) {
					h.gate.drain()
				}
				config.Siblings.Tick(h.Load(), config.Clock.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	return h
}

// ServeHTTP serves a request of a client or a sibling.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.enter()
	defer h.exit()
	kind, ok := h.match(r)
	if !ok {
		rejectUnknownKind(w, r)
		return
	}
	e := h.begin(w, r, kind)
	defer e.end()
	if needsTicket(kind) && e.origin.Hop != sibling.HandedOff {
		e.serveTicketed()
		return
	}
	e.serve()
}

// rejectUnknownKind refuses a request of a kind that is not in the contract. A sibling
// can have another revision of the contract, so it gets the outcome not-run instead of
// a 404.
func rejectUnknownKind(w http.ResponseWriter, r *http.Request) {
	const detail = "The service has no such work."
	if sibling.OriginOf(r.Context()).Hop == sibling.HandedOff {
		writeProblem(w, notRunProblem(detail, 0))
		return
	}
	writeProblem(w, problem{Status: http.StatusNotFound, Detail: detail})
}

// needsTicket reports whether a request needs a ticket. A stream does not, because it
// is only read and can be opened twice without harm.
func needsTicket(kind contract.Kind) bool {
	return !kind.Repeatable() && !kind.Stream()
}

// SetService replaces the contract of the service.
func (h *Handler) SetService(service contract.Service) {
	h.mutex.Lock()
	h.service = service
	h.mutex.Unlock()
	h.gate.configure(service)
}

// SetSiblings replaces the siblings of this sidecar.
func (h *Handler) SetSiblings(siblings []sibling.Sibling) {
	h.config.Siblings.SetSiblings(siblings)
}

// Leave makes the sidecar issue no more tickets and refuse those that it has not seen.
// Two seconds later, it also stops starting requests: those that no sibling accepts are
// refused.
func (h *Handler) Leave() {
	h.mutex.Lock()
	if !h.leaving {
		h.leaving = true
		h.leavingSince = h.config.Clock.Now()
	}
	h.mutex.Unlock()
	h.tickets.leave()
}

// Drain waits until no request is in progress. If ctx ends first, Drain returns the
// cause.
func (h *Handler) Drain(ctx context.Context) error {
	for {
		h.mutex.Lock()
		if h.activeRequests == 0 {
			h.mutex.Unlock()
			return nil
		}
		if h.idle == nil {
			h.idle = make(chan struct{})
		}
		idle := h.idle
		h.mutex.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Load returns the load that this sidecar reports to its siblings. The number of slots
// is scaled by the weight of the upstream and rounded to the nearest integer. With 3
// slots, for example, an upstream that sheds load (weight 1) gets no requests from
// siblings, and a cold one gets requests for its first slot from weight 3.
func (h *Handler) Load() sibling.Load {
	load := h.gate.load()
	load.Slots = (load.Slots*h.Weight() + upstream.MaxWeight/2) / upstream.MaxWeight
	load.Leaving = h.isLeaving()
	if h.config.Flows != nil {
		load.Flows = h.config.Flows()
	}
	return load
}

// Weight returns the weight of the upstream.
func (h *Handler) Weight() int { return h.config.Upstream.Weight() }

func (h *Handler) isLeaving() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.leaving
}

// refusesNewWork reports whether no new request starts here, because the sidecar is
// leaving or its upstream is draining. Requests are then handed off to siblings with
// free slots.
func (h *Handler) refusesNewWork(now clock.Millis) bool {
	if h.config.Upstream.RefusesWork() {
		return true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.leaving && now-h.leavingSince >= leavingGrace
}

func (h *Handler) enter() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.activeRequests++
}

func (h *Handler) exit() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.activeRequests--
	if h.activeRequests == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}
