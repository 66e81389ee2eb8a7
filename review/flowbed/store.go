package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay = 4 * time.Millisecond
	// maxWatch is the longest wait of a watch.
	maxWatch = 30 * time.Second
)

// item is a key of the store, or the event of its removal.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store as its page describes it, without faults.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]*lease
	lastID   uint64
	events   []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: map[string]item{}, leases: map[uint64]*lease{}, lastID: 100, changed: make(chan struct{})}
}

func (s *store) write(key, value string, leaseID uint64) {
	created := s.items[key].CreateRev
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreateRev: created, Lease: leaseID}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key for the operator.
func (s *store) set(key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// takeAway removes the keys that end with a suffix, as the platform does.
func (s *store) takeAway(suffix string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	for key := range s.items {
		if strings.HasSuffix(key, suffix) {
			s.remove(key)
		}
	}
	s.notify()
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /orioledyke/kv-key", s.get)
	mux.HandleFunc("GET /orioledyke/kv-range", s.list)
	mux.HandleFunc("GET /orioledyke/kv-watch", s.watch)
	mux.HandleFunc("POST /orioledyke/kv-txn", s.transact)
	mux.HandleFunc("POST /orioledyke/kv-lease", s.grant)
	mux.HandleFunc("POST /orioledyke/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /orioledyke/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such key"})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "createRev": it.CreateRev, "lease": it.Lease, "storeRevision": s.revision,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	q := r.URL.Query()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": found, "truncated": false, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for {
		s.mutex.Lock()
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	s.leases[s.lastID] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttlMs": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leases[id] != nil {
		s.endLease(id)
	}
	reply(w, http.StatusOK, map[string]any{})
}
