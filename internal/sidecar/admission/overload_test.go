package admission_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the golden files")

// init fixes the seed of the stateful tests. Command-line flags override it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

const (
	overloadSlots    = 3
	overloadFactor   = 20
	overloadDuration = 5 * clock.Minute
)

// typicalLoads returns an everyday load that uses 60% of the slots.
func typicalLoads() []load {
	kind := func(name string, urgency int, share, ceiling float64) admission.Kind {
		return admission.Kind{Name: name, Urgency: urgency, GuaranteedShare: share, Ceiling: ceiling}
	}
	return []load{
		{kind: kind("hold", 3, 0.4, 1), period: 100, serviceTime: 80, deadline: 2000},
		{kind: kind("list", 2, 0.2, 1), period: 120, serviceTime: 50, deadline: 2000},
		{kind: kind("photo", 1, 0.1, 0.67), period: 700, serviceTime: 400, deadline: 5000},
	}
}

// TestOverload guards against an overload of one kind that reduces the throughput
// of the others. It compares the results of all kinds with a golden table. It also
// compares the slot time of the kinds that are not overloaded with a lower bound,
// which does not depend on the table.
func TestOverload(t *testing.T) {
	c := qt.New(t)
	baseline := simulate(overloadSlots, typicalLoads(), overloadDuration)
	table := &strings.Builder{}
	fmt.Fprintf(table, "%-9s %-6s %8s %10s %8s %6s %10s\n", "overload", "kind", "offered", "completed", "refused", "late", "slots-used")
	for overloaded := -1; overloaded < len(typicalLoads()); overloaded++ {
		loads, name := typicalLoads(), "none"
		if overloaded >= 0 {
			loads[overloaded].period /= overloadFactor
			name = loads[overloaded].kind.Name
		}
		for i, got := range simulate(overloadSlots, loads, overloadDuration) {
			used := float64(got.slotTime) / float64(overloadDuration)
			fmt.Fprintf(table, "%-9s %-6s %8d %10d %8d %6d %10.2f\n",
				name, loads[i].kind.Name, got.offered, got.completed, got.refused, got.pastDeadline, used)
			if i == overloaded || overloaded < 0 {
				continue
			}
			comment := qt.Commentf("overload of %s, requests of %s", name, loads[i].kind.Name)
			if overloaded == len(loads)-1 {
				c.Check(got.refused, qt.Equals, 0, comment)
			}
			// The offered load of a kind, up to its guaranteed share, is completed.
			// Each slot may have one request in progress at the end.
			share := loads[i].kind.GuaranteedShare * overloadSlots * float64(overloadDuration)
			minimum := min(share, float64(baseline[i].slotTime)) - overloadSlots*float64(loads[i].serviceTime)
			c.Check(float64(got.slotTime) >= minimum, qt.IsTrue, comment)
		}
	}
	const golden = "testdata/overload.txt"
	if *update {
		c.Assert(os.WriteFile(golden, []byte(table.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	c.Assert(err, qt.IsNil)
	c.Assert(table.String(), qt.Equals, string(want))
}

// TestGuarantee guards against a kind with constant demand that gets less than its
// guaranteed share, also if that share is a fraction of a slot.
func TestGuarantee(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const duration = 10 * clock.Second
		var loads []load
		rest, longest := 1.0, clock.Millis(0)
		for i := range rapid.IntRange(2, 4).Draw(t, "kinds") {
			share := rapid.Float64Range(0, rest).Draw(t, "share")
			rest -= share
			serviceTime := clock.Millis(rapid.IntRange(5, 500).Draw(t, "service"))
			longest = max(longest, serviceTime)
			urgency := rapid.IntRange(0, 3).Draw(t, "urgency")
			loads = append(loads, load{
				kind:   admission.Kind{Name: fmt.Sprint(i), Urgency: urgency, GuaranteedShare: share, Ceiling: 1},
				period: max(serviceTime/4, 1), serviceTime: serviceTime, deadline: 40 * serviceTime,
			})
		}
		for i, got := range simulate(overloadSlots, loads, duration) {
			k := loads[i].kind
			demand := float64(loads[i].serviceTime) / float64(loads[i].period)
			want := min(k.GuaranteedShare*overloadSlots, demand) * float64(duration)
			// Running requests are not preempted, so a kind can lag by the longest
			// request of each slot.
			slack := float64((longest + loads[i].serviceTime) * overloadSlots)
			if float64(got.slotTime) < want-slack {
				t.Fatalf("%+v got %d of %.0f ms of slot time: %+v", loads[i], got.slotTime, want, got)
			}
		}
	})
}

// TestUnevenArrivals guards against a kind that loses part of its guaranteed share
// whenever its queue is empty for a moment. Its requests arrive in groups while a
// more urgent kind uses every slot that it can get.
func TestUnevenArrivals(t *testing.T) {
	c := qt.New(t)
	const (
		group    = 5
		interval = 2500 * clock.Millis(1)
		duration = 100 * interval
	)
	hold := load{
		kind:   admission.Kind{Name: "hold", Urgency: 3, GuaranteedShare: 0.4, Ceiling: 1},
		period: 5, serviceTime: 80, deadline: 2000,
	}
	// A group needs the whole share of an interval: 5 * 300 ms = 0.2 * 3 * 2,500 ms.
	photos := make([]load, group)
	for i := range photos {
		photos[i] = load{
			kind:   admission.Kind{Name: "photo", Urgency: 1, GuaranteedShare: 0.2, Ceiling: 0.67},
			period: interval, serviceTime: 300, deadline: 2000,
		}
	}
	config := admission.Config{Slots: overloadSlots, Kinds: []admission.Kind{hold.kind, photos[0].kind}}
	tallies := simulateWith(config, append(photos, hold), duration)
	done, offered := 0, 0
	for _, got := range tallies[:group] {
		done += got.completed
		offered += got.offered
	}
	c.Assert(float64(done) >= 0.99*float64(offered), qt.IsTrue, qt.Commentf("%d of %d", done, offered))
}
