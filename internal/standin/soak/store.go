package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeFault is a fault of the store.
type storeFault int

const (
	storeWorks storeFault = iota
	// storeUnavailable responds with status 503 and does not execute the request.
	storeUnavailable
	// storeRateLimits responds with status 429 and does not execute the request.
	storeRateLimits
	// storeDelays holds each request for requestDelay before it executes it.
	storeDelays
	// storeDropsResponses executes the request and closes the connection without a
	// response.
	storeDropsResponses
	// storeHangs neither executes the request nor responds.
	storeHangs
	storeFaultCount
)

const (
	requestDelay = 300 * time.Millisecond
	// historyLength is the largest number of events that the store keeps.
	historyLength = 200
)

// storeItem is a key with its value, or an event in the history.
type storeItem struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// store is a stand-in for the users' metadata store with its published interface.
type store struct {
	mutex    sync.Mutex
	items    map[string]storeItem
	leases   map[uint64]*lease
	history  []storeItem
	revision uint64
	// compacted is the last revision whose event is no longer in the history.
	compacted uint64
	lastLease uint64
	fault     storeFault
	// changed is closed and replaced at each change, to wake up watches.
	changed chan struct{}
}

func newStore() *store {
	return &store{items: map[string]storeItem{}, leases: map[uint64]*lease{}, revision: 10, changed: make(chan struct{})}
}

func (s *store) setFault(f storeFault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = f
}

// put writes a key as an operator does, without a lease.
func (s *store) put(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.change(storeItem{Key: key, Value: value})
}

// compact drops the history.
func (s *store) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compacted = nil, s.revision
}

// expireLeases ends all leases, also those whose TTL has not passed, and removes their keys.
func (s *store) expireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// change applies a put or a removal. The caller holds the mutex.
func (s *store) change(item storeItem) {
	s.revision++
	item.Revision = s.revision
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		item.CreateRev = s.revision
		if old, ok := s.items[item.Key]; ok {
			item.CreateRev = old.CreateRev
		}
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	if len(s.history) > historyLength {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease ends a lease and removes its keys. The caller holds the mutex.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.change(storeItem{Key: key, Removed: true})
		}
	}
}

// handler returns the HTTP interface of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, call := range map[string]func(*http.Request) (int, any){
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
func (s *store) serve(w http.ResponseWriter, r *http.Request, call func(*http.Request) (int, any)) {
	s.mutex.Lock()
	fault := s.fault
	for id, l := range s.leases {
		if time.Now().After(l.expiresAt) {
			s.endLease(id)
		}
	}
	s.mutex.Unlock()
	switch fault {
	case storeUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeRateLimits:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	case storeHangs:
		<-r.Context().Done()
		return
	case storeDelays:
		wait(r.Context(), requestDelay)
	}
	status, body := call(r)
	if fault == storeDropsResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client sees a failed write as a missing response.
	_ = json.NewEncoder(w).Encode(body)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

type empty struct{}

func (s *store) get(r *http.Request) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, empty{}
	}
	return http.StatusOK, struct {
		storeItem
		StoreRevision uint64 `json:"storeRevision"`
	}{item, s.revision}
}

func (s *store) list(r *http.Request) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	query := r.URL.Query()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return http.StatusOK, struct {
		Items         []storeItem `json:"items"`
		Truncated     bool        `json:"truncated"`
		StoreRevision uint64      `json:"storeRevision"`
	}{items, false, s.revision}
}

func (s *store) watch(r *http.Request) (int, any) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, empty{}
	}
	waitMs, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		return http.StatusBadRequest, empty{}
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	for {
		s.mutex.Lock()
		events := []storeItem{}
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				events = append(events, event)
			}
		}
		revision, compacted, changed := s.revision, after < s.compacted, s.changed
		s.mutex.Unlock()
		if compacted {
			return http.StatusGone, empty{}
		}
		if len(events) > 0 || ctx.Err() != nil {
			return http.StatusOK, struct {
				Events        []storeItem `json:"events"`
				StoreRevision uint64      `json:"storeRevision"`
			}{events, revision}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (s *store) transaction(r *http.Request) (int, any) {
	var body struct {
		Expected []storeItem `json:"expected"`
		Puts     []storeItem `json:"puts"`
		Remove   []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, empty{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, expected := range body.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			return http.StatusPreconditionFailed, struct {
				Items []storeItem `json:"items"`
			}{[]storeItem{s.items[expected.Key]}}
		}
	}
	for _, put := range body.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return http.StatusNotFound, empty{}
		}
	}
	for _, put := range body.Puts {
		s.change(storeItem{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range body.Remove {
		s.change(storeItem{Key: key, Removed: true})
	}
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, empty{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": body.TTLMs}
}

// findLease returns the lease that a request names, nil if there is none. The caller holds
// the mutex.
func (s *store) findLease(r *http.Request) (uint64, *lease) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0, nil
	}
	return id, s.leases[id]
}

func (s *store) keepAlive(r *http.Request) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, l := s.findLease(r)
	if l == nil {
		return http.StatusNotFound, empty{}
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()}
}

func (s *store) revoke(r *http.Request) (int, any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, l := s.findLease(r)
	if l == nil {
		return http.StatusNotFound, empty{}
	}
	s.endLease(id)
	return http.StatusOK, empty{}
}
