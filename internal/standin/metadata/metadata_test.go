package metadata_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

// Guards against a model that is kinder than the users' store: one that keeps what a restore
// loses, or whose revisions and leases stay unique.
func TestRestoreGivesNumbersOutAgain(t *testing.T) {
	c := qt.New(t)
	s := metadata.New()
	s.Put("kept", "1")
	older := s.Copy()
	lost := s.Grant(0, clock.Second)
	c.Assert(s.Transact(metadata.Transaction{Puts: []metadata.Item{{Key: "lost", Lease: lost}}}), qt.Equals, metadata.Done)
	revision := s.Revision()
	s.Restore(older)
	c.Assert(s.Epoch(), qt.Equals, older.Epoch()+1)
	_, exists := s.Get("lost")
	c.Assert(exists, qt.IsFalse)
	_, available := s.Events("", revision)
	c.Assert(available, qt.IsFalse)
	c.Assert(s.Grant(0, clock.Second), qt.Equals, lost)
	s.Put("other", "")
	c.Assert(s.Revision(), qt.Equals, revision)
	events, available := s.Events("", revision)
	c.Assert(available, qt.IsTrue)
	c.Assert(events, qt.HasLen, 0)
}

// Guards against transactions that change something although a condition or lease is missing,
// and against leases that end early or keep their keys.
func TestTransactionsAndLeases(t *testing.T) {
	c := qt.New(t)
	s := metadata.New()
	id := s.Grant(0, clock.Second)
	put := metadata.Transaction{Expected: []metadata.Item{{Key: "a"}}, Puts: []metadata.Item{{Key: "a", Lease: id}}}
	c.Assert(s.Transact(put), qt.Equals, metadata.Done)
	c.Assert(s.Transact(put), qt.Equals, metadata.Conflict)
	c.Assert(s.Transact(metadata.Transaction{Puts: []metadata.Item{{Key: "b", Lease: id + 1}}}), qt.Equals, metadata.NoLease)
	ttl, ok := s.Renew(clock.Second, id)
	c.Assert(ok, qt.IsTrue)
	c.Assert(ttl, qt.Equals, clock.Second)
	s.Expire(2 * clock.Second)
	c.Assert(s.List("", ""), qt.HasLen, 1)
	s.Expire(2*clock.Second + 1)
	c.Assert(s.List("", ""), qt.HasLen, 0)
	_, ok = s.Renew(2*clock.Second, id)
	c.Assert(ok, qt.IsFalse)
}

// Guards against a client that reads only the first page, which a kinder server would not
// show.
func TestRangeHasPages(t *testing.T) {
	c := qt.New(t)
	const items = 501
	s := metadata.NewServer()
	s.Update(func(state *metadata.Store) {
		for i := range items {
			state.Put(fmt.Sprintf("key-%03d", i), "")
		}
	})
	server := httptest.NewServer(s.Handler())
	c.Cleanup(server.Close)
	var found []metadata.Item
	for range 2 {
		response, err := http.Get(server.URL + "/orioledyke/kv-range?prefix=key&after=" + lastKey(found))
		c.Assert(err, qt.IsNil)
		var page struct {
			Items     []metadata.Item `json:"items"`
			Truncated bool            `json:"truncated"`
		}
		c.Assert(json.NewDecoder(response.Body).Decode(&page), qt.IsNil)
		c.Assert(response.Body.Close(), qt.IsNil)
		found = append(found, page.Items...)
		c.Assert(page.Truncated, qt.Equals, len(found) < items)
	}
	c.Assert(found, qt.HasLen, items)
}

func lastKey(items []metadata.Item) string {
	if len(items) == 0 {
		return ""
	}
	return items[len(items)-1].Key
}
