package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

var errOutage = errors.New("outage")

type sessionRequest struct {
	TTL       string
	Behavior  string
	LockDelay string
}

type sessionResponse struct {
	ID string
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var request sessionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(request.TTL)
	// Consul itself has these bounds for the TTL of a session.
	if err != nil || ttl < 10*time.Second || ttl > 24*time.Hour {
		http.Error(w, "invalid TTL", http.StatusBadRequest)
		return
	}
	s.respond(w, func() any {
		id := s.store.createSession(clock.FromDuration(ttl), s.config.Now(), request.Behavior == "delete")
		return sessionResponse{ID: id}
	})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s.mutex.Lock()
	renewed := s.store.renewSession(id, s.config.Now())
	s.mutex.Unlock()
	if !renewed {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	s.respond(w, func() any { return []sessionResponse{{ID: id}} })
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.respond(w, func() any {
		s.store.endSession(r.PathValue("id"))
		return true
	})
}
