package membership_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/control/membership"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
	"pgregory.net/rapid"
)

const (
	customer = "ferncliff-willow"
	// convergenceTime covers the longest delay before a process reconnects to a
	// peer (15 s), two digests, and the declaration of a member from which no
	// watcher ever received a heartbeat.
	convergenceTime = 60 * clock.Second
)

// TestMain fixes the seed of rapid, which is random by default.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "20", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// differences returns the violations of the expected state: every balancer
// lists exactly the running processes as members, every sidecar knows exactly
// its running siblings, and all processes hold the highest revision.
func (n *network) differences() []string {
	var found []string
	note := func(p *process, format string, args ...any) {
		found = append(found, fmt.Sprintf("%s (%s): ", p.id, p.location.dataCentre)+fmt.Sprintf(format, args...))
	}
	var highest uint64
	for _, p := range n.processes {
		if p.running {
			highest = max(highest, p.revisions[customer])
		}
	}
	for _, p := range n.running(membership.RoleBalancer) {
		if !p.balancer.Ready() {
			note(p, "not ready")
		}
		for _, q := range n.processes {
			r, ok := p.balancer.Table().Get(q.id)
			if n.undetectable(q) {
				continue
			}
			if live := ok && !r.State().Ended(); live != q.running {
				note(p, "%s (%s) is %v at version %d, runs: %v", q.id, q.location.dataCentre, r.State(), r.Version(), q.running)
			}
		}
		for _, location := range n.locations {
			if p.balancer.Unreachable(location.dataCentre) && n.hasBalancer(location.dataCentre) {
				note(p, "%s is unreachable", location.dataCentre)
			}
		}
	}
	for _, p := range n.running(membership.RoleSidecar) {
		if want, got := n.siblings(p), n.known(p.sidecar.Siblings()); !slices.Equal(want, got) {
			note(p, "siblings are %v, want %v", got, want)
		}
		if !p.sidecar.Ready() {
			note(p, "not ready")
		}
	}
	for _, p := range n.processes {
		if p.running && p.revisions[customer] != highest {
			note(p, "revision is %d, want %d", p.revisions[customer], highest)
		}
	}
	return found
}

func (n *network) hasBalancer(dataCentre string) bool {
	return slices.ContainsFunc(n.running(membership.RoleBalancer), func(p *process) bool { return p.location.dataCentre == dataCentre })
}

func (n *network) siblings(p *process) []identity.OwnerID {
	var siblings []identity.OwnerID
	for _, q := range n.running(membership.RoleSidecar) {
		if q != p && q.location.service == p.location.service {
			siblings = append(siblings, q.id)
		}
	}
	slices.Sort(siblings)
	return siblings
}

// undetectable reports whether the end of a process cannot be detected. If all
// balancers of a data centre ended, its records stay for an hour, because no
// remaining balancer may declare its members dead. The same applies to a data
// centre that never had a balancer while any other data centre is unreachable,
// because the member may run on the other side.
func (n *network) undetectable(p *process) bool {
	if p.running || p.location.dataCentre != "yale" {
		return !p.running && !n.hasBalancer(p.location.dataCentre)
	}
	return !n.hasBalancer("agassiz") || !n.hasBalancer("chilliwack") || !n.hasBalancer("hope")
}

// known returns the IDs of records, without those of undetectable processes.
func (n *network) known(records []membership.Record) []identity.OwnerID {
	var known []identity.OwnerID
	for _, r := range records {
		undetectable := func(p *process) bool { return p.id == r.ID() && n.undetectable(p) }
		if !slices.ContainsFunc(n.processes, undetectable) {
			known = append(known, r.ID())
		}
	}
	return known
}

// republish publishes the highest revision again if no running balancer holds
// it, as a reader of the platform would.
func (n *network) republish() {
	var highest, held uint64
	for _, p := range n.processes {
		if p.running {
			highest = max(highest, p.revisions[customer])
		}
		if p.running && p.balancer != nil {
			held = max(held, p.revisions[customer])
		}
	}
	if running := n.running(membership.RoleBalancer); highest > held {
		n.publish(running[0], highest)
	}
}

