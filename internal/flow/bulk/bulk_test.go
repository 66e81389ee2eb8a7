package bulk_test

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/bulk"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

var service = netip.MustParseAddrPort("198.18.0.1:443")

// request returns a request of a client of its own with a latency goal of 1.5 s.
func request(client byte, now clock.Millis) bulk.Request {
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, client}), 40001)
	return bulk.Request{Key: segment.NewKey(from, service), FirstSent: now, LatencyGoal: 1500, GiveUp: now + 1400}
}

// Guards against flows that open in the same moment and together exceed the limit, because
// flows only counted from their first data packet.
func TestFlowCountsFromItsStart(t *testing.T) {
	c := qt.New(t)
	l := bulk.NewLink(2)
	c.Assert(l.Offer(0, request(1, 0)), qt.Equals, bulk.Send)
	c.Assert(l.Offer(0, request(2, 0)), qt.Equals, bulk.Wait)
	c.Assert(l.Offer(0, request(3, 0)), qt.Equals, bulk.Wait)
	l.Touch(10, request(1, 0).Key)
	_, ok := l.Next(100)
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.End(120, request(1, 0).Key), qt.IsTrue)
	key, ok := l.Next(120)
	c.Assert(ok, qt.IsTrue)
	c.Assert(key, qt.Equals, request(2, 0).Key)
	_, ok = l.Next(120)
	c.Assert(ok, qt.IsFalse)
}

// Guards against a link that stays reserved for a client that sends nothing.
func TestIdleFlowMakesRoom(t *testing.T) {
	c := qt.New(t)
	l := bulk.NewLink(2)
	c.Assert(l.Offer(0, request(1, 0)), qt.Equals, bulk.Send)
	c.Assert(l.Offer(0, request(2, 0)), qt.Equals, bulk.Wait)
	_, ok := l.Next(200)
	c.Assert(ok, qt.IsTrue)
}

// Guards against a queue whose flows all miss their goals: those that can still meet them
// go first, the oldest one before the others.
func TestOrderFollowsGoals(t *testing.T) {
	c := qt.New(t)
	l := bulk.NewLink(2)
	c.Assert(l.Offer(0, request(1, 0)), qt.Equals, bulk.Send)
	late, older, newer := request(2, -1400), request(3, 0), request(4, 50)
	for _, r := range []bulk.Request{late, older, newer} {
		c.Assert(l.Offer(60, r), qt.Equals, bulk.Wait)
	}
	for _, expected := range []bulk.Request{older, newer, late} {
		l.Touch(100, expected.Key)
		l.End(100, request(1, 0).Key)
		l.End(100, older.Key)
		l.End(100, newer.Key)
		l.End(100, late.Key)
		key, ok := l.Next(100)
		c.Assert(ok, qt.IsTrue)
		c.Assert(key, qt.Equals, expected.Key)
	}
}

// Guards against clients that are held although the link cannot serve them soon, and
// against refusing the same client until it gives up.
func TestLongWaitIsRefusedOnce(t *testing.T) {
	c := qt.New(t)
	l := bulk.NewLink(2)
	c.Assert(l.Offer(0, request(1, 0)), qt.Equals, bulk.Send)
	client, decision := byte(2), bulk.Wait
	for ; decision == bulk.Wait; client++ {
		c.Assert(client < 20, qt.IsTrue)
		decision = l.Offer(0, request(client, 0))
	}
	c.Assert(decision, qt.Equals, bulk.Refuse)
	refused := client - 1
	c.Assert(l.Offer(10, request(refused, 10)), qt.Equals, bulk.Wait)
	c.Assert(l.Offer(10, request(99, 10)), qt.Equals, bulk.Refuse)
}

// Guards against entries for clients that have stopped waiting.
func TestExpire(t *testing.T) {
	c := qt.New(t)
	l := bulk.NewLink(2)
	l.Offer(0, request(1, 0))
	l.Offer(0, request(2, 0))
	c.Assert(l.Expire(1399), qt.HasLen, 0)
	expired := l.Expire(1400)
	c.Assert(expired, qt.HasLen, 1)
	c.Assert(expired[0], qt.Equals, request(2, 0).Key)
	c.Assert(l.Waiting(), qt.IsFalse)
}

// Guards against limits on a link whose rate is not known.
func TestUnknownRate(t *testing.T) {
	c := qt.New(t)
	l, p := bulk.NewLink(0), bulk.NewPacer(0)
	for client := range byte(100) {
		c.Assert(l.Offer(0, request(client, 0)), qt.Equals, bulk.Send)
		p.Sent(0, 1248)
		c.Assert(p.Hold(0, bulk.Packet{}), qt.IsFalse)
	}
	c.Assert(p.NextRelease(), qt.Equals, clock.Millis(0))
}
