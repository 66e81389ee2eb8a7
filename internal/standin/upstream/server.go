// Package upstream is a stand-in for the services of a customer. It is an HTTP
// server with a limited number of slots. Each slot runs one booking or weigh-in at a
// time, and those that find no free slot are shed. The server is slow after its start
// and can be drained.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/samber/oops"
)

// Names of the services that a Server can serve.
const (
	GrowerPortal = "grower-portal"
	Weighbridge  = "weighbridge"
)

const (
	// TimeoutHeader is the request header that holds how long the caller still waits
	// for the response, in milliseconds.
	TimeoutHeader = "Request-Timeout"

	outcomeHeader     = "Outcome"
	outcomeNotRun     = "not-run"
	retryAfterSeconds = "1"
	maxBodyBytes      = 1 << 20
)

// Config configures a Server.
type Config struct {
	// Service is GrowerPortal or Weighbridge.
	Service string
	// Slots is the largest number of bookings or weigh-ins that run at the same
	// time. Further ones are shed. Boards take no slot.
	Slots int
	// ServiceTime is the mean duration of a booking or weigh-in after the cold
	// start.
	ServiceTime clock.Millis
	// ColdStart is how long after the start requests take longer than normal. The
	// factor falls from ColdFactor to 1 in that time.
	ColdStart  clock.Millis
	ColdFactor float64
	// DrainGrace is the time after the start of a drain in which new work is still
	// accepted.
	DrainGrace clock.Millis
	// HealthLag is the time after which /health shows a change of the state.
	HealthLag clock.Millis
	// BoardInterval is the time between two events of a board.
	BoardInterval clock.Millis
	// Seed determines the service times.
	Seed  uint64
	Clock clock.Clock
	// Sleep returns nil after the duration. If the context ends earlier, Sleep
	// returns the error of the context. A nil Sleep means the timer of the system.
	Sleep func(context.Context, clock.Millis) error
}

// Response is the body of a successful response to a booking or weigh-in, and the
// data of each event of a board.
type Response struct {
	Service string `json:"service"`
	// Number is the number of the request, which the client has chosen.
	Number uint64 `json:"number"`
	// Sequence counts the events of one board from 1. It is 0 for bookings and
	// weigh-ins.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Request is the body of a booking or weigh-in.
type Request struct {
	Number uint64 `json:"number"`
}

// Runs is the body of GET /admin/runs.
type Runs struct {
	Service string `json:"service"`
	// Runs holds how often each booking ran, by its number.
	Runs map[uint64]int `json:"runs"`
	// Shed counts the bookings and weigh-ins that found no free slot or arrived
	// after the grace of a drain. It does not count boards.
	Shed int `json:"shed"`
}

// Activity is the body of GET /admin/activity. It tells a test that observes the
// system from outside which work has reached the upstream.
type Activity struct {
	Service string `json:"service"`
	// Misrouted counts requests whose path or method this service does not handle,
	// such as requests for another service.
	Misrouted int `json:"foreign"`
	// Interrupted counts bookings and weigh-ins whose caller cancelled them while
	// they were in progress. It does not count boards.
	Interrupted int `json:"interrupted"`
	// Arrivals counts new bookings, weigh-ins and boards, including those that were
	// shed. It does not count malformed ones.
	Arrivals int `json:"arrivals"`
	// ArrivalAge is the time since the last arrival. It is negative if nothing has
	// arrived.
	ArrivalAge clock.Millis `json:"arrival-age-ms"`
	// OpenBoards holds the numbers of the open boards in ascending order.
	OpenBoards []uint64 `json:"open-boards"`
}

// Server is an http.Handler that serves the requests of one service.
type Server struct {
	config Config
	mux    *http.ServeMux
	mutex  sync.Mutex
	state  *state
}

// New returns a Server that accepts work and whose cold start begins now. It fails
// if Service is unknown or Slots is less than 1.
func New(config Config) (*Server, error) {
	if config.Service != GrowerPortal && config.Service != Weighbridge {
		return nil, oops.Code("upstream-invalid").Errorf("service: want %s or %s, got %q", GrowerPortal, Weighbridge, config.Service)
	}
	if config.Slots < 1 {
		return nil, oops.Code("upstream-invalid").Errorf("slots: want at least 1, got %d", config.Slots)
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	s := &Server{config: config, mux: http.NewServeMux(), state: newState(config, config.Clock.Now())}
	if config.Service == GrowerPortal {
		s.mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) { s.serveWork(w, r, true) })
		s.mux.HandleFunc("GET /board", s.serveBoard)
	} else {
		s.mux.HandleFunc("POST /weigh-ins", func(w http.ResponseWriter, r *http.Request) { s.serveWork(w, r, false) })
	}
	s.mux.HandleFunc("GET /health", s.serveHealth)
	s.mux.HandleFunc("GET /admin/ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /admin/runs", s.serveRuns)
	s.mux.HandleFunc("GET /admin/activity", s.serveActivity)
	s.mux.HandleFunc("/", s.rejectMisrouted)
	s.mux.HandleFunc("PUT /admin/drain", func(w http.ResponseWriter, _ *http.Request) { s.serveDrain(w, true) })
	s.mux.HandleFunc("DELETE /admin/drain", func(w http.ResponseWriter, _ *http.Request) { s.serveDrain(w, false) })
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

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

// withState calls f with the state and the current time while it holds the mutex.
func (s *Server) withState(f func(*state, clock.Millis)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.state, s.config.Clock.Now())
}

