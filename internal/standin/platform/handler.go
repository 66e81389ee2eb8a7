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
	// maxTransactionBody is the limit in bytes of the body of a transaction. It has
	// room for 64 values of 1 MB in base64 and for their keys.
	maxTransactionBody = 96 << 20
	// maxWait and defaultWait apply to the wait parameter of blocking queries.
	maxWait     = 10 * clock.Minute
	defaultWait = 5 * clock.Minute
)

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	s.adminRoutes(mux)
	mux.HandleFunc("GET /v1/kv/{key...}", s.apiHandler(false, s.read))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.apiHandler(true, s.put))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.apiHandler(true, s.delete))
	mux.HandleFunc("PUT /v1/txn", s.apiHandler(true, s.transaction))
	mux.HandleFunc("PUT /v1/session/create", s.apiHandler(true, s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.apiHandler(true, s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.apiHandler(true, s.destroySession))
	return mux
}

// apiHandler returns a handler of the API that checks the token and applies latency,
// rate limit and outage before it calls handle. respond simulates lost responses.
func (s *Server) apiHandler(write bool, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.config.Token != "" && r.Header.Get("X-Consul-Token") != s.config.Token {
			http.Error(w, "ACL not found", http.StatusForbidden)
			return
		}
		if status := s.admissionStatus(r.Context(), write); status != http.StatusOK {
			http.Error(w, http.StatusText(status), status)
			return
		}
		handle(w, r)
	}
}

// admissionStatus waits for the added latency and returns http.StatusOK if the call
// is admitted, or else the status of the refusal. A write is admitted even if its
// caller has disconnected during the latency.
func (s *Server) admissionStatus(ctx context.Context, write bool) int {
	if latency := s.Faults().Latency; latency > 0 {
		if write {
			ctx = context.WithoutCancel(ctx)
		}
		if err := s.config.Sleep(ctx, latency); err != nil {
			return http.StatusServiceUnavailable
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
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

// read serves a key or, with recurse, all keys with a prefix. With index=INDEX it
// blocks until the index of the result is higher than INDEX or the time that the
// wait parameter sets has passed.
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
	entries, index, err := s.readOrWait(r.Context(), r.PathValue("key"), query.Has("recurse"), after, wait)
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

// readOrWait returns the entries and the index of a key or prefix. Unless after is
// 0, it waits until the index is higher than after, for at most the duration wait.
func (s *Server) readOrWait(ctx context.Context, key string, recurse bool, after uint64, wait clock.Millis) ([]entry, uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lookup := s.store.get
	if recurse {
		lookup = s.store.list
	}
	entries, index := lookup(key)
	if after == 0 || index > after {
		return entries, index, nil
	}
	s.counts.PendingBlockingQueries++
	defer func() { s.counts.PendingBlockingQueries-- }()
	timeout := s.config.After(wait)
	for {
		timedOut, err := s.awaitChange(ctx, timeout)
		if err != nil {
			return nil, 0, err
		}
		entries, index = lookup(key)
		if timedOut || index > after {
			return entries, index, nil
		}
	}
}

// awaitChange releases mutex until the store or the faults change or timeout fires.
// It fails during an outage, including one that began after the call was admitted,
// and when ctx ends. The caller holds mutex.
func (s *Server) awaitChange(ctx context.Context, timeout <-chan time.Time) (timedOut bool, err error) {
	if s.faults.Outage {
		return false, errOutage
	}
	changed := s.changed
	s.mutex.Unlock()
	select {
	case <-changed:
	case <-timeout:
		timedOut = true
	case <-ctx.Done():
		err = ctx.Err()
	}
	s.mutex.Lock()
	if err == nil && s.faults.Outage {
		err = errOutage
	}
	return timedOut, err
}

// put sets a key. With cas=INDEX it does so only if the key is at that index. With
// acquire=SESSION it does so only if the session gets or holds the lock of the key.
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
	s.runSingle(w, r, kvOperation{Verb: "set", Key: key, Value: value}, "cas")
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	s.runSingle(w, r, kvOperation{Verb: "delete", Key: r.PathValue("key")}, "delete-cas")
}

// runSingle runs one operation. If the query has cas=INDEX, the operation gets the
// verb conditionalVerb and that index.
func (s *Server) runSingle(w http.ResponseWriter, r *http.Request, o kvOperation, conditionalVerb string) {
	if cas := r.URL.Query().Get("cas"); cas != "" {
		index, err := parseIndex(cas)
		if err != nil {
			http.Error(w, "invalid cas", http.StatusBadRequest)
			return
		}
		o.Verb, o.Index = conditionalVerb, index
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

// respond applies a change, wakes blocking queries and writes the result of the
// change. If the response is to be lost, it aborts the connection instead.
func (s *Server) respond(w http.ResponseWriter, change func() any) {
	s.mutex.Lock()
	result := change()
	s.notify()
	loseResponse := s.faults.LostResponses > 0
	if loseResponse {
		s.faults.LostResponses--
	}
	s.mutex.Unlock()
	if loseResponse {
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
	// An error here means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// parseIndex returns 0 for an empty text. As the index of a query, 0 means "do not
// block".
func parseIndex(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// parseWait returns defaultWait for an empty text. It never returns more than
// maxWait.
func parseWait(text string) (clock.Millis, error) {
	if text == "" {
		return defaultWait, nil
	}
	d, err := time.ParseDuration(text)
	return min(clock.FromDuration(d), maxWait), err
}
