// Package platform is a stand-in for the platform's key-value service. It serves
// the part of the Consul HTTP API that the system uses, in memory, with the rate
// limits and faults of the real service.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"golang.org/x/time/rate"
)

// Limits that the users state for their platform.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	DefaultMaxValueSize    = 1 << 20
)

// Config configures a Server. Zero values select the defaults.
type Config struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxValueSize is the largest value in bytes.
	MaxValueSize int
	// Token must accompany every call if it is not empty.
	Token string
	// Now returns the time.
	Now func() clock.Millis
	// Sleep waits for the added latency.
	Sleep func(ctx context.Context, d clock.Millis) error
	// After returns a channel that receives when a blocking query has waited
	// for d.
	After func(d clock.Millis) <-chan time.Time
}

// Counts are totals since the start, and the number of pending watches.
type Counts struct {
	Reads          int `json:"reads"`
	Writes         int `json:"writes"`
	Refused        int `json:"refused"`
	PendingWatches int `json:"pending-watches"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	config  Config
	handler http.Handler

	mu     sync.Mutex
	store  *store
	faults Faults
	counts Counts
	reads  *rate.Limiter
	writes *rate.Limiter
	// changed is closed and replaced when the store or the faults change.
	changed chan struct{}
}

// NewServer returns a Server without keys.
func NewServer(config Config) *Server {
	config = withDefaults(config)
	s := &Server{
		config:  config,
		store:   newStore(),
		reads:   rate.NewLimiter(rate.Limit(config.ReadsPerSecond), config.ReadsPerSecond),
		writes:  rate.NewLimiter(rate.Limit(config.WritesPerSecond), config.WritesPerSecond),
		changed: make(chan struct{}),
	}
	s.handler = s.routes()
	return s
}

func withDefaults(config Config) Config {
	if config.WritesPerSecond == 0 {
		config.WritesPerSecond = DefaultWritesPerSecond
	}
	if config.ReadsPerSecond == 0 {
		config.ReadsPerSecond = DefaultReadsPerSecond
	}
	if config.MaxValueSize == 0 {
		config.MaxValueSize = DefaultMaxValueSize
	}
	if config.Now == nil {
		config.Now = clock.System().Now
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	if config.After == nil {
		config.After = func(d clock.Millis) <-chan time.Time { return time.After(d.Duration()) }
	}
	return config
}

func sleep(ctx context.Context, d clock.Millis) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d.Duration()):
		return nil
	}
}

// Handler returns the handler of the key-value API and of the faults under
// /admin/.
func (s *Server) Handler() http.Handler { return s.handler }

// Counts returns the calls so far. A blocking query counts as one read.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Value returns the value under key, and false if there is none.
func (s *Server) Value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e, ok := s.store.entries[key]
	return e.Value, ok
}

// notify wakes blocking queries. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) now() time.Time {
	return time.UnixMilli(int64(s.config.Now()))
}

// allowRead takes one call from the read rate. Each pending watch also occupies
// one call of it. The caller holds mu.
func (s *Server) allowRead() bool {
	limit := max(s.config.ReadsPerSecond-s.counts.PendingWatches, 0)
	s.reads.SetLimitAt(s.now(), rate.Limit(limit))
	s.counts.Reads++
	return s.admit(s.reads)
}

// allowWrite takes one call from the write rate. The caller holds mu.
func (s *Server) allowWrite() bool {
	s.counts.Writes++
	return s.admit(s.writes)
}

func (s *Server) admit(limiter *rate.Limiter) bool {
	if limiter.AllowN(s.now(), 1) {
		return true
	}
	s.counts.Refused++
	return false
}

// expire ends the sessions whose lease has run out. The caller holds mu.
func (s *Server) expire() {
	if s.store.expireSessions(s.config.Now()) {
		s.notify()
	}
}
