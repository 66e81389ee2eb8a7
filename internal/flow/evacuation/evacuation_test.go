package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/store"
)

const hope, surrey = "hope", "surrey"

func revision(epoch store.Epoch, number uint64) store.Revision {
	return store.Revision{Epoch: epoch, Number: number}
}

func put(name string, epoch store.Epoch, number uint64) evacuation.Record {
	return evacuation.Record{DataCentre: name, Evacuated: true, Revision: revision(epoch, number)}
}

func removal(name string, epoch store.Epoch, number uint64) evacuation.Record {
	return evacuation.Record{DataCentre: name, Revision: revision(epoch, number)}
}

// Guards against an evacuation that a change or a read does not begin or end, and against a
// record that a process without one creates from a read without the key.
func TestStoreBeginsAndEndsEvacuation(t *testing.T) {
	c := qt.New(t)
	s := &evacuation.Set{}
	c.Assert(s.Read(0, revision(1, 5), nil), qt.DeepEquals, evacuation.Update{})
	c.Assert(s.Records(), qt.HasLen, 0)
	c.Assert(s.Watch(0, []evacuation.Record{put(hope, 1, 6)}), qt.DeepEquals,
		evacuation.Update{Changed: true, Transitions: []evacuation.Record{put(hope, 1, 6)}})
	c.Assert(s.Evacuated(hope), qt.IsTrue)
	c.Assert(s.Evacuated(surrey), qt.IsFalse)
	c.Assert(s.DataCentres(), qt.DeepEquals, []string{hope})
	c.Assert(s.Watch(0, []evacuation.Record{removal(hope, 1, 7)}).Transitions, qt.DeepEquals, []evacuation.Record{removal(hope, 1, 7)})
	s.Read(0, revision(1, 9), []evacuation.Record{put(hope, 1, 8), put(surrey, 1, 9)})
	c.Assert(s.DataCentres(), qt.DeepEquals, []string{hope, surrey})
	c.Assert(s.Read(0, revision(1, 12), []evacuation.Record{put(surrey, 1, 9)}), qt.DeepEquals,
		evacuation.Update{Changed: true, Transitions: []evacuation.Record{removal(hope, 1, 12)}})
	c.Assert(s.Records(), qt.DeepEquals, []evacuation.Record{removal(hope, 1, 12), put(surrey, 1, 9)})
}

// Guards against a newer record that a stale read, a reissued revision or a late response
// undoes.
func TestOlderNewsIsIgnored(t *testing.T) {
	for name, stale := range map[string]func(*evacuation.Set) evacuation.Update{
		"read at an older revision": func(s *evacuation.Set) evacuation.Update { return s.Read(0, revision(2, 19), nil) },
		"read of an earlier epoch":  func(s *evacuation.Set) evacuation.Update { return s.Read(0, revision(1, 90), nil) },
		"removal at a reused revision": func(s *evacuation.Set) evacuation.Update {
			return s.Watch(0, []evacuation.Record{removal(hope, 1, 25)})
		},
		"removal by a peer": func(s *evacuation.Set) evacuation.Update {
			return s.Merge(0, []evacuation.Record{removal(hope, 2, 12)})
		},
		"the same record again": func(s *evacuation.Set) evacuation.Update { return s.Merge(0, []evacuation.Record{put(hope, 2, 20)}) },
	} {
		c := qt.New(t)
		s := &evacuation.Set{}
		s.Watch(0, []evacuation.Record{put(hope, 2, 20)})
		c.Assert(stale(s), qt.DeepEquals, evacuation.Update{}, qt.Commentf(name))
		s.Tick(10 * clock.Minute)
		c.Assert(s.Evacuated(hope), qt.IsTrue, qt.Commentf(name))
	}
}

// Guards against a late record of a peer that begins an evacuation again, although this
// process has read that the operator has withdrawn it.
func TestPeerDoesNotBringBackWhatAReadHasEnded(t *testing.T) {
	c := qt.New(t)
	s := &evacuation.Set{}
	s.Read(0, revision(1, 12), nil)
	s.Read(0, revision(1, 5), nil) // A late response.
	s.Merge(0, []evacuation.Record{put(hope, 1, 8)})
	c.Assert(s.Evacuated(hope), qt.IsFalse)
	s.Merge(0, []evacuation.Record{put(hope, 1, 13)})
	c.Assert(s.Evacuated(hope), qt.IsTrue)
}

// Guards against an evacuation that ends because a restore of the store has lost its key,
// and against one that lasts for good after the operator has given up the key.
func TestRestoreKeepsEvacuation(t *testing.T) {
	for name, learn := range map[string]func(*evacuation.Set){
		"known before the read": func(s *evacuation.Set) {
			s.Watch(0, []evacuation.Record{put(hope, 1, 20)})
			s.Read(0, revision(2, 15), nil)
		},
		"from a peer after a read": func(s *evacuation.Set) {
			s.Read(0, revision(2, 15), nil)
			s.Merge(0, []evacuation.Record{put(hope, 1, 20)})
		},
	} {
		c := qt.New(t)
		s := &evacuation.Set{}
		learn(s)
		s.Read(30*clock.Second, revision(2, 18), nil)
		s.Tick(59 * clock.Second)
		c.Assert(s.Evacuated(hope), qt.IsTrue, qt.Commentf(name))
		c.Assert(s.Tick(60*clock.Second).Transitions, qt.DeepEquals, []evacuation.Record{removal(hope, 2, 18)}, qt.Commentf(name))
	}
}

