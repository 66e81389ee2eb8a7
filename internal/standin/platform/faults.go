package platform

import (
	"encoding/json"
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Faults are the failures that the server simulates. The zero value is a service
// without failures.
type Faults struct {
	// Outage makes calls fail with status 503, including pending blocking queries. A
	// call with a wrong token or beyond a rate limit still gets its own status.
	Outage bool `json:"outage"`
	// Latency delays every call before it takes effect. A write takes effect even
	// if its caller has disconnected meanwhile.
	Latency clock.Millis `json:"latency-ms"`
	// LostResponses is how many of the next writes take effect but get no response.
	// The server closes their connections instead.
	LostResponses int `json:"lost-responses"`
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// SetFaults replaces the current faults and wakes blocking queries, which fail
// if an outage begins.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.notify()
}

// ExpireLeases ends every session, as if its holder had failed to renew it in time.
// The system uses sessions as leases.
func (s *Server) ExpireLeases() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id := range s.store.sessions {
		s.store.endSession(id)
	}
	s.notify()
}

// Copy returns a function that restores the keys and sessions of now. What was written
// since is then lost, and its indexes are given out again. Blocking queries go on.
func (s *Server) Copy() (restore func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	older := s.store.copy()
	return func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		*s.store = *older.copy()
		s.notify()
	}
}

// adminRoutes registers GET and PUT /admin/switches, PUT /admin/expire-leases and
// GET /admin/counts. Faults, rate limits and the token do not apply to them.
func (s *Server) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/switches", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("PUT /admin/switches", func(w http.ResponseWriter, r *http.Request) {
		// Faults that are absent from the body keep their value.
		faults := s.Faults()
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		writeJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("PUT /admin/expire-leases", func(w http.ResponseWriter, _ *http.Request) {
		s.ExpireLeases()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
}
