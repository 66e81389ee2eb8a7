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
	// quietTime covers the longest delay before a peer is tried again (15 s),
	// two digests and the declaration of a member that no watcher ever heard.
	quietTime = 60 * clock.Second
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

// differences returns what contradicts the oracle: every running process, and
// nothing else, is a member everywhere, and all hold the highest revision.
func (n *network) differences() []string {
	var found []string
	note := func(p *process, format string, args ...any) {
		found = append(found, fmt.Sprintf("%s (%s): ", p.id, p.place.dataCentre)+fmt.Sprintf(format, args...))
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
			if n.lost(q) {
				continue
			}
			if live := ok && !r.State().Ended(); live != q.running {
				note(p, "%s (%s) is %v at version %d, runs: %v", q.id, q.place.dataCentre, r.State(), r.Version(), q.running)
			}
		}
		for _, place := range n.places {
			if p.balancer.Unreachable(place.dataCentre) && n.hasBalancer(place.dataCentre) {
				note(p, "%s is unreachable", place.dataCentre)
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
	return slices.ContainsFunc(n.running(membership.RoleBalancer), func(p *process) bool { return p.place.dataCentre == dataCentre })
}

func (n *network) siblings(p *process) []identity.OwnerID {
	var siblings []identity.OwnerID
	for _, q := range n.running(membership.RoleSidecar) {
		if q != p && q.place.service == p.place.service {
			siblings = append(siblings, q.id)
		}
	}
	slices.Sort(siblings)
	return siblings
}

// lost reports whether a process ended in a data centre whose balancers all
// ended. Its record stays for an hour, because nobody there declares it dead.
// The same holds in a data centre that never had a balancer as long as any
// other is unreachable, because the member may run on the other side.
func (n *network) lost(p *process) bool {
	if p.running || p.place.dataCentre != "yale" {
		return !p.running && !n.hasBalancer(p.place.dataCentre)
	}
	return !n.hasBalancer("agassiz") || !n.hasBalancer("chilliwack") || !n.hasBalancer("hope")
}

func (n *network) known(records []membership.Record) []identity.OwnerID {
	var known []identity.OwnerID
	for _, r := range records {
		lost := func(p *process) bool { return p.id == r.ID() && n.lost(p) }
		if !slices.ContainsFunc(n.processes, lost) {
			known = append(known, r.ID())
		}
	}
	return known
}

// republish does what a reader of the platform does if every balancer that held
// the highest revision ended.
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

// heal ends all faults and lets the quiet time pass.
func (n *network) heal() {
	n.republish()
	n.faulty = false
	clear(n.partitioned)
	for _, p := range n.processes {
		p.resumes = min(p.resumes, n.now)
	}
	n.advance(quietTime)
}

func (n *network) publish(p *process, revision uint64) {
	c := membership.Contract{Customer: customer, Revision: revision, Document: fmt.Append(nil, revision)}
	n.apply(p, p.balancer.Publish(n.now, c))
}

func newRunningNetwork(t testing.TB, seed uint64) *network {
	n := newNetwork(seed, standardPlaces())
	n.t = t
	for i := range n.places {
		n.start(i)
	}
	return n
}

// TestFaults guards against disagreement that remains after any mixture of
// crashes, restarts under the same address, pauses, partitions and lost,
// duplicated or late messages.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newRunningNetwork(t, rapid.Uint64().Draw(rt, "seed"))
		var revision uint64
		place := rapid.IntRange(0, len(n.places)-1)
		dataCentre := rapid.SampledFrom([]string{"agassiz", "chilliwack", "hope", "yale"})
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				n.advance(clock.Millis(rapid.IntRange(1, 20_000).Draw(rt, "ms")))
			},
			"stop": func(rt *rapid.T) {
				if p := n.at(place.Draw(rt, "place")); p != nil {
					n.crash(p)
				}
			},
			"start": func(rt *rapid.T) {
				at := place.Draw(rt, "place")
				if p := n.at(at); p != nil {
					n.crash(p)
				}
				n.start(at)
			},
			"leave": func(rt *rapid.T) {
				if p := n.at(place.Draw(rt, "place")); p != nil && p.resumes <= n.now {
					n.leave(p)
				}
			},
			"pause": func(rt *rapid.T) {
				if p := n.at(place.Draw(rt, "place")); p != nil {
					p.resumes = n.now + clock.Millis(rapid.IntRange(1, 15_000).Draw(rt, "ms"))
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
			rt.Fatalf("after quiet time:\n%s", strings.Join(found, "\n"))
		}
	})
}

