package ticket

import (
	"net/http"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

const (
	// MaxBody is the maximum size in bytes of a response body that is kept.
	MaxBody = 64 << 10

	defaultLifetime = 5 * clock.Minute
	defaultGrace    = clock.Minute
	// defaultMaxRecords limits the number of records. A record takes about 200 bytes
	// without its response.
	defaultMaxRecords = 1 << 16
	defaultMaxBytes   = 32 << 20
)

// Store records the outcomes of the tickets of one sidecar. It is not safe for
// concurrent use.
//
// A ticket is bound to the first request that uses it. No ticket runs twice, because
// a record is kept until the expiry of its ticket plus a grace period, and a ticket
// without a record does not run after its expiry.
type Store struct {
	config  Config
	records map[uint64]*record
	// order holds the nonces in the order in which their records were created.
	order     []uint64
	bytes     int
	lastNonce uint64
	// refusedUpTo is the nonce up to which tickets without a record are refused.
	refusedUpTo uint64
	leaving     bool
}

// Config configures a Store. A lifetime, grace period or limit of zero means the
// default.
type Config struct {
	Self    identity.OwnerID
	Service identity.ServiceID
	// Lifetime is the time from the issue of a ticket to its expiry.
	Lifetime clock.Millis
	// Grace is how long a record is kept after the expiry of its ticket.
	Grace clock.Millis
	// MaxRecords limits the number of records.
	MaxRecords int
	// MaxBytes limits the total size of the responses that are kept.
	MaxBytes int
}

// Response is a recorded response of the upstream or of the sidecar itself.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
}

// State is the state of the ticket of a request.
type State uint8

// States of a ticket when a request that carries it arrives.
const (
	// Run means that the request arrived for the first time and has to run now.
	Run State = iota + 1
	// Running means that the request arrived before and is still in progress.
	Running
	// Done means that the request has run and its response is kept.
	Done
	// DoneWithoutResponse means that the request has run but its response is not kept,
	// because it was too large or the responses have reached MaxBytes.
	DoneWithoutResponse
	// Refused means that the request has not run and never will with this ticket.
	Refused
	// Mismatch means that the ticket is bound to another request.
	Mismatch
	// Unknown means that the ticket has expired and its record may have been dropped.
	Unknown
)

type record struct {
	state    State
	digest   Digest
	response Response
	size     int
	dropAt   clock.Millis
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
		config.MaxRecords = defaultMaxRecords
	}
	if config.MaxBytes == 0 {
		config.MaxBytes = defaultMaxBytes
	}
	return &Store{config: config, records: map[uint64]*record{}}
}

// Issue returns the token of a new ticket, authenticated with keys. It reports false
// if the sidecar is leaving.
func (s *Store) Issue(keys *keyring.Keys, now clock.Millis) (string, bool) {
	if s.leaving || s.lastNonce == maxUint48 {
		return "", false
	}
	s.lastNonce++
	t := Ticket{service: s.config.Service, owner: s.config.Self, nonce: s.lastNonce, expiry: now + s.config.Lifetime}
	return t.Encode(keys), true
}

// Begin returns the state of a ticket that names this sidecar, for a request with the
// given digest. The Response is set for Done only. After Run, the caller must call
// Complete or Refuse.
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
	if t.nonce <= s.refusedUpTo {
		return Refused, Response{}
	}
	if len(s.records) >= s.config.MaxRecords {
		// The number of records has reached its limit, so this refusal cannot be
		// recorded. Instead, all tickets that were issued so far and have no record are
		// refused. To remember this, one number is enough.
		s.refusedUpTo = s.lastNonce
		return Refused, Response{}
	}
	state := Running
	if s.leaving {
		state = Refused
	}
	s.records[t.nonce] = &record{state: state, digest: digest, dropAt: t.expiry + s.config.Grace}
	s.order = append(s.order, t.nonce)
	if s.leaving {
		return Refused, Response{}
	}
	return Run, Response{}
}

// Complete records the response of a run. A nil response is one that is too large to
// keep. Complete does nothing unless the ticket is running.
func (s *Store) Complete(t Ticket, response *Response) {
	r := s.records[t.nonce]
	if r == nil || r.state != Running {
		return
	}
	if response == nil || len(response.Body) > MaxBody || s.bytes+response.size() > s.config.MaxBytes {
		r.state = DoneWithoutResponse
		return
	}
	r.state = Done
	r.response = *response
	r.size = response.size()
	s.bytes += r.size
}

// Refuse records that the request certainly did not run. It does nothing unless the
// ticket is running.
func (s *Store) Refuse(t Ticket) {
	if r := s.records[t.nonce]; r != nil && r.state == Running {
		r.state = Refused
	}
}

// Leave makes the Store issue no more tickets and refuse those that have no record.
func (s *Store) Leave() { s.leaving = true }

// Records returns the number of records.
func (s *Store) Records() int { return len(s.records) }

// Bytes returns the total size in bytes of the responses that are kept.
func (s *Store) Bytes() int { return s.bytes }

// expire drops records in the order in which they were created. A record whose ticket
// was issued later than those of the records after it delays them by at most the
// lifetime of a ticket. A record whose request is in progress delays them until the
// request ends.
func (s *Store) expire(now clock.Millis) {
	for len(s.order) > 0 {
		r := s.records[s.order[0]]
		if r.state == Running || now < r.dropAt {
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
