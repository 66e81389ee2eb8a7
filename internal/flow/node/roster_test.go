package node

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

// handle lets the sidecar handle a message from a host.
func (r *sidecarRecorder) handle(from netip.Addr, m relay.Message) {
	data, err := m.Append(nil)
	r.c.Assert(err, qt.IsNil)
	r.node.handleRelay(netip.AddrPortFrom(from, r.port()), data)
}

func (r *sidecarRecorder) takeKind(kind relay.Kind) []relay.Message {
	var found []relay.Message
	for _, m := range r.take() {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	return found
}

// Guards against balancers that replace all earlier ones and do not learn of the siblings
// that these have listed, because the sidecar forgets them or does not tell.
func TestNewBalancerGetsRoster(t *testing.T) {
	r := newSidecarRecorder(t)
	front, later := netip.MustParseAddr("127.1.0.1"), netip.MustParseAddr("127.1.0.2")
	siblings := []netip.Addr{netip.MustParseAddr("127.2.0.2"), netip.MustParseAddr("127.2.0.3")}
	r.handle(front, relay.Message{Kind: relay.KindDigest, Digest: relay.Digest{Siblings: siblings}})
	first := r.takeKind(relay.KindRoster)
	r.c.Assert(first, qt.HasLen, 1)
	r.c.Assert(first[0].Roster.Complete, qt.IsFalse)

	for range 16 {
		r.now.Advance(clock.Second)
		r.handle(front, relay.Message{Kind: relay.KindDigest, Digest: relay.Digest{Siblings: siblings}})
	}
	r.c.Assert(r.takeKind(relay.KindRoster), qt.HasLen, 0)
	r.node.startedAt = 0
	r.handle(later, relay.Message{Kind: relay.KindDigest, Digest: relay.Digest{Siblings: siblings[:1]}})
	r.c.Assert(r.node.machine.Siblings(), qt.Equals, 2)
	roster := r.takeKind(relay.KindRoster)
	r.c.Assert(roster, qt.HasLen, 1)
	r.c.Assert(roster[0].Roster.Complete, qt.IsTrue)
	r.c.Assert(fmt.Sprint(roster[0].Roster.Hosts), qt.Equals, fmt.Sprint(siblings))
	r.c.Assert(roster[0].Roster.Age, qt.Equals, 16*clock.Second)

	r.handle(siblings[1], relay.Message{Kind: relay.KindReport, Report: relay.Report{Service: platform.ServiceID("archive")}})
	r.c.Assert(r.node.machine.Siblings(), qt.Equals, 1)
}

// Guards against a sidecar that passes on the list of a balancer which has started at the same
// time as the receiver as if it were complete. It names what it knows.
func TestRosterOfNewBalancerIsIncomplete(t *testing.T) {
	r := newSidecarRecorder(t)
	siblings := []netip.Addr{netip.MustParseAddr("127.2.0.2")}
	r.handle(netip.MustParseAddr("127.1.0.1"), relay.Message{Kind: relay.KindDigest, Digest: relay.Digest{Siblings: siblings}})
	r.takeKind(relay.KindRoster)
	r.now.Advance(500)
	r.handle(netip.MustParseAddr("127.1.0.2"), relay.Message{Kind: relay.KindDigest, Digest: relay.Digest{Siblings: siblings}})
	roster := r.takeKind(relay.KindRoster)
	r.c.Assert(roster, qt.HasLen, 1)
	r.c.Assert(roster[0].Roster.Complete, qt.IsFalse)
	r.c.Assert(fmt.Sprint(roster[0].Roster.Hosts), qt.Equals, fmt.Sprint(siblings))
}

// Guards against a balancer that takes its directory for complete although a sidecar names a
// host that the directory lacks.
func TestRosterHostsAreAwaited(t *testing.T) {
	r := newDigestRecorder(t)
	n := r.node
	n.logger, n.members = zap.NewNop(), absence.NewMembers(0)
	n.machine = balancer.New(balancer.Config{Members: n.members})
	n.startedAt = n.clock.Now() - clock.Second
	owner := netip.MustParseAddr("127.2.0.2")
	m := relay.Message{Kind: relay.KindRoster, Roster: relay.Roster{Complete: true, Hosts: []netip.Addr{owner}}}
	data, err := m.Append(nil)
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(n.allReported(), qt.IsTrue)
	n.handleRelay(netip.MustParseAddrPort("127.2.0.1:7000"), data)
	r.c.Assert(n.allReported(), qt.IsFalse)
	r.c.Assert(r.take(), qt.HasLen, 1)
	n.sidecars.MarkSeen(n.clock.Now(), owner, 0)
	r.c.Assert(n.allReported(), qt.IsTrue)
}

// Guards against a sidecar that takes the entry which it has written itself for one that the
// directory had kept.
func TestOwnEntryIsFoundOnlyIfKept(t *testing.T) {
	d := newDirectoryTest(t)
	ctx := context.Background()
	d.c.Assert(d.first.step(ctx), qt.IsNil)
	d.first.restoreDrain(ctx)
	d.c.Assert(d.first.foundEntry(), qt.IsFalse)
	restarted := d.directory("127.4.0.1")
	d.c.Assert(restarted.foundEntry(), qt.IsFalse)
	restarted.restoreDrain(ctx)
	d.c.Assert(restarted.foundEntry(), qt.IsTrue)
}
