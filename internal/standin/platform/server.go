// Package platform is a stand-in for the key-value service of the platform. It
// serves the part of the Consul HTTP API that the system uses, from memory, and
// simulates the rate limits and faults of the real service.
package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"golang.org/x/time/rate"
)

// Default limits, which are those that the users state for their platform.
// DefaultMaxValueSize is in bytes.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	DefaultMaxValueSize    = 1 << 20
)

// Config configures a Server. Zero values select the defaults.
type Config struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxValueSize is the size limit of a value in bytes.
	MaxValueSize int
	// Token must accompany every API call. If it is empty, no token is required.
	Token string
	// Now returns the current time for rate limits and sessions.
	Now func() clock.Millis
	// Sleep waits for the added latency d. It returns the error of ctx if ctx ends
	// earlier.
	Sleep func(ctx context.Context, d clock.Millis) error
	// After returns a channel that receives a value after d. The Server uses it to
	// limit the wait of a blocking query.
	After func(d clock.Millis) <-chan time.Time
}

// Counts holds the numbers of calls since the start.
type Counts struct {
	// Reads and Writes include calls beyond the rate limits.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Refused counts the calls beyond the rate limits.
	Refused int `json:"refused"`
	// PendingBlockingQueries is the number of blocking queries that are pending now.
	PendingBlockingQueries int `json:"pending-watches"`
}

// Server simulates the key-value service. It is safe for concurrent use.
type Server struct {
	config  Config
	handler http.Handler

	mutex  sync.Mutex
	store  *store
	faults Faults
	counts Counts
	reads  *rate.Limiter
	writes *rate.Limiter
	// changed is closed and replaced when the store or the faults change.
	changed chan struct{}
}

// NewServer returns a Server without keys, sessions and faults.
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

// Handler returns the handler of the key-value API, and of the faults and counts
// under /admin/.
func (s *Server) Handler() http.Handler { return s.handler }

// Counts returns the counts so far. A blocking query counts as one read.
func (s *Server) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts
}

// Value returns the value of key, or false if the key does not exist. The caller
// must not change the value.
func (s *Server) Value(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expireSessions()
	e, ok := s.store.entries[key]
	return e.Value, ok
}

// notify wakes blocking queries. The caller holds mutex.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) now() time.Time {
	return time.UnixMilli(int64(s.config.Now()))
}

// allowRead counts a read and reports whether the rate limit admits it. Each pending
// blocking query lowers the limit by one read per second. The caller holds mutex.
func (s *Server) allowRead() bool {
	limit := max(s.config.ReadsPerSecond-s.counts.PendingBlockingQueries, 0)
	s.reads.SetLimitAt(s.now(), rate.Limit(limit))
	s.counts.Reads++
	return s.admit(s.reads)
}

// allowWrite counts a write and reports whether the rate limit admits it. The caller
// holds mutex.
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

// expireSessions ends the sessions that were not renewed in time. The caller holds
// mutex.
func (s *Server) expireSessions() {
	if s.store.expireSessions(s.config.Now()) {
		s.notify()
	}
}
