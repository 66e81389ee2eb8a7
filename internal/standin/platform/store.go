package platform

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// entry is one key and its value in the JSON form of the API. encoding/json writes
// Value in base64.
type entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// session is a Consul session, which holds locks on keys until it ends. A session
// ends at its deadline unless it is renewed before.
type session struct {
	id       string
	ttl      clock.Millis
	deadline clock.Millis
	// deletesKeys is true if the end of the session deletes the keys that it has
	// locked. Otherwise the end only releases them.
	deletesKeys bool
}

// store holds keys and sessions. It is not safe for concurrent use.
type store struct {
	// index starts at 1 and rises by 1 with each change of the store. A transaction
	// is one change, and so is the end of a session. Creating or renewing a session
	// does not change the index.
	index   uint64
	entries map[string]entry
	// deletedAt holds the index at which each deleted key was deleted. Without it, a
	// query for a key or prefix could report a lower index after a deletion.
	deletedAt map[string]uint64
	sessions  map[string]*session
	// lastSessionNumber is the number in the ID of the newest session.
	lastSessionNumber int
}

func newStore() *store {
	return &store{
		// The first index is 1, because index 0 means "do not block" in a query.
		index:     1,
		entries:   make(map[string]entry),
		deletedAt: make(map[string]uint64),
		sessions:  make(map[string]*session),
	}
}

// copy returns a copy of the state, which later changes of either one do not affect.
func (s *store) copy() *store {
	c := *s
	c.entries, c.deletedAt, c.sessions = maps.Clone(s.entries), maps.Clone(s.deletedAt), map[string]*session{}
	for id, sess := range s.sessions {
		copied := *sess
		c.sessions[id] = &copied
	}
	return &c
}

// list returns the entries whose keys have a prefix, in key order, and the index of
// the last change of such a key.
func (s *store) list(prefix string) ([]entry, uint64) {
	var entries []entry
	index := uint64(1)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.entries[key])
			index = max(index, s.entries[key].ModifyIndex)
		}
	}
	for key, at := range s.deletedAt {
		if strings.HasPrefix(key, prefix) {
			index = max(index, at)
		}
	}
	return entries, index
}

// get returns the entry of a key, or nil if there is none, and the index of the last
// change of the key.
func (s *store) get(key string) ([]entry, uint64) {
	if e, ok := s.entries[key]; ok {
		return []entry{e}, e.ModifyIndex
	}
	return nil, max(s.deletedAt[key], 1)
}

func (s *store) set(key string, value []byte, index uint64) {
	e, ok := s.entries[key]
	if !ok {
		e = entry{Key: key, CreateIndex: index}
	}
	e.Value = value
	e.ModifyIndex = index
	s.entries[key] = e
}

func (s *store) delete(key string, index uint64) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.deletedAt[key] = index
	}
}

// acquire locks a key for a session and sets its value. It returns false if the
// session does not exist or another session holds the lock.
func (s *store) acquire(key string, value []byte, id string) bool {
	if _, ok := s.sessions[id]; !ok {
		return false
	}
	if holder := s.entries[key].Session; holder != "" && holder != id {
		return false
	}
	s.index++
	s.set(key, value, s.index)
	e := s.entries[key]
	if e.Session == "" {
		e.LockIndex++
	}
	e.Session = id
	s.entries[key] = e
	return true
}

func (s *store) createSession(ttl, now clock.Millis, deletesKeys bool) string {
	s.lastSessionNumber++
	id := fmt.Sprintf("00000000-0000-0000-0000-%012d", s.lastSessionNumber)
	s.sessions[id] = &session{id: id, ttl: ttl, deadline: now + ttl, deletesKeys: deletesKeys}
	return id
}

func (s *store) renewSession(id string, now clock.Millis) bool {
	sess, ok := s.sessions[id]
	if ok {
		sess.deadline = now + sess.ttl
	}
	return ok
}

// endSession ends a session and releases or deletes the keys that it has locked.
func (s *store) endSession(id string) {
	sess, ok := s.sessions[id]
	if !ok {
		return
	}
	delete(s.sessions, id)
	s.index++
	for key, e := range s.entries {
		if e.Session != id {
			continue
		}
		if sess.deletesKeys {
			s.delete(key, s.index)
			continue
		}
		e.Session = ""
		e.ModifyIndex = s.index
		s.entries[key] = e
	}
}

// expireSessions ends the sessions whose deadline has been reached. It reports
// whether there were any.
func (s *store) expireSessions(now clock.Millis) bool {
	ended := false
	for id, sess := range s.sessions {
		if sess.ttl > 0 && now >= sess.deadline {
			s.endSession(id)
			ended = true
		}
	}
	return ended
}
