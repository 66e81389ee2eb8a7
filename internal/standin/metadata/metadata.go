// Package metadata models the users' metadata store: keys, revisions, the history for
// watches, transactions, leases, and restores from an older copy. It does no input or
// output, and the caller passes in the time.
package metadata

import (
	"maps"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// firstRevision is the revision of an empty store.
	firstRevision = 10
	// historyLength is the largest number of events that the store keeps.
	historyLength = 200
)

// Item is a key with its value, or an event in the history. The fields are encoded as the
// store's published interface has them.
type Item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Removed   bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl, expiresAt clock.Millis
}

// Store is the state of a store. It is not safe for concurrent use.
type Store struct {
	items   map[string]Item
	leases  map[uint64]lease
	history []Item
	// revision is that of the last change. compacted is that of the last change whose
	// event is no longer in the history.
	revision, compacted uint64
	lastLease           uint64
	epoch               uint64
}

// New returns an empty store in its first epoch.
func New() *Store {
	return &Store{items: map[string]Item{}, leases: map[uint64]lease{}, revision: firstRevision, epoch: 1}
}

// Copy returns a copy of the state, which later changes of either one do not affect.
func (s *Store) Copy() *Store {
	c := *s
	c.items, c.leases, c.history = maps.Clone(s.items), maps.Clone(s.leases), slices.Clone(s.history)
	return &c
}

// Restore replaces the state by an older copy of it and begins another epoch. Everything
// since the copy is lost, and its revisions and lease IDs are given out again.
func (s *Store) Restore(from *Store) {
	epoch := s.epoch + 1
	*s = *from.Copy()
	s.epoch = epoch
}

// Epoch returns the number of the epoch, which rises by one with each restore.
func (s *Store) Epoch() uint64 { return s.epoch }

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 { return s.revision }

// Get returns the item of a key, or false if the key does not exist.
func (s *Store) Get(key string) (Item, bool) {
	item, ok := s.items[key]
	return item, ok
}

// List returns the items whose key has the prefix and is greater than after, by key.
func (s *Store) List(prefix, after string) []Item {
	items := []Item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.items[key])
		}
	}
	return items
}

// Events returns the events after a revision for keys with a prefix. It returns false if
// the history since that revision is not available.
func (s *Store) Events(prefix string, after uint64) ([]Item, bool) {
	if after < s.compacted || after > s.revision {
		return nil, false
	}
	events := []Item{}
	for _, event := range s.history {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, true
}

// Compact drops the history.
func (s *Store) Compact() { s.history, s.compacted = nil, s.revision }

// Put writes a key without a lease, as an operator does.
func (s *Store) Put(key, value string) { s.change(Item{Key: key, Value: value}) }

// Transaction is a set of changes that are made if all conditions hold. The revision of an
// expected item that must not exist is 0.
type Transaction struct {
	Expected []Item   `json:"expected"`
	Puts     []Item   `json:"puts"`
	Remove   []string `json:"remove"`
}

// Outcome is the outcome of a transaction.
type Outcome int

// Outcomes.
const (
	// Done means that the changes were made.
	Done Outcome = iota
	// Conflict means that a condition does not hold. Nothing was changed.
	Conflict
	// NoLease means that a lease does not exist. Nothing was changed.
	NoLease
)

// Transact executes a transaction.
func (s *Store) Transact(t Transaction) Outcome {
	for _, expected := range t.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			return Conflict
		}
	}
	for _, put := range t.Puts {
		if _, ok := s.leases[put.Lease]; put.Lease != 0 && !ok {
			return NoLease
		}
	}
	for _, put := range t.Puts {
		s.change(Item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.change(Item{Key: key, Removed: true})
		}
	}
	return Done
}

// Grant creates a lease and returns its ID.
func (s *Store) Grant(now, ttl clock.Millis) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expiresAt: now + ttl}
	return s.lastLease
}

// Renew lets a lease end one TTL from now. It returns false if the lease does not exist.
func (s *Store) Renew(now clock.Millis, id uint64) (ttl clock.Millis, ok bool) {
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.expiresAt = now + l.ttl
	s.leases[id] = l
	return l.ttl, true
}

// EndLease ends a lease and removes its keys. It returns false if the lease does not exist.
func (s *Store) EndLease(id uint64) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	for _, item := range s.List("", "") {
		if item.Lease == id {
			s.change(Item{Key: item.Key, Removed: true})
		}
	}
	return true
}

// EndLeases ends all leases, also those whose TTL has not passed.
func (s *Store) EndLeases() {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.EndLease(id)
	}
}

// Expire ends the leases whose TTL has passed.
func (s *Store) Expire(now clock.Millis) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if now > s.leases[id].expiresAt {
			s.EndLease(id)
		}
	}
}

// change applies a put or a removal.
func (s *Store) change(item Item) {
	s.revision++
	item.Revision = s.revision
	if item.Removed {
		delete(s.items, item.Key)
	} else {
		item.CreateRev = s.revision
		if old, ok := s.items[item.Key]; ok {
			item.CreateRev = old.CreateRev
		}
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
	if len(s.history) > historyLength {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}