// TestPartitionKillsNobody guards against a data centre that declares the
// members of another one dead because it cannot hear them.
func TestPartitionKillsNobody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := newRunningNetwork(t, rapid.Uint64().Draw(rt, "seed"))
		n.advance(quietTime)
		dataCentres := rapid.SampledFrom([][]string{{"agassiz"}, {"chilliwack"}, {"hope"}, {"agassiz", "yale"}, {"hope", "chilliwack"}})
		for range rapid.IntRange(1, 3).Draw(rt, "partitions") {
			for _, name := range dataCentres.Draw(rt, "side") {
				n.partitioned[name] = true
			}
			n.advance(clock.Millis(rapid.IntRange(1, 120_000).Draw(rt, "ms")))
			n.heal()
		}
		if len(n.killed) > 0 {
			rt.Fatalf("declared dead: %s", strings.Join(n.killed, "\n"))
		}
		if found := n.differences(); len(found) > 0 {
			rt.Fatalf("after quiet time:\n%s", strings.Join(found, "\n"))
		}
	})
}

// TestDeadStayDead guards against records that come back when tombstones expire,
// also from a side that was partitioned for longer than tombstones are kept.
func TestDeadStayDead(t *testing.T) {
	c := qt.New(t)
	n := newRunningNetwork(t, 1)
	n.advance(quietTime)
	n.partitioned["chilliwack"] = true
	n.crash(n.at(0))
	n.crash(n.at(4))
	n.advance(membership.TombstoneLifetime + clock.Minute)
	n.heal()
	c.Assert(n.differences(), qt.HasLen, 0)
	n.advance(membership.TombstoneLifetime)
	c.Assert(n.differences(), qt.HasLen, 0)
	for _, p := range n.running(membership.RoleBalancer) {
		c.Assert(p.balancer.Table().Len(), qt.Equals, len(n.places)-2)
	}
}

// TestRetiredDataCentreReturns guards against records of a lost data centre that
// stay or circulate forever, and against two sides of a long partition that
// have forgotten each other.
func TestRetiredDataCentreReturns(t *testing.T) {
	c := qt.New(t)
	n := newRunningNetwork(t, 1)
	n.advance(quietTime)
	n.partitioned["chilliwack"] = true
	n.advance(membership.RetirementTimeout + clock.Minute)
	for _, p := range n.running(membership.RoleBalancer) {
		for _, q := range n.processes {
			_, known := p.balancer.Table().Get(q.id)
			// No balancer decides about yale, so its record stays.
			if q.place.dataCentre != "yale" {
				c.Assert(known, qt.Equals, !n.cut(p, q), qt.Commentf("%s in %s at %s", q.id, q.place.dataCentre, p.place.dataCentre))
			}
		}
	}
	n.heal()
	// Readers ask for seeds every minute.
	n.advance(clock.Minute)
	c.Assert(n.differences(), qt.HasLen, 0)
}

// TestSeedAlias guards against a seed whose address differs from the one that
// the balancer announces, to which a stream was opened again and again.
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
	// The other side opened a stream too, and the balancer with the lower ID
	// keeps its own.
	incoming := b.NextStream()
	b.SyncAccepted(100, incoming)
	b.Receive(101, incoming, &controlpb.SyncMessage{Self: membership.NewRecord(other).Member()})
	actions := b.Tick(200)
	c.Assert(actions.OpenSync, qt.HasLen, 0)
}

// TestNewWatcherAtOldAddress guards against a balancer that starts where another
// one ended and declares live members dead, because they still wait before they
// try this address again.
func TestNewWatcherAtOldAddress(t *testing.T) {
	for wait := 9 * clock.Second; wait <= 20*clock.Second; wait += 500 {
		c := qt.New(t)
		n := newRunningNetwork(t, uint64(wait))
		n.advance(10 * clock.Second)
		// With one balancer left, members try the addresses of the others in vain.
		for _, i := range []int{0, 1, 2, 7, 10} {
			n.leave(n.at(i))
		}
		n.advance(wait)
		n.start(1)
		n.advance(20 * clock.Second)
		c.Check(n.killed, qt.HasLen, 0, qt.Commentf("started after %d ms", wait))
	}
}
