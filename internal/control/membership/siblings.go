package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// siblings merges the records of a service that a sidecar receives from its
// watchers. The records from a watcher count only while its stream is open,
// because a watcher may declare a member dead and end before any other balancer
// receives that declaration.
type siblings struct {
	views map[StreamID]*siblingView
	// fallback is replaced whenever a view is removed and no complete view
	// remains. It then holds the merged records from before the removal, which
	// are used for members that are in no view, until a view is complete.
	fallback map[identity.OwnerID]Record
	merged   map[identity.OwnerID]Record
}

// siblingView holds the records received from one watcher.
type siblingView struct {
	members map[identity.OwnerID]observation
	// complete is set when the watcher has sent all its records.
	complete bool
}

type observation struct {
	record     Record
	receivedAt clock.Millis
}

func newSiblings() *siblings {
	return &siblings{
		views: map[StreamID]*siblingView{}, fallback: map[identity.OwnerID]Record{},
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
		v = &siblingView{members: map[identity.OwnerID]observation{}}
		s.views[stream] = v
	}
	return v
}

// put stores a record from a watcher. It reports whether the merged records
// changed.
func (s *siblings) put(now clock.Millis, stream StreamID, r Record) bool {
	v := s.view(stream)
	if old, ok := v.members[r.ID()]; ok && !r.Supersedes(old.record) {
		return false
	}
	v.members[r.ID()] = observation{record: r, receivedAt: now}
	return s.resolve(r.ID())
}

// remove deletes the record of a member from the view of a watcher. It reports
// whether the merged records changed.
func (s *siblings) remove(stream StreamID, id identity.OwnerID) bool {
	delete(s.view(stream).members, id)
	return s.resolve(id)
}

// resolve merges the records of one member from all views. It reports whether
// the merged record changed.
func (s *siblings) resolve(id identity.OwnerID) bool {
	best, known := Record{}, false
	for _, v := range s.views {
		if observed, ok := v.members[id]; ok && (!known || observed.record.Supersedes(best)) {
			best, known = observed.record, true
		}
	}
	if !known {
		best, known = s.fallback[id]
	}
	old, wasMerged := s.merged[id]
	if !known || best.State().Ended() {
		delete(s.merged, id)
		return wasMerged
	}
	s.merged[id] = best
	return !wasMerged || old != best
}

// markComplete records that a watcher has sent all its records. It reports
// whether the merged records changed.
func (s *siblings) markComplete(stream StreamID) bool {
	s.view(stream).complete = true
	s.fallback = map[identity.OwnerID]Record{}
	return s.resolveAll()
}

// retain removes the views of streams that are no longer open. It reports
// whether the merged records changed.
func (s *siblings) retain(open func(StreamID) bool) bool {
	changed := false
	for _, stream := range sortedStreams(s.views) {
		if open(stream) {
			continue
		}
		delete(s.views, stream)
		if !s.complete() {
			s.fallback = maps.Clone(s.merged)
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

// expire removes tombstones older than TombstoneLifetime.
func (s *siblings) expire(now clock.Millis) {
	for _, v := range s.views {
		maps.DeleteFunc(v.members, func(_ identity.OwnerID, observed observation) bool {
			return observed.record.State().Ended() && now >= observed.receivedAt+TombstoneLifetime
		})
	}
}
