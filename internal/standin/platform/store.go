package platform

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// entry is one key in the form of the API. encoding/json writes the value in
// base64.
type entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

type session struct {
	id       string
	ttl      clock.Millis
	deadline clock.Millis
	// deletes tells whether the end of the session deletes its keys.
	deletes bool
}

// store holds keys and sessions. One index counts all changes.
type store struct {
	index   uint64
	entries map[string]entry
	// removed holds the index at which a key was deleted, so that a prefix never
	// reports a lower index than before.
	removed  map[string]uint64
	sessions map[string]*session
	created  int
}

func newStore() *store {
	return &store{
		// Index 0 means "do not block" in a query, so the first is 1.
		index:    1,
		entries:  make(map[string]entry),
		removed:  make(map[string]uint64),
		sessions: make(map[string]*session),
	}
}

// list returns the entries under prefix in key order, and the index of the last
// change under it.
func (s *store) list(prefix string) ([]entry, uint64) {
	var entries []entry
	index := uint64(1)
	for _, key := range slices.Sorted(maps.Keys(s.entries)) {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, s.entries[key])
			index = max(index, s.entries[key].ModifyIndex)
		}
	}
	for key, at := range s.removed {
		if strings.HasPrefix(key, prefix) {
			index = max(index, at)
		}
	}
	return entries, index
}

// get returns the entry under key, if any, and the index of its last change.
func (s *store) get(key string) ([]entry, uint64) {
	if e, ok := s.entries[key]; ok {
		return []entry{e}, e.ModifyIndex
	}
	return nil, max(s.removed[key], 1)
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

func (s *store) remove(key string, index uint64) {
	if _, ok := s.entries[key]; ok {
		delete(s.entries, key)
		s.removed[key] = index
	}
}

// acquire locks key for a session and sets its value.
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

func (s *store) createSession(ttl, now clock.Millis, deletes bool) string {
	s.created++
	id := fmt.Sprintf("00000000-0000-0000-0000-%012d", s.created)
	s.sessions[id] = &session{id: id, ttl: ttl, deadline: now + ttl, deletes: deletes}
	return id
}

func (s *store) renewSession(id string, now clock.Millis) bool {
	held, ok := s.sessions[id]
	if ok {
		held.deadline = now + held.ttl
	}
	return ok
}

// endSession removes a session and releases or deletes its keys.
func (s *store) endSession(id string) {
	held, ok := s.sessions[id]
	if !ok {
		return
	}
	delete(s.sessions, id)
	s.index++
	for key, e := range s.entries {
		if e.Session != id {
			continue
		}
		if held.deletes {
			s.remove(key, s.index)
			continue
		}
		e.Session = ""
		e.ModifyIndex = s.index
		s.entries[key] = e
	}
}

// expireSessions ends the sessions whose deadline has passed and reports whether
// there were any.
func (s *store) expireSessions(now clock.Millis) bool {
	ended := false
	for id, held := range s.sessions {
		if held.ttl > 0 && now >= held.deadline {
			s.endSession(id)
			ended = true
		}
	}
	return ended
}