// heal ends all faults and lets the convergence time pass.
func (n *network) heal() {
	n.republish()
	n.faulty = false
	clear(n.partitioned)
	for _, p := range n.processes {
		p.resumesAt = min(p.resumesAt, n.now)
	}
	n.advance(convergenceTime)
}

func (n *network) publish(p *process, revision uint64) {
	c := membership.Contract{Customer: customer, Revision: revision, Document: fmt.Append(nil, revision)}
	n.apply(p, p.balancer.Publish(n.now, c))
}

func newRunningNetwork(t testing.TB, seed uint64) *network {
	n := newNetwork(seed, standardLocations())
	n.t = t
	for i := range n.locations {
		n.start(i)
	}
	return n
}

// TestFaults guards against processes that disagree permanently after any
// combination of crashes, restarts at the same address, pauses, partitions, and
// lost, duplicated or late messages.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newRunningNetwork(t, rapid.Uint64().Draw(rt, "seed"))
		var revision uint64
		location := rapid.IntRange(0, len(n.locations)-1)
		dataCentre := rapid.SampledFrom([]string{"agassiz", "chilliwack", "hope", "yale"})
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				n.advance(clock.Millis(rapid.IntRange(1, 20_000).Draw(rt, "ms")))
			},
			"stop": func(rt *rapid.T) {
				if p := n.at(location.Draw(rt, "place")); p != nil {
					n.crash(p)
				}
			},
			"start": func(rt *rapid.T) {
				at := location.Draw(rt, "place")
				if p := n.at(at); p != nil {
					n.crash(p)
				}
				n.start(at)
			},
			"leave": func(rt *rapid.T) {
				if p := n.at(location.Draw(rt, "place")); p != nil && p.resumesAt <= n.now {
					n.leave(p)
				}
			},
			"pause": func(rt *rapid.T) {
				if p := n.at(location.Draw(rt, "place")); p != nil {
					p.resumesAt = n.now + clock.Millis(rapid.IntRange(1, 15_000).Draw(rt, "ms"))
				}
			},
			"partition": func(rt *rapid.T) {
				name := dataCentre.Draw(rt, "data-centre")
				n.partitioned[name] = !n.partitioned[name]
			},
			"faulty": func(rt *rapid.T) { n.faulty = rapid.Bool().Draw(rt, "faulty") },
			"publish": func(rt *rapid.T) {
				revision++
				running := n.running(membership.RoleBalancer)
				if len(running) == 0 {
					return
				}
				p := running[rapid.IntRange(0, len(running)-1).Draw(rt, "balancer")]
				n.publish(p, revision-uint64(rapid.IntRange(0, int(min(revision, 2))).Draw(rt, "age")))
			},
		})
		if len(n.running(membership.RoleBalancer)) == 0 {
			n.start(0)
		}
		n.heal()
		if found := n.differences(); len(found) > 0 {
			rt.Fatalf("differences after the convergence time:\n%s", strings.Join(found, "\n"))
		}
	})
}

// TestPartitionDeclaresNoMemberDead guards against a data centre that declares
// the members of another one dead because a partition separates them.
func TestPartitionDeclaresNoMemberDead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newRunningNetwork(t, rapid.Uint64().Draw(rt, "seed"))
		n.advance(convergenceTime)
		dataCentres := rapid.SampledFrom([][]string{{"agassiz"}, {"chilliwack"}, {"hope"}, {"agassiz", "yale"}, {"hope", "chilliwack"}})
		for range rapid.IntRange(1, 3).Draw(rt, "partitions") {
			for _, name := range dataCentres.Draw(rt, "side") {
				n.partitioned[name] = true
			}
			n.advance(clock.Millis(rapid.IntRange(1, 120_000).Draw(rt, "ms")))
			n.heal()
		}
		if len(n.falselyDead) > 0 {
			rt.Fatalf("running processes were declared dead: %s", strings.Join(n.falselyDead, "\n"))
		}
		if found := n.differences(); len(found) > 0 {
			rt.Fatalf("differences after the convergence time:\n%s", strings.Join(found, "\n"))
		}
	})
}

