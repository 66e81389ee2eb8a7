package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// siblings merges what the watchers of a sidecar say about its service. What a
// watcher said counts only while its stream is open: a watcher may declare a
// member dead and end before any other balancer hears of it.
type siblings struct {
	views map[StreamID]*siblingView
	// base is what was known when the last complete view was lost. It counts for
	// members that no view knows, until a view is complete.
	base   map[identity.OwnerID]Record
	merged map[identity.OwnerID]Record
}

type siblingView struct {
	members  map[identity.OwnerID]sighting
	complete bool
}

type sighting struct {
	record Record
	at     clock.Millis
}

func newSiblings() *siblings {
	return &siblings{
		views: map[StreamID]*siblingView{}, base: map[identity.OwnerID]Record{},
		merged: map[identity.OwnerID]Record{},
	}
}

// records returns the siblings that have not ended, in order of their IDs.
func (s *siblings) records() []Record {
	records := slices.Collect(maps.Values(s.merged))
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID(), b.ID()) })
	return records
}

func (s *siblings) view(stream StreamID) *siblingView {
	v, ok := s.views[stream]
	if !ok {
		v = &siblingView{members: map[identity.OwnerID]sighting{}}
		s.views[stream] = v
	}
	return v
}

// put takes a record from a watcher and reports whether the result changed.
func (s *siblings) put(now clock.Millis, stream StreamID, r Record) bool {
	v := s.view(stream)
	if old, ok := v.members[r.ID()]; ok && !r.Supersedes(old.record) {
		return false
	}
	v.members[r.ID()] = sighting{record: r, at: now}
	return s.resolve(r.ID())
}

// remove forgets what a watcher said about a member.
func (s *siblings) remove(stream StreamID, id identity.OwnerID) bool {
	delete(s.view(stream).members, id)
	return s.resolve(id)
}

// resolve merges the views of one member and reports whether the result changed.
func (s *siblings) resolve(id identity.OwnerID) bool {
	best, known := Record{}, false
	for _, v := range s.views {
		if seen, ok := v.members[id]; ok && (!known || seen.record.Supersedes(best)) {
			best, known = seen.record, true
		}
	}
	if !known {
		best, known = s.base[id]
	}
	old, was := s.merged[id]
	if !known || best.State().Ended() {
		delete(s.merged, id)
		return was
	}
	s.merged[id] = best
	return !was || old != best
}

// completed tells that a watcher has sent everything that it holds.
func (s *siblings) completed(stream StreamID) bool {
	s.view(stream).complete = true
	s.base = map[identity.OwnerID]Record{}
	return s.resolveAll()
}

// keep forgets the views of streams that are not open.
func (s *siblings) keep(open func(StreamID) bool) bool {
	changed := false
	for _, stream := range sortedStreams(s.views) {
		if open(stream) {
			continue
		}
		delete(s.views, stream)
		if !s.complete() {
			s.base = maps.Clone(s.merged)
		}
		changed = s.resolveAll() || changed
	}
	return changed
}

func (s *siblings) complete() bool {
	for _, v := range s.views {
		if v.complete {
			return true
		}
	}
	return false
}

func (s *siblings) resolveAll() bool {
	ids := map[identity.OwnerID]struct{}{}
	for id := range s.merged {
		ids[id] = struct{}{}
	}
	for _, v := range s.views {
		for id := range v.members {
			ids[id] = struct{}{}
		}
	}
	changed := false
	for id := range ids {
		changed = s.resolve(id) || changed
	}
	return changed
}

// expire drops old tombstones.
func (s *siblings) expire(now clock.Millis) {
	for _, v := range s.views {
		maps.DeleteFunc(v.members, func(_ identity.OwnerID, seen sighting) bool {
			return seen.record.State().Ended() && now >= seen.at+TombstoneLifetime
		})
	}
}
