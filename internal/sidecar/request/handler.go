// Package request serves the HTTP requests of clients and siblings: it joins
// admission, tickets, the upstream and the siblings.
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
	// tickPeriod is the precision of deadlines.
	tickPeriod = clock.Millis(20)
	// leavingGrace is how long a leaving sidecar takes new work, which gives
	// balancers and clients the time to learn that it leaves.
	leavingGrace = 2 * clock.Second
	// defaultDeadline stands in for a kind without a deadline.
	defaultDeadline = 30 * clock.Second
)

// Handler is the http.Handler of a sidecar.
type Handler struct {
	config    Config
	gate      *gate
	tickets   *tickets
	deadlines deadlines
	budget    budget
	memory    memory
	metrics   *metrics

	mutex   sync.Mutex
	service contract.Service
	leaving bool
	left    clock.Millis
	active  int
	idle    chan struct{}
}

// Config configures a Handler.
type Config struct {
	Self    identity.OwnerID
	Service contract.Service
	Keys    *keyring.Store
	Clock   clock.Clock
	// Ticker drives deadlines. It is clock.SystemTicker if nil.
	Ticker clock.Ticker
	// Random returns a number in [0, 1). It is called by several goroutines.
	Random   func() float64
	Upstream *upstream.Client
	// Siblings knows the loads of the siblings. The Handler drives its Tick.
	Siblings *sibling.LoadExchange
	// SiblingClient passes requests to siblings.
	SiblingClient *sibling.Client
	// Flows returns the number of open flows for Load. It may be nil.
	Flows func() int
	// Logger may be nil.
	Logger *zap.Logger
	// Metrics may be nil.
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
				if h.closed(config.Clock.Now()) {
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

// ServeHTTP answers a request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.enter()
	defer h.exit()
	kind, ok := h.match(r)
	if !ok {
		rejectKind(w, r)
		return
	}
	e := h.begin(w, r, kind)
	defer e.end()
	if ticketed(kind) && e.origin.Hop != sibling.HandedOff {
		e.serveTicketed()
		return
	}
	e.serve()
}

// rejectKind refuses work that the contract does not list. A sibling can have
// another revision of the contract, so it is told that the work was not run.
func rejectKind(w http.ResponseWriter, r *http.Request) {
	const detail = "The service has no such work."
	if sibling.OriginOf(r.Context()).Hop == sibling.HandedOff {
		writeProblem(w, notRun(detail, 0))
		return
	}
	writeProblem(w, problem{Status: http.StatusNotFound, Detail: detail})
}

// ticketed reports whether a request needs a ticket. A stream is only read, so
// that opening it twice does no harm.
func ticketed(kind contract.Kind) bool {
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

// Leave makes the sidecar issue no tickets and refuse those that it has not seen.
// From two seconds later it refuses all work that was not started and that no
// sibling takes.
func (h *Handler) Leave() {
	h.mutex.Lock()
	if !h.leaving {
		h.leaving = true
		h.left = h.config.Clock.Now()
	}
	h.mutex.Unlock()
	h.tickets.leave()
}

// Drain waits until no request is in progress. It returns the cause of the end of
// ctx if that comes first.
func (h *Handler) Drain(ctx context.Context) error {
	for {
		h.mutex.Lock()
		if h.active == 0 {
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

// Load returns what siblings are told about this sidecar. The slots are those
// that the weight of the upstream leaves, rounded to the nearest number: an
// upstream that sheds load (weight 1) gets no work from siblings, and a cold one
// gets its first slot filled from weight 3.
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

// closed reports whether no new work starts here, because the sidecar leaves or
// its upstream drains. Siblings get what they can take.
func (h *Handler) closed(now clock.Millis) bool {
	if h.config.Upstream.RefusesWork() {
		return true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.leaving && now-h.left >= leavingGrace
}

func (h *Handler) enter() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.active++
}

func (h *Handler) exit() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.active--
	if h.active == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}