// TestDeadMembersStayDead guards against records that reappear when tombstones
// expire, even from a data centre that was partitioned for longer than
// tombstones are kept.
func TestDeadMembersStayDead(t *testing.T) {
	c := qt.New(t)
	n := newRunningNetwork(t, 1)
	n.advance(convergenceTime)
	n.partitioned["chilliwack"] = true
	n.crash(n.at(0))
	n.crash(n.at(4))
	n.advance(membership.TombstoneLifetime + clock.Minute)
	n.heal()
	c.Assert(n.differences(), qt.HasLen, 0)
	n.advance(membership.TombstoneLifetime)
	c.Assert(n.differences(), qt.HasLen, 0)
	for _, p := range n.running(membership.RoleBalancer) {
		c.Assert(p.balancer.Table().Len(), qt.Equals, len(n.locations)-2)
	}
}

// TestRetiredDataCentreReturns guards against two faults: the records of a lost
// data centre stay or circulate forever, or the two sides of a long partition
// never find each other again.
func TestRetiredDataCentreReturns(t *testing.T) {
	c := qt.New(t)
	n := newRunningNetwork(t, 1)
	n.advance(convergenceTime)
	n.partitioned["chilliwack"] = true
	n.advance(membership.RetirementTimeout + clock.Minute)
	for _, p := range n.running(membership.RoleBalancer) {
		for _, q := range n.processes {
			_, known := p.balancer.Table().Get(q.id)
			// yale has no balancers and thus no heartbeat counter, so it is
			// never retired.
			if q.location.dataCentre != "yale" {
				c.Assert(known, qt.Equals, !n.partitionedFrom(p, q), qt.Commentf("%s in %s at %s", q.id, q.location.dataCentre, p.location.dataCentre))
			}
		}
	}
	n.heal()
	// Readers request seeds every minute.
	n.advance(clock.Minute)
	c.Assert(n.differences(), qt.HasLen, 0)
}

// TestSeedAlias guards against repeated new streams to a seed whose address
// differs from the one that its balancer announces.
func TestSeedAlias(t *testing.T) {
	c := qt.New(t)
	alias, control := netip.MustParseAddrPort("10.0.0.9:1"), netip.MustParseAddrPort("10.0.0.2:1")
	self := membership.RecordConfig{ID: 1, Version: 1, Role: membership.RoleBalancer, State: membership.StateServing, DataCentre: "hope", Control: netip.MustParseAddrPort("10.0.0.1:1")}
	other := self
	other.ID, other.Control = 2, control
	b := membership.NewBalancer(0, membership.NewRecord(self))
	opened := b.SetSeeds(0, []netip.AddrPort{alias}).OpenSync
	c.Assert(opened, qt.HasLen, 1)
	b.Receive(1, opened[0].Stream, &controlpb.SyncMessage{Self: membership.NewRecord(other).Member()})
	c.Assert(b.Tick(100).OpenSync, qt.HasLen, 0)
	// The other side opened a stream too. The balancer with the lower ID keeps
	// its own.
	incoming := b.NextStream()
	b.SyncAccepted(100, incoming)
	b.Receive(101, incoming, &controlpb.SyncMessage{Self: membership.NewRecord(other).Member()})
	actions := b.Tick(200)
	c.Assert(actions.OpenSync, qt.HasLen, 0)
}

// TestNewWatcherAtOldAddress guards against a balancer that starts at the
// address of an ended one and declares live members dead, because these members
// are still in backoff for that address.
func TestNewWatcherAtOldAddress(t *testing.T) {
	for wait := 9 * clock.Second; wait <= 20*clock.Second; wait += 500 {
		c := qt.New(t)
		n := newRunningNetwork(t, uint64(wait))
		n.advance(10 * clock.Second)
		// With one balancer left, members fail to connect to the addresses of
		// the others.
		for _, i := range []int{0, 1, 2, 7, 10} {
			n.leave(n.at(i))
		}
		n.advance(wait)
		n.start(1)
		n.advance(20 * clock.Second)
		c.Check(n.falselyDead, qt.HasLen, 0, qt.Commentf("started after %d ms", wait))
	}
}
