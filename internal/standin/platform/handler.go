package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// maxTransactionBody is 64 values of 1 MB in base64 with some room for keys.
	maxTransactionBody = 96 << 20
	maxWait            = 10 * clock.Minute
	defaultWait        = 5 * clock.Minute
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	s.adminRoutes(mux)
	mux.HandleFunc("GET /v1/kv/{key...}", s.call(false, s.read))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.call(true, s.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.call(true, s.delete))
	mux.HandleFunc("PUT /v1/txn", s.call(true, s.transaction))
	mux.HandleFunc("PUT /v1/session/create", s.call(true, s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.call(true, s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.call(true, s.destroySession))
	return mux
}

// call applies token, latency, outage, rate limit and lost responses to a
// handler of the API.
func (s *Server) call(write bool, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.config.Token != "" && r.Header.Get("X-Consul-Token") != s.config.Token {
			http.Error(w, "ACL not found", http.StatusForbidden)
			return
		}
		if status := s.admission(r.Context(), write); status != http.StatusOK {
			http.Error(w, http.StatusText(status), status)
			return
		}
		handle(w, r)
	}
}

func (s *Server) admission(ctx context.Context, write bool) int {
	if latency := s.Faults().Latency; latency > 0 {
		if write {
			ctx = context.WithoutCancel(ctx)
		}
		if err := s.config.Sleep(ctx, latency); err != nil {
			return http.StatusServiceUnavailable
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	allow := s.allowRead
	if write {
		allow = s.allowWrite
	}
	if !allow() {
		return http.StatusTooManyRequests
	}
	if s.faults.Outage {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// read serves a key or, with recurse, a prefix. With index it blocks until the
// index of the result is higher or the wait is over.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := parseIndex(query.Get("index"))
	if err != nil {
		http.Error(w, "invalid index", http.StatusBadRequest)
		return
	}
	wait, err := parseWait(query.Get("wait"))
	if err != nil {
		http.Error(w, "invalid wait", http.StatusBadRequest)
		return
	}
	entries, index, err := s.await(r.Context(), r.PathValue("key"), query.Has("recurse"), after, wait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(entries) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, entries)
}

func (s *Server) await(ctx context.Context, key string, recurse bool, after uint64, wait clock.Millis) ([]entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lookup := s.store.get
	if recurse {
		lookup = s.store.list
	}
	entries, index := lookup(key)
	if after == 0 || index > after {
		return entries, index, nil
	}
	s.counts.PendingWatches++
	defer func() { s.counts.PendingWatches-- }()
	timeout := s.config.After(wait)
	for {
		expired, err := s.awaitChange(ctx, timeout)
		if err != nil {
			return nil, 0, err
		}
		entries, index = lookup(key)
		if expired || index > after {
			return entries, index, nil
		}
	}
}

// awaitChange releases mu until something changes or the wait is over. It fails
// during an outage, including one that began after the call was admitted.
func (s *Server) awaitChange(ctx context.Context, timeout <-chan time.Time) (expired bool, err error) {
	if s.faults.Outage {
		return false, errOutage
	}
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-timeout:
		expired = true
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mu.Lock()
	if err == nil && s.faults.Outage {
		err = errOutage
	}
	return expired, err
}

// put sets a key, with cas=INDEX only at that index, or with acquire=SESSION
// under a lock.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, int64(s.config.MaxValueSize)+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > s.config.MaxValueSize {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key, query := r.PathValue("key"), r.URL.Query()
	if id := query.Get("acquire"); id != "" {
		s.respond(w, func() any { return s.store.acquire(key, value, id) })
		return
	}
	s.single(w, r, kvOperation{Verb: "set", Key: key, Value: value}, "cas")
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.single(w, r, kvOperation{Verb: "delete", Key: r.PathValue("key")}, "delete-cas")
}

// single runs one operation, conditionally if the query has cas.
func (s *Server) single(w http.ResponseWriter, r *http.Request, o kvOperation, conditional string) {
	if cas := r.URL.Query().Get("cas"); cas != "" {
		index, err := parseIndex(cas)
		if err != nil {
			http.Error(w, "invalid cas", http.StatusBadRequest)
			return
		}
		o.Verb, o.Index = conditional, index
	}
	s.respond(w, func() any { return len(s.store.transact([]operation{{KV: o}})) == 0 })
}

func (s *Server) transaction(w http.ResponseWriter, r *http.Request) {
	var operations []operation
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTransactionBody))
	if err := decoder.Decode(&operations); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(operations) > maxOperations {
		http.Error(w, "too many operations", http.StatusRequestEntityTooLarge)
		return
	}
	for _, o := range operations {
		if len(o.KV.Value) > s.config.MaxValueSize {
			http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
			return
		}
	}
	s.respond(w, func() any { return transactionResult{Errors: s.store.transact(operations)} })
}

// respond applies a change and writes its result, unless the response is to be
// lost.
func (s *Server) respond(w http.ResponseWriter, change func() any) {
	s.mu.Lock()
	result := change()
	s.notify()
	lost := s.faults.LostResponses > 0
	if lost {
		s.faults.LostResponses--
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if t, ok := result.(transactionResult); ok && len(t.Errors) > 0 {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has left.
	_ = json.NewEncoder(w).Encode(value)
}

func parseIndex(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func parseWait(text string) (clock.Millis, error) {
	if text == "" {
		return defaultWait, nil
	}
	d, err := time.ParseDuration(text)
	return min(clock.FromDuration(d), maxWait), err
}