// Guards against an evacuation that ends 60 s after a restore although the operator has
// written the key again, and against a removal in the new epoch that has no effect.
func TestOperatorDecidesAfterRestore(t *testing.T) {
	c := qt.New(t)
	s := &evacuation.Set{}
	s.Watch(0, []evacuation.Record{put(hope, 1, 20), put(surrey, 1, 21)})
	s.Read(0, revision(2, 15), nil)
	s.Watch(clock.Second, []evacuation.Record{put(hope, 2, 16), put(surrey, 2, 17), removal(surrey, 2, 18)})
	s.Tick(10 * clock.Minute)
	c.Assert(s.Records(), qt.DeepEquals, []evacuation.Record{put(hope, 2, 16), removal(surrey, 2, 18)})
}

// Guards against hosts that differ for good because they have got the same records in
// another order, repeated, or from peers that know halves of them.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	c := qt.New(t)
	var records []evacuation.Record
	for number := range uint64(6) {
		records = append(records, put(hope, 1+store.Epoch(number%2), number), removal(hope, 1, number), put(surrey, 1, number), removal(surrey, 2, 1))
	}
	expected := &evacuation.Set{}
	expected.Merge(0, records)
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		first, second := &evacuation.Set{}, &evacuation.Set{}
		for _, i := range random.Perm(len(records)) {
			known := []*evacuation.Set{first, second}[i%2]
			known.Merge(0, []evacuation.Record{records[i], records[i]})
		}
		first.Merge(0, second.Records())
		second.Merge(0, first.Records())
		c.Assert(first.Records(), qt.DeepEquals, expected.Records())
		c.Assert(second.Records(), qt.DeepEquals, expected.Records())
	}
}

// Guards against a reply that is sent without need, or not sent although it would help.
func TestKnowsNewer(t *testing.T) {
	c := qt.New(t)
	s := &evacuation.Set{}
	s.Merge(0, []evacuation.Record{put(hope, 1, 20), removal(surrey, 1, 21)})
	for _, test := range []struct {
		sent  []evacuation.Record
		newer bool
	}{
		{s.Records(), false},
		{[]evacuation.Record{put(hope, 1, 20), put(surrey, 1, 22)}, false},
		{[]evacuation.Record{put(hope, 1, 20), put(surrey, 1, 20)}, true},
		{[]evacuation.Record{put(hope, 1, 20)}, true},
		{nil, true},
	} {
		c.Assert(s.KnowsNewer(test.sent), qt.Equals, test.newer)
	}
	c.Assert((&evacuation.Set{}).KnowsNewer(nil), qt.IsFalse)
}

// Guards against announcements without end, and against a removal that is not announced for
// long enough to reach all hosts.
func TestAnnouncementsEnd(t *testing.T) {
	c := qt.New(t)
	s := &evacuation.Set{}
	c.Assert(s.Announces(0), qt.IsFalse)
	s.Watch(0, []evacuation.Record{put(hope, 1, 20)})
	c.Assert(s.Announces(clock.Minute*10), qt.IsTrue)
	s.Watch(clock.Minute*10, []evacuation.Record{removal(hope, 1, 21)})
	c.Assert(s.Announces(clock.Minute*11-1), qt.IsTrue)
	c.Assert(s.Announces(clock.Minute*11), qt.IsFalse)
}

// Guards against records that need more memory or longer messages than intended, and
// against an evacuation that a full set of ended ones keeps out.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := &evacuation.Set{}
	for i := range uint64(evacuation.MaxRecords + 10) {
		s.Merge(0, []evacuation.Record{removal(fmt.Sprint("dc-", i), 1, i+1)})
	}
	c.Assert(s.Records(), qt.HasLen, evacuation.MaxRecords)
	s.Merge(0, []evacuation.Record{put(hope, 1, 3), put("", 1, 4), put(strings.Repeat("d", evacuation.MaxNameLength+1), 1, 5)})
	c.Assert(s.Records(), qt.HasLen, evacuation.MaxRecords)
	c.Assert(s.DataCentres(), qt.DeepEquals, []string{hope})
	for i := range uint64(evacuation.MaxRecords + 10) {
		s.Merge(0, []evacuation.Record{put(fmt.Sprint("full-", i), 2, i+1)})
	}
	c.Assert(s.Records(), qt.HasLen, evacuation.MaxRecords)
	c.Assert(slices.Contains(s.Records(), put(hope, 1, 3)), qt.IsTrue)
}