// serveWork serves a booking or a weigh-in. The request takes a slot for its service
// time.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request, booking bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, "body: want JSON with number", http.StatusBadRequest)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	var slotTaken bool
	var serviceTime clock.Millis
	s.withState(func(st *state, now clock.Millis) {
		st.countArrival(now)
		if slotTaken = st.takeSlot(now); !slotTaken {
			return
		}
		serviceTime = st.serviceTime(now)
		// A booking counts as run from its start, because a cancelled one may
		// already have had an effect.
		if booking {
			st.countRun(request.Number)
		}
	})
	if !slotTaken {
		respondShed(w)
		return
	}
	defer s.withState(func(st *state, _ clock.Millis) { st.releaseSlot() })
	if err := s.config.Sleep(ctx, serviceTime); err != nil {
		if r.Context().Err() != nil {
			s.withState(func(st *state, _ clock.Millis) { st.interrupted++ })
		}
		http.Error(w, "cancelled or past the deadline", http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{Service: s.config.Service, Number: request.Number})
}

// withDeadline returns a context derived from that of the request. With a
// TimeoutHeader it also ends after that time.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	value := r.Header.Get(TimeoutHeader)
	if value == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	millis, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: want milliseconds, got %q", TimeoutHeader, value)
	}
	ctx, cancel := context.WithTimeout(r.Context(), clock.Millis(millis).Duration())
	return ctx, cancel, nil
}

// respondShed refuses a request with status 503 and the outcome "not-run", because
// there is no free slot or the grace of a drain has passed.
func respondShed(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, outcomeNotRun)
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// serveBoard sends events of a board until the client closes the board. During a
// drain, new boards are accepted until DrainGrace has passed. Open boards stay open.
func (s *Server) serveBoard(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(w, "number: want a whole number in the query", http.StatusBadRequest)
		return
	}
	var accepted bool
	s.withState(func(st *state, now clock.Millis) {
		st.countArrival(now)
		if accepted = st.acceptsWork(now); accepted {
			st.openBoards[number]++
		}
	})
	if !accepted {
		respondShed(w)
		return
	}
	defer s.withState(func(st *state, _ clock.Millis) { st.closeBoard(number) })
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for sequence := uint64(1); ; sequence++ {
		data, err := json.Marshal(Response{Service: s.config.Service, Number: number, Sequence: sequence})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", sequence, data); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		if err := s.config.Sleep(r.Context(), s.config.BoardInterval); err != nil {
			return
		}
	}
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	var status string
	s.withState(func(st *state, now clock.Millis) { status = st.reportedHealth(now) })
	w.Header().Set("Content-Type", "application/json")
	if status != serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"status": status})
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.withState(func(st *state, _ clock.Millis) {
		_ = json.NewEncoder(w).Encode(Runs{Service: s.config.Service, Runs: st.runs, Shed: st.shed})
	})
}

func (s *Server) serveActivity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.withState(func(st *state, now clock.Millis) { _ = json.NewEncoder(w).Encode(st.activity(now)) })
}

// rejectMisrouted counts a request whose path or method this service does not
// handle, and responds with status 404.
func (s *Server) rejectMisrouted(w http.ResponseWriter, r *http.Request) {
	s.withState(func(st *state, _ clock.Millis) { st.misrouted++ })
	http.NotFound(w, r)
}

func (s *Server) serveDrain(w http.ResponseWriter, on bool) {
	s.withState(func(st *state, now clock.Millis) { st.setDraining(on, now) })
	w.WriteHeader(http.StatusNoContent)
}
