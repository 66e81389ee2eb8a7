// Package evacuation knows which data centres the operator has evacuated. It addresses the
// load of a data centre that is taken out of service and returned, while the store and the
// hosts fail: each process keeps one record for each data centre, and whatever the order in
// which records arrive, all processes end with the same ones. It does no input or output:
// the caller passes in what the store and other processes state, and the time.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

const (
	// MaxRecords is the maximum number of records of a Set. Further data centres replace
	// those that are not evacuated, or are ignored.
	MaxRecords = 64
	// MaxNameLength is the maximum length in bytes of the name of a data centre, so that
	// MaxRecords fit into one message. Longer names are ignored.
	MaxNameLength = 200
	// restoreGrace is how long an evacuation stays in force whose key a restore of the store
	// has lost. The operator has not withdrawn it, and can write the key again in this time.
	restoreGrace = clock.Minute
	// announceTime is how long a record that is not evacuated is announced after the process
	// has learned it.
	announceTime = clock.Minute
)

// Record is what is known of one data centre.
type Record struct {
	DataCentre string
	Evacuated  bool
	// Revision is that of the change or read of the store by which Evacuated is known.
	Revision store.Revision
}

// compare returns a positive number if r replaces other. A read at the revision at which a
// key was written does not lack the key unless it was removed since, so that "not evacuated"
// wins if the revisions are equal.
func (r Record) compare(other Record) int {
	if order := r.Revision.Compare(other.Revision); order != 0 || r.Evacuated == other.Evacuated {
		return order
	}
	if other.Evacuated {
		return 1
	}
	return -1
}

// Update is the result of new information.
type Update struct {
	// Changed is set if a record has changed, so that other processes are to be told.
	Changed bool
	// Transitions holds the records by which an evacuation has begun or ended, in order of
	// name.
	Transitions []Record
}

// entry is a record with what is known of it locally.
type entry struct {
	Record
	// learnedAt is when this process has got the record.
	learnedAt clock.Millis
	// lost is set from lostAt while the key is missing in the store since a restore.
	lost   bool
	lostAt clock.Millis
}

// Set holds the records of one process. The zero value is ready for use. It is not safe for
// concurrent use.
type Set struct {
	entries map[string]entry
	// read is the revision of the newest read of the store, and present holds the data
	// centres whose keys it has found. Its number is 0 before the first read.
	read    store.Revision
	present map[string]bool
}

// Read applies a complete read of the store at a revision. evacuated holds a record for each
// key. A read in the epoch of a known record ends an evacuation whose key it lacks, unless
// the read is older than the record. In a later epoch, a restore may have lost the key.
func (s *Set) Read(now clock.Millis, at store.Revision, evacuated []Record) Update {
	if at.Compare(s.read) >= 0 {
		s.read, s.present = at, map[string]bool{}
		for _, r := range evacuated {
			s.present[r.DataCentre] = true
		}
	}
	return s.update(now, evacuated)
}

// Watch applies changes of the store, with the revisions of their events.
func (s *Set) Watch(now clock.Millis, changes []Record) Update { return s.update(now, changes) }

// Merge applies the records of another process.
func (s *Set) Merge(now clock.Millis, records []Record) Update { return s.update(now, records) }

// Tick ends the evacuations whose keys have been missing for restoreGrace.
func (s *Set) Tick(now clock.Millis) Update { return s.update(now, nil) }

// update applies records and reports what they have changed.
func (s *Set) update(now clock.Millis, records []Record) Update {
	before := maps.Clone(s.entries)
	for _, r := range records {
		s.merge(now, r)
	}
	for name := range s.entries {
		s.applyRead(now, name)
	}
	var u Update
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		old, current := before[name], s.entries[name]
		u.Changed = u.Changed || old.Record != current.Record
		if old.Evacuated != current.Evacuated {
			u.Transitions = append(u.Transitions, current.Record)
		}
	}
	return u
}

// merge keeps a record if it is newer than the known one.
func (s *Set) merge(now clock.Millis, r Record) {
	known, ok := s.entries[r.DataCentre]
	switch {
	case r.DataCentre == "" || len(r.DataCentre) > MaxNameLength:
	case ok && r.compare(known.Record) <= 0:
	case !ok && len(s.entries) >= MaxRecords && !s.evict():
	default:
		if s.entries == nil {
			s.entries = map[string]entry{}
		}
		s.entries[r.DataCentre] = entry{Record: r, learnedAt: now}
	}
}

// evict removes the oldest record that is not evacuated. It returns false if there is none.
func (s *Set) evict() bool {
	var oldest *Record
	for _, e := range s.entries {
		if !e.Evacuated && (oldest == nil || e.older(*oldest)) {
			oldest = &e.Record
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.entries, oldest.DataCentre)
	return true
}

// older orders records by revision and name.
func (r Record) older(other Record) bool {
	return cmp.Or(r.Revision.Compare(other.Revision), strings.Compare(r.DataCentre, other.DataCentre)) < 0
}

// applyRead applies the newest read to the record of a data centre whose key it lacks.
func (s *Set) applyRead(now clock.Millis, name string) {
	e := s.entries[name]
	if !e.Evacuated || s.present[name] || s.read.Compare(e.Revision) < 0 || s.read.Number == 0 {
		return
	}
	if s.read.Epoch > e.Revision.Epoch && !e.lost {
		e.lost, e.lostAt = true, now
	}
	if !e.lost || now-e.lostAt >= restoreGrace {
		e = entry{Record: Record{DataCentre: name, Revision: s.read}, learnedAt: now}
	}
	s.entries[name] = e
}

// Evacuated reports whether a data centre is evacuated.
func (s *Set) Evacuated(dataCentre string) bool { return s.entries[dataCentre].Evacuated }

// DataCentres returns the evacuated data centres in order of name.
func (s *Set) DataCentres() []string {
	var names []string
	for name, e := range s.entries {
		if e.Evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Records returns all records in order of name.
func (s *Set) Records() []Record {
	var records []Record
	for _, name := range slices.Sorted(maps.Keys(s.entries)) {
		records = append(records, s.entries[name].Record)
	}
	return records
}

// KnowsNewer reports whether this process has a record that is newer than that of another
// process, or that the other process lacks.
func (s *Set) KnowsNewer(records []Record) bool {
	others := make(map[string]Record, len(records))
	for _, r := range records {
		others[r.DataCentre] = r
	}
	for name, e := range s.entries {
		if other, ok := others[name]; !ok || e.compare(other) > 0 {
			return true
		}
	}
	return false
}

// Announces reports whether the records are to be repeated to all hosts in turn: while one
// is evacuated, and for announceTime after one was learned.
func (s *Set) Announces(now clock.Millis) bool {
	for _, e := range s.entries {
		if e.Evacuated || now-e.learnedAt < announceTime {
			return true
		}
	}
	return false
}
