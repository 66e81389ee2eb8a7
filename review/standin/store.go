package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is the time that the store takes for an answer.
const answerTime = 4 * time.Millisecond

type item struct {
	Key       string `json:"key"`
	Value     string `json:"value"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// snapshot is the state of the store after a change.
type snapshot struct {
	at    time.Time
	items map[string]item
}

// metadataStore stands in for the platform's store.
type metadataStore struct {
	mutex     sync.Mutex
	changed   chan struct{}
	items     map[string]item
	leases    map[uint64]lease
	history   []item
	revision  uint64
	lastLease uint64
	// silentUntil is the end of an outage, in which no call is executed or answered.
	silentUntil time.Time
	// connections counts the connections so far. Those up to silenced get no answer any more.
	connections, silenced uint64
	// staleness is how old the answers to reads with staleOk are.
	staleness time.Duration
	past      []snapshot
	server    *http.Server
}

func startStore(address string, staleness time.Duration) (*metadataStore, error) {
	s := &metadataStore{
		changed: make(chan struct{}), items: map[string]item{}, leases: map[uint64]lease{}, revision: 100, staleness: staleness,
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /orioledyke/kv-key", s.getKey)
	mux.HandleFunc("GET /orioledyke/kv-range", s.getRange)
	mux.HandleFunc("GET /orioledyke/kv-watch", s.watch)
	mux.HandleFunc("POST /orioledyke/kv-txn", s.transact)
	mux.HandleFunc("POST /orioledyke/kv-lease", s.grant)
	mux.HandleFunc("POST /orioledyke/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /orioledyke/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		if s.silent() || s.isSilenced(r) {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	}), ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.connections++
		return context.WithValue(ctx, connectionKey{}, s.connections)
	}}
	go func() { _ = s.server.Serve(listener) }()
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			s.expire()
		}
	}()
	return s, nil
}

func (s *metadataStore) silent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Now().Before(s.silentUntil)
}

// connectionKey is the key of a connection's number in the contexts of its requests.
type connectionKey struct{}

// isSilenced reports whether the connection of a request has gone silent.
func (s *metadataStore) isSilenced(r *http.Request) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	number, _ := r.Context().Value(connectionKey{}).(uint64)
	return number <= s.silenced
}

// silenceConnections makes all open connections go silent for good. New ones work.
func (s *metadataStore) silenceConnections() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silenced = s.connections
}

// fail makes the store silent for d. With lapse, all leases run out meanwhile.
func (s *metadataStore) fail(d time.Duration, lapse bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silentUntil = time.Now().Add(d)
	if lapse {
		for id := range s.leases {
			s.drop(id)
		}
	}
}

func (s *metadataStore) expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.drop(id)
		}
	}
}

// drop ends a lease. The caller holds the mutex.
func (s *metadataStore) drop(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.change(item{Key: key, Removed: true})
		}
	}
}

// change applies a change. The caller holds the mutex.
func (s *metadataStore) change(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Removed {
		delete(s.items, i.Key)
	} else {
		i.CreateRev = s.revision
		if old, ok := s.items[i.Key]; ok {
			i.CreateRev = old.CreateRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	copied := map[string]item{}
	for key, value := range s.items {
		copied[key] = value
	}
	s.past = append(s.past, snapshot{at: time.Now(), items: copied})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *metadataStore) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// keys returns the keys with a prefix, for the record.
func (s *metadataStore) keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []string
	for key := range s.items {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metadataStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"storeRevision": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

func (s *metadataStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := s.items
	if r.URL.Query().Get("staleOk") == "1" && s.staleness > 0 {
		items = map[string]item{}
		for _, old := range s.past {
			if time.Since(old.at) >= s.staleness {
				items = old.items
			}
		}
	}
	found := []item{}
	for key, i := range items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	answer(w, http.StatusOK, map[string]any{"items": found, "truncated": false, "storeRevision": s.revision})
}

func (s *metadataStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		changed, revision, silent := s.changed, s.revision, time.Now().Before(s.silentUntil)
		s.mutex.Unlock()
		silent = silent || s.isSilenced(r)
		if len(events) > 0 && !silent {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			if s.silent() || s.isSilenced(r) {
				<-r.Context().Done()
				return
			}
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "storeRevision": revision})
			return
		}
	}
}

func (s *metadataStore) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		s.change(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.change(item{Key: key, Removed: true})
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *metadataStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.lastLease, "ttlMs": body.TTLMs})
}

func (s *metadataStore) keep(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	l, ok := s.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.leases[id] = l
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *metadataStore) endLease(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if _, ok := s.leases[id]; !ok {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.drop(id)
	answer(w, http.StatusOK, map[string]any{})
}
