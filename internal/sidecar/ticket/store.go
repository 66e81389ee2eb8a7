package ticket

import (
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

const (
	// MaxBody is the size in bytes up to which the body of a response is kept.
	MaxBody = 64 << 10

	defaultLifetime = 5 * clock.Minute
	defaultGrace    = clock.Minute
	// defaultRecords limits the records, which take about 200 bytes each without
	// their response.
	defaultRecords = 1 << 16
	defaultBytes   = 32 << 20
)

// Store records what became of the tickets of one sidecar. It is not safe for
// concurrent use.
//
// A ticket is bound to the first request that uses it. Records are dropped only
// after the ticket's expiry plus a grace period, and a ticket without a record
// never runs after its expiry, so that no ticket runs twice.
type Store struct {
	config  Config
	records map[uint64]*record
	// order holds the nonces in the order in which their records were made.
	order   []uint64
	bytes   int
	nonce   uint64
	refused uint64
	leaving bool
}

// Config configures a Store. Zero limits mean the defaults.
type Config struct {
	Self    identity.OwnerID
	Service identity.ServiceID
	// Lifetime is the time from issue to expiry.
	Lifetime clock.Millis
	// Grace is how long a record outlives the expiry of its ticket.
	Grace clock.Millis
	// MaxRecords limits the number of records.
	MaxRecords int
	// MaxBytes limits the size of all kept responses.
	MaxBytes int
}

// Response is a recorded answer.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// State is what is known about the ticket of a request.
type State uint8

// States of a ticket when a request with it arrives.
const (
	// Run means that this request, and no other, runs now.
	Run State = iota + 1
	// Running means that an equal request is in progress.
	Running
	// Done means that the work has run and its response is kept.
	Done
	// DoneWithoutBody means that the work has run and its response was too large.
	DoneWithoutBody
	// Refused means that the work has not run and never will with this ticket.
	Refused
	// Mismatch means that the ticket was used for another request.
	Mismatch
	// Unknown means that the record may have been dropped.
	Unknown
)

type record struct {
	state    State
	digest   Digest
	response Response
	size     int
	drop     clock.Millis
}

// NewStore returns an empty Store.
func NewStore(config Config) *Store {
	if config.Lifetime == 0 {
		config.Lifetime = defaultLifetime
	}
	if config.Grace == 0 {
		config.Grace = defaultGrace
	}
	if config.MaxRecords == 0 {
		config.MaxRecords = defaultRecords
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = defaultBytes
	}
	return &Store{config: config, records: map[uint64]*record{}}
}

// Issue returns the token of a new ticket. It reports false when the sidecar is
// leaving.
func (s *Store) Issue(keys *keyring.Keys, now clock.Millis) (string, bool) {
	if s.leaving || s.nonce == maxUint48 {
		return "", false
	}
	s.nonce++
	t := Ticket{service: s.config.Service, owner: s.config.Self, nonce: s.nonce, expiry: now + s.config.Lifetime}
	return t.Encode(keys), true
}

// Begin decides about a request with a ticket that names this sidecar. The
// response is set for Done only. After Run, the caller must call Complete or
// Refuse.
func (s *Store) Begin(t Ticket, digest Digest, now clock.Millis) (State, Response) {
	s.expire(now)
	if r := s.records[t.nonce]; r != nil {
		if r.digest != digest {
			return Mismatch, Response{}
		}
		return r.state, r.response
	}
	if now >= t.expiry {
		return Unknown, Response{}
	}
	if t.nonce <= s.refused {
		return Refused, Response{}
	}
	if len(s.records) >= s.config.MaxRecords {
		// A refusal needs a record as well. Without room for it, every ticket
		// issued so far that has no record is refused, which one number remembers.
		s.refused = s.nonce
		return Refused, Response{}
	}
	state := Running
	if s.leaving {
		state = Refused
	}
	s.records[t.nonce] = &record{state: state, digest: digest, drop: t.expiry + s.config.Grace}
	s.order = append(s.order, t.nonce)
	if s.leaving {
		return Refused, Response{}
	}
	return Run, Response{}
}

// Complete records the response of a run. A nil response means that it is too
// large to keep. It does nothing unless the ticket is running.
func (s *Store) Complete(t Ticket, response *Response) {
	r := s.records[t.nonce]
	if r == nil || r.state != Running {
		return
	}
	if response == nil || len(response.Body) > MaxBody || s.bytes+response.size() > s.config.MaxBytes {
		r.state = DoneWithoutBody
		return
	}
	r.state = Done
	r.response = *response
	r.size = response.size()
	s.bytes += r.size
}

// Refuse records that a run certainly did not start. It does nothing unless the
// ticket is running.
func (s *Store) Refuse(t Ticket) {
	if r := s.records[t.nonce]; r != nil && r.state == Running {
		r.state = Refused
	}
}

// Leave makes the Store issue no more tickets and refuse those that it has not
// seen.
func (s *Store) Leave() { s.leaving = true }

// Records returns the number of records.
func (s *Store) Records() int { return len(s.records) }

// Bytes returns the size of the kept responses.
func (s *Store) Bytes() int { return s.bytes }

// expire drops records in the order in which they were made. A running record,
// and one whose ticket was issued later, delays those after it by the lifetime of
// a ticket at most.
func (s *Store) expire(now clock.Millis) {
	for len(s.order) > 0 {
		r := s.records[s.order[0]]
		if r.state == Running || now < r.drop {
			return
		}
		s.bytes -= r.size
		delete(s.records, s.order[0])
		s.order = s.order[1:]
	}
}

func (r *Response) size() int {
	size := len(r.Body)
	for _, header := range []http.Header{r.Header, r.Trailer} {
		for name, values := range header {
			for _, value := range values {
				size += len(name) + len(value)
			}
		}
	}
	return size
}
