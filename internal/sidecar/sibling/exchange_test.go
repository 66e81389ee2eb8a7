package sibling_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
)

func newSiblings(count int) []sibling.Sibling {
	var all []sibling.Sibling
	for i := range count {
		all = append(all, sibling.Sibling{Owner: identity.OwnerID(i + 1)})
	}
	return all
}

// TestSchedule guards against load messages that exceed the budget of the control
// traffic, and against siblings that receive no load for more than a second.
func TestSchedule(t *testing.T) {
	c := qt.New(t)
	var sent []clock.Millis
	now := clock.Millis(0)
	e := sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: 9, Send: func(sibling.Sibling, []byte) { sent = append(sent, now) }})
	e.SetSiblings(newSiblings(1))
	for ; now <= 4000; now += 20 {
		load := sibling.Load{Slots: 3}
		if now >= 2000 && now < 2500 {
			load.InUse = int(now)
		}
		e.Tick(load, now)
	}
	c.Assert(sent, qt.DeepEquals, []clock.Millis{0, 1000, 2000, 2100, 2200, 2300, 2400, 2500, 3500})
}

// TestPartners guards against more than 6 partners, and against partners that do not
// choose each other, which would leave a sidecar without loads of its siblings.
func TestPartners(t *testing.T) {
	c := qt.New(t)
	all := newSiblings(13)
	chosen := map[[2]identity.OwnerID]bool{}
	for _, self := range all {
		count := 0
		e := sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: self.Owner, Send: func(to sibling.Sibling, _ []byte) {
			count++
			chosen[[2]identity.OwnerID{self.Owner, to.Owner}] = true
		}})
		// The list may contain the sidecar itself.
		e.SetSiblings(all)
		e.Tick(sibling.Load{}, 0)
		c.Assert(count, qt.Equals, 6)
	}
	for pair := range chosen {
		c.Assert(chosen[[2]identity.OwnerID{pair[1], pair[0]}], qt.IsTrue, qt.Commentf("%v", pair))
	}
}

// TestMostFree guards against hand-offs to siblings that are full, leaving, silent or
// unknown, and against a burst of hand-offs for the same free slot.
func TestMostFree(t *testing.T) {
	c := qt.New(t)
	e := sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: 9})
	e.SetSiblings(newSiblings(3))
	e.Receive(1, sibling.Load{Slots: 3, InUse: 2}.Encode(), 0)
	e.Receive(2, sibling.Load{Slots: 3, Leaving: true}.Encode(), 0)
	e.Receive(3, sibling.Load{Slots: 3, InUse: 1, Queued: 2}.Encode(), 0)
	e.Receive(4, sibling.Load{Slots: 3}.Encode(), 0)
	e.Receive(3, []byte("not a load message"), 0)
	s, ok := e.MostFree(0)
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Owner, qt.Equals, identity.OwnerID(1))
	e.RecordHandOff(1)
	_, ok = e.MostFree(0)
	c.Assert(ok, qt.IsFalse)
	e.Receive(1, sibling.Load{Slots: 3}.Encode(), 100)
	_, ok = e.MostFree(100)
	c.Assert(ok, qt.IsTrue)
	_, ok = e.MostFree(3600)
	c.Assert(ok, qt.IsFalse)
	c.Assert(e.Loads(3600), qt.HasLen, 0)
}

// TestMembershipReportsDepartures guards against new flows and requests that go to a
// leaving sibling whose last load message is older than its departure. A sibling that
// drains has the fewest flows, so it would get all of them.
func TestMembershipReportsDepartures(t *testing.T) {
	c := qt.New(t)
	e := sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: 9})
	e.SetSiblings(newSiblings(1))
	e.Receive(1, sibling.Load{Slots: 3}.Encode(), 0)
	e.SetSiblings([]sibling.Sibling{{Owner: 1, Leaving: true}})
	c.Check(e.Loads(0)[1].Leaving, qt.IsTrue)
	_, ok := e.MostFree(0)
	c.Check(ok, qt.IsFalse)
}

// TestWithoutValidLoad guards against a leaving sidecar that ignores a serving sibling
// because that one is not a partner and has sent no load.
func TestWithoutValidLoad(t *testing.T) {
	c := qt.New(t)
	e := sibling.NewLoadExchange(sibling.LoadExchangeConfig{Self: 9})
	e.SetSiblings([]sibling.Sibling{{Owner: 1}, {Owner: 2}, {Owner: 3, Leaving: true}})
	e.Receive(1, sibling.Load{}.Encode(), 0)
	c.Check(e.WithoutValidLoad(0), qt.DeepEquals, []identity.OwnerID{2})
	c.Check(e.WithoutValidLoad(3500), qt.DeepEquals, []identity.OwnerID{1, 2})
}

// FuzzParseLoad guards against messages that are decoded incorrectly, so that they
// change when they are encoded again.
func FuzzParseLoad(f *testing.F) {
	f.Add(sibling.Load{Leaving: true, Flows: 1 << 20, InUse: 3, Slots: 3, Queued: 77}.Encode())
	f.Add(sibling.Load{Flows: -1, InUse: 1 << 20}.Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		load, err := sibling.ParseLoad(message)
		if err == nil && !bytes.Equal(load.Encode(), message) {
			t.Fatalf("%x is decoded as %+v, which has another encoding", message, load)
		}
	})
}
