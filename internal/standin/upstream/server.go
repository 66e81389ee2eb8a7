// Package upstream is a stand-in for the services of a customer: an HTTP server
// with slots that starts cold, drains and sheds work.
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

// Names of the services that an upstream can stand for.
const (
	GrowerPortal = "grower-portal"
	Weighbridge  = "weighbridge"
)

const (
	// TimeoutHeader tells the milliseconds that the caller still waits.
	TimeoutHeader = "Request-Timeout"

	outcomeHeader   = "Outcome"
	outcomeNotRun   = "not-run"
	retryAfterValue = "1"
	bodyLimit       = 1 << 20
)

// Config configures a Server.
type Config struct {
	// Service is GrowerPortal or Weighbridge.
	Service string
	// Slots is how many requests run at a time; further ones are shed.
	Slots int
	// ServiceTime is the mean duration of a request once warm.
	ServiceTime clock.Millis
	// ColdStart is how long service times take to fall from ColdFactor times
	// the normal ones to the normal ones.
	ColdStart  clock.Millis
	ColdFactor float64
	// DrainGrace is how long new work is still answered after a drain began.
	DrainGrace clock.Millis
	// HealthLag is the age of the state that /health shows.
	HealthLag clock.Millis
	// BoardInterval is the time between two events of a board.
	BoardInterval clock.Millis
	Seed          uint64
	Clock         clock.Clock
	// Sleep returns nil after a duration, or the context's error before it. It
	// is the machine's timer if it is left out.
	Sleep func(context.Context, clock.Millis) error
}

// Reply is the body of every response and, with Sequence, of a board's events.
type Reply struct {
	Service string `json:"service"`
	// Number is the number that the client gave the request.
	Number uint64 `json:"number"`
	// Sequence counts the events of one board from 1.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Request is the body of a booking or weigh-in.
type Request struct {
	Number uint64 `json:"number"`
}

// Runs is the body of GET /admin/runs: how often each booking ran.
type Runs struct {
	Service string         `json:"service"`
	Runs    map[uint64]int `json:"runs"`
	Shed    int            `json:"shed"`
}

// Activity is the body of GET /admin/activity: what an outside judge needs to
// know about the work that reached the upstream.
type Activity struct {
	Service string `json:"service"`
	// Misrouted counts requests whose path belongs to another service.
	Misrouted int `json:"foreign"`
	// Interrupted counts requests in progress that their caller cancelled.
	Interrupted int `json:"interrupted"`
	// Arrivals counts new work, also work that was shed.
	Arrivals int `json:"arrivals"`
	// ArrivalAge is the time since the last new work, or negative without any.
	ArrivalAge clock.Millis `json:"arrival-age-ms"`
	// OpenBoards are the numbers of the boards that are open.
	OpenBoards []uint64 `json:"open-boards"`
}

// Server answers the requests of one service. It is an http.Handler.
type Server struct {
	config Config
	mux    *http.ServeMux
	mutex  sync.Mutex
	state  *state
}

// New returns a Server.
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
		s.mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) { s.work(w, r, true) })
		s.mux.HandleFunc("GET /board", s.board)
	} else {
		s.mux.HandleFunc("POST /weigh-ins", func(w http.ResponseWriter, r *http.Request) { s.work(w, r, false) })
	}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("GET /admin/ready", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /admin/runs", s.runs)
	s.mux.HandleFunc("GET /admin/activity", s.activity)
	s.mux.HandleFunc("/", s.foreign)
	s.mux.HandleFunc("PUT /admin/drain", func(w http.ResponseWriter, _ *http.Request) { s.drain(w, true) })
	s.mux.HandleFunc("DELETE /admin/drain", func(w http.ResponseWriter, _ *http.Request) { s.drain(w, false) })
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

// locked runs f on the state at the current time.
func (s *Server) locked(f func(*state, clock.Millis)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(s.state, s.config.Clock.Now())
}

func (s *Server) work(w http.ResponseWriter, r *http.Request, booking bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
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
	var taken bool
	var serviceTime clock.Millis
	s.locked(func(st *state, now clock.Millis) {
		st.arrived(now)
		if taken = st.take(now); !taken {
			return
		}
		serviceTime = st.serviceTime(now)
		// A booking counts as run from its start: a cancelled one may already
		// have had an effect.
		if booking {
			st.ran(request.Number)
		}
	})
	if !taken {
		shed(w)
		return
	}
	defer s.locked(func(st *state, _ clock.Millis) { st.release() })
	if err := s.config.Sleep(ctx, serviceTime); err != nil {
		if r.Context().Err() != nil {
			s.locked(func(st *state, _ clock.Millis) { st.interrupted++ })
		}
		http.Error(w, "cancelled or past the deadline", http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Reply{Service: s.config.Service, Number: request.Number})
}

// withDeadline returns the request's context with the deadline of its header.
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

func shed(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, outcomeNotRun)
	w.Header().Set("Retry-After", retryAfterValue)
	http.Error(w, "no free slot", http.StatusServiceUnavailable)
}

// board sends events until the client closes. A drain leaves open boards open.
func (s *Server) board(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.URL.Query().Get("number"), 10, 64)
	if err != nil {
		http.Error(w, "number: want a whole number in the query", http.StatusBadRequest)
		return
	}
	var accepted bool
	s.locked(func(st *state, now clock.Millis) {
		st.arrived(now)
		if accepted = st.accepts(now); accepted {
			st.boards[number]++
		}
	})
	if !accepted {
		shed(w)
		return
	}
	defer s.locked(func(st *state, _ clock.Millis) { st.closeBoard(number) })
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

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	var status string
	s.locked(func(st *state, now clock.Millis) { status = st.reported(now) })
	w.Header().Set("Content-Type", "application/json")
	if status != serving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]string{"status": status})
}

func (s *Server) runs(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.locked(func(st *state, _ clock.Millis) {
		_ = json.NewEncoder(w).Encode(Runs{Service: s.config.Service, Runs: st.runs, Shed: st.shed})
	})
}

func (s *Server) activity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	s.locked(func(st *state, now clock.Millis) { _ = json.NewEncoder(w).Encode(st.activity(now)) })
}

// foreign counts a request that only another service understands.
func (s *Server) foreign(w http.ResponseWriter, r *http.Request) {
	s.locked(func(st *state, _ clock.Millis) { st.foreign++ })
	http.NotFound(w, r)
}

func (s *Server) drain(w http.ResponseWriter, on bool) {
	s.locked(func(st *state, now clock.Millis) { st.setDraining(on, now) })
	w.WriteHeader(http.StatusNoContent)
}
