// Package upstream is a stand-in for the services of a customer. It is an HTTP
// server that runs a limited number of requests at a time in slots, is slow after
// its start, can be drained, and sheds work that it has no slot for.
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
	// TimeoutHeader is the request header with the time in milliseconds for which
	// the caller still waits.
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
	// Slots is the number of bookings or weigh-ins that run at the same time. More
	// are shed. Boards take no slot.
	Slots int
	// ServiceTime is the mean duration of a request after the cold start.
	ServiceTime clock.Millis
	// ColdStart is the time after the start in which service times fall from
	// ColdFactor times the normal ones to the normal ones.
	ColdStart  clock.Millis
	ColdFactor float64
	// DrainGrace is the time after the start of a drain in which new work is still
	// accepted.
	DrainGrace clock.Millis
	// HealthLag is the time by which /health lags behind the actual state.
	HealthLag clock.Millis
	// BoardInterval is the time between two events of a board.
	BoardInterval clock.Millis
	// Seed determines the service times.
	Seed  uint64
	Clock clock.Clock
	// Sleep returns nil after a duration, or the error of the context if that ends
	// earlier. Nil means the timer of the system.
	Sleep func(context.Context, clock.Millis) error
}

// Reply is the body of a successful response to a booking or weigh-in. With
// Sequence it is the data of an event of a board.
type Reply struct {
	Service string `json:"service"`
	// Number is the number of the request, which the client has chosen.
	Number uint64 `json:"number"`
	// Sequence counts the events of one board from 1.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Request is the body of a booking or weigh-in.
type Request struct {
	Number uint64 `json:"number"`
}

// Runs is the body of GET /admin/runs. The field Runs holds how often each booking
// ran, by its number. Shed counts the requests that found no free slot or came
// after the grace of a drain, except boards.
type Runs struct {
	Service string         `json:"service"`
	Runs    map[uint64]int `json:"runs"`
	Shed    int            `json:"shed"`
}

// Activity is the body of GET /admin/activity. It describes the work that reached
// the upstream to a test that observes the system from outside.
type Activity struct {
	Service string `json:"service"`
	// Misrouted counts requests whose path belongs to another service.
	Misrouted int `json:"foreign"`
	// Interrupted counts requests that their caller cancelled while they were in
	// progress.
	Interrupted int `json:"interrupted"`
	// Arrivals counts new bookings, weigh-ins and boards, including those that were
	// shed.
	Arrivals int `json:"arrivals"`
	// ArrivalAge is the time since the last arrival. It is negative if there was
	// none.
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
// if the service is unknown or there is no slot.
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

// serveWork serves a booking or a weigh-in, which takes a slot for its service time.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request, booking bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, "body: must be a JSON object with a number", http.StatusBadRequest)
		return
	}
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	var taken bool
	var serviceTime clock.Millis
	s.withState(func(st *state, now clock.Millis) {
		st.countArrival(now)
		if taken = st.takeSlot(now); !taken {
			return
		}
		serviceTime = st.serviceTime(now)
		// A booking counts as run from its start, because a cancelled one may
		// already have had an effect.
		if booking {
			st.countRun(request.Number)
		}
	})
	if !taken {
		respondShed(w)
		return
	}
	defer s.withState(func(st *state, _ clock.Millis) { st.releaseSlot() })
	if err := s.config.Sleep(ctx, serviceTime); err != nil {
		if r.Context().Err() != nil {
			s.withState(func(st *state, _ clock.Millis) { st.interrupted++ })
		}
		http.Error(w, "request cancelled or deadline exceeded", http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Service: s.config.Service, Number: request.Number})
}

// withDeadline returns the context of the request with the deadline that its
// TimeoutHeader sets, if any.
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

// respondShed refuses a request with status 503 and the outcome "not-run".
func respondShed(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, outcomeNotRun)
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// serveBoard sends events of a board until the client closes it. A drain refuses new
// boards but leaves open ones open.
func (s *Server) serveBoard(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(w, "number: the query must contain a whole number", http.StatusBadRequest)
		return
	}
	var accepted bool
	s.withState(func(st *state, now clock.Millis) {
		st.countArrival(now)
		if accepted = st.acceptsWork(now); accepted {
			st.boards[number]++
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
		data, err := json.Marshal(Reply{Service: s.config.Service, Number: number, Sequence: sequence})
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

// rejectMisrouted counts a request that only another service handles, and responds
// with status 404.
func (s *Server) rejectMisrouted(w http.ResponseWriter, r *http.Request) {
	s.withState(func(st *state, _ clock.Millis) { st.misrouted++ })
	http.NotFound(w, r)
}

func (s *Server) serveDrain(w http.ResponseWriter, on bool) {
	s.withState(func(st *state, now clock.Millis) { st.setDraining(on, now) })
	w.WriteHeader(http.StatusNoContent)
}
