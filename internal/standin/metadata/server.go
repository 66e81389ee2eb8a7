package metadata

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Fault is a fault of the store that a Server simulates.
type Fault int

// Faults.
const (
	Works Fault = iota
	// Unavailable responds with status 503 and does not execute the request.
	Unavailable
	// RateLimits responds with status 429 and does not execute the request.
	RateLimits
	// Delays holds each request for requestDelay before it executes it.
	Delays
	// DropsResponses executes the request and closes the connection without a response.
	DropsResponses
	// Hangs neither executes the request nor responds.
	Hangs
	// FaultCount is the number of faults.
	FaultCount
)

const requestDelay = 300 * time.Millisecond

// pageLength is the maximum number of items in a response to a range.
const pageLength = 500

// epochHeader states the epoch in every response.
const epochHeader = "Store-Era"

// Server serves the published interface of the users' metadata store in real time.
type Server struct {
	startedAt time.Time
	mutex     sync.Mutex
	state     *Store
	fault     Fault
	// changed is closed and replaced at each change, to wake up watches.
	changed chan struct{}
}

// NewServer returns a server of an empty store.
func NewServer() *Server {
	return &Server{startedAt: time.Now(), state: New(), changed: make(chan struct{})}
}

// SetFault replaces the current fault.
func (s *Server) SetFault(f Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// Update changes the state and wakes up watches. The function must not keep the state.
func (s *Server) Update(change func(*Store)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s.state)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) now() clock.Millis { return clock.FromDuration(time.Since(s.startedAt)) }

// Handler returns the HTTP interface of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, call := range map[string]func(*http.Request) response{
		"GET /orioledyke/kv-key": s.get, "GET /orioledyke/kv-range": s.list, "GET /orioledyke/kv-watch": s.watch,
		"POST /orioledyke/kv-txn": s.transaction, "POST /orioledyke/kv-lease": s.grant,
		"POST /orioledyke/kv-keep/{id}": s.keepAlive, "DELETE /orioledyke/kv-lease-end/{id}": s.revoke,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, call) })
	}
	return mux
}

// serve handles a request under the current fault. Leases whose TTL has passed end only here,
// at the next request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, call func(*http.Request) response) {
	s.Update(func(state *Store) { state.Expire(s.now()) })
	s.mutex.Lock()
	fault := s.fault
	s.mutex.Unlock()
	switch fault {
	case Unavailable:
		s.write(w, s.respond(http.StatusServiceUnavailable, empty{}))
		return
	case RateLimits:
		s.write(w, s.respond(http.StatusTooManyRequests, empty{}))
		return
	case Hangs:
		<-r.Context().Done()
		return
	case Delays:
		select {
		case <-r.Context().Done():
		case <-time.After(requestDelay):
		}
	}
	result := call(r)
	if fault == DropsResponses {
		panic(http.ErrAbortHandler)
	}
	s.write(w, result)
}

// response is a response with the epoch in which the call was executed.
type response struct {
	status int
	body   any
	epoch  uint64
}

// respond returns a response of the current epoch.
func (s *Server) respond(status int, body any) response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return response{status: status, body: body, epoch: s.state.Epoch()}
}

func (s *Server) write(w http.ResponseWriter, r response) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(epochHeader, strconv.FormatUint(r.epoch, 10))
	w.WriteHeader(r.status)
	// The client sees a failed write as a missing response.
	_ = json.NewEncoder(w).Encode(r.body)
}

type empty struct{}

// execute executes a call on the state, without a change that watches must notice.
func (s *Server) execute(call func(*Store) (int, any)) response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status, body := call(s.state)
	return response{status: status, body: body, epoch: s.state.Epoch()}
}

// change executes a call on the state and wakes up watches.
func (s *Server) change(call func(*Store) (int, any)) (r response) {
	s.Update(func(state *Store) {
		status, body := call(state)
		r = response{status: status, body: body, epoch: state.Epoch()}
	})
	return r
}

func (s *Server) get(r *http.Request) response {
	return s.execute(func(state *Store) (int, any) {
		item, ok := state.Get(r.URL.Query().Get("key"))
		if !ok {
			return http.StatusNotFound, empty{}
		}
		return http.StatusOK, struct {
			Item
			StoreRevision uint64 `json:"storeRevision"`
		}{item, state.Revision()}
	})
}

func (s *Server) list(r *http.Request) response {
	query := r.URL.Query()
	return s.execute(func(state *Store) (int, any) {
		items := state.List(query.Get("prefix"), query.Get("after"))
		page := items[:min(len(items), pageLength)]
		return http.StatusOK, struct {
			Items         []Item `json:"items"`
			Truncated     bool   `json:"truncated"`
			StoreRevision uint64 `json:"storeRevision"`
		}{page, len(page) < len(items), state.Revision()}
	})
}

func (s *Server) watch(r *http.Request) response {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return s.respond(http.StatusBadRequest, empty{})
	}
	waitMs, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		return s.respond(http.StatusBadRequest, empty{})
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	for {
		var changed chan struct{}
		result := s.execute(func(state *Store) (int, any) {
			changed = s.changed
			events, available := state.Events(query.Get("prefix"), after)
			if !available {
				return http.StatusGone, empty{}
			}
			if len(events) == 0 && ctx.Err() == nil {
				return 0, nil
			}
			return http.StatusOK, struct {
				Events        []Item `json:"events"`
				StoreRevision uint64 `json:"storeRevision"`
			}{events, state.Revision()}
		})
		if result.status != 0 {
			return result
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (s *Server) transaction(r *http.Request) response {
	var transaction Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		return s.respond(http.StatusBadRequest, empty{})
	}
	return s.change(func(state *Store) (int, any) {
		switch state.Transact(transaction) {
		case Conflict:
			items := []Item{}
			for _, expected := range transaction.Expected {
				if item, ok := state.Get(expected.Key); ok {
					items = append(items, item)
				}
			}
			return http.StatusPreconditionFailed, map[string][]Item{"items": items}
		case NoLease:
			return http.StatusNotFound, empty{}
		default:
			return http.StatusOK, map[string]uint64{"revision": state.Revision()}
		}
	})
}

func (s *Server) grant(r *http.Request) response {
	var body struct {
		TTLMs clock.Millis `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return s.respond(http.StatusBadRequest, empty{})
	}
	return s.execute(func(state *Store) (int, any) {
		return http.StatusOK, map[string]any{"lease": state.Grant(s.now(), body.TTLMs), "ttlMs": body.TTLMs}
	})
}

// leaseID returns the ID of the lease that a request names, or 0 if it is not a number.
func leaseID(r *http.Request) uint64 {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Server) keepAlive(r *http.Request) response {
	return s.execute(func(state *Store) (int, any) {
		ttl, ok := state.Renew(s.now(), leaseID(r))
		if !ok {
			return http.StatusNotFound, empty{}
		}
		return http.StatusOK, map[string]clock.Millis{"ttlMs": ttl}
	})
}

func (s *Server) revoke(r *http.Request) response {
	return s.change(func(state *Store) (int, any) {
		if !state.EndLease(leaseID(r)) {
			return http.StatusNotFound, empty{}
		}
		return http.StatusOK, empty{}
	})
}
