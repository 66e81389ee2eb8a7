package measure

import (
	"slices"
)

// The goals come from the design. They are not adjusted to the measured figures.
const (
	goalBrokenFlows = 0
	goalPeakToMean  = 1.10
	goalKeptShare   = 0.99
	goalLateWork    = 0
)

// figure is one result of the measurement.
type figure struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Measure    string `json:"measure"`
	// Goal is empty for a figure without a goal. Baselines are compared with the goal
	// too, but are not counted as goals or misses of the product.
	Goal   string  `json:"goal"`
	Value  float64 `json:"figure"`
	Missed bool    `json:"missed"`
}

// figures returns the results of a run. steady is the run of the steady scenario with
// the same deployment and policy.
func figures(s scenario, sim, steady *simulation) []figure {
	var all []figure
	add := func(measure, goal string, value float64, missed bool) {
		all = append(all, figure{
			Scenario: s.name, Deployment: sim.deployment.name, Policy: sim.policy.name,
			Measure: measure, Goal: goal, Value: value, Missed: goal != "" && missed,
		})
	}
	goal := func(applies bool, text string) string {
		if applies {
			return text
		}
		return ""
	}
	add("broken-flows", goal(s.hasBrokenFlowsGoal, "= 0"), float64(sim.brokenFlows), sim.brokenFlows > goalBrokenFlows)
	if s.overloaded < 0 {
		peak := sim.peakToMean(1)
		add("peak-to-mean-1s", goal(s.hasPeakToMeanGoal, "<= 1.10"), peak, peak > goalPeakToMean)
		add("peak-to-mean-10s", "", sim.peakToMean(10), false)
	}
	add("wait-p50-ms", "", sim.waitQuantile(0.50), false)
	add("wait-p99-ms", "", sim.waitQuantile(0.99), false)
	if s.name == "rolling-replacement" {
		late := sim.lateWork()
		add("late-new-work", "= 0", float64(late), late > goalLateWork)
	}
	if s.overloaded < 0 {
		add("completed", "", sim.completedShare(), false)
		return all
	}
	for kindIndex, w := range sim.deployment.workloads {
		if kindIndex != s.overloaded {
			kept := sim.keptShare(kindIndex, steady)
			add("kept-"+w.kind.Name, ">= 0.99", kept, kept < goalKeptShare)
		}
	}
	return all
}

// peakToMean returns the highest utilisation of an upstream divided by the mean
// utilisation of all upstreams, averaged over consecutive windows of the given number
// of seconds. Utilisation is the slot time in use during a window divided by the
// available slot time of the window. At a single instant an upstream with 3 slots can
// only use 0, 1, 2 or 3 of them, so at 80% load even a perfect scheduler would be at
// 1.25 in almost every instant. Utilisation therefore covers a whole window. An upstream
// counts in a window if it was present, and not leaving, for the whole window.
func (sim *simulation) peakToMean(seconds micros) float64 {
	total, count := 0.0, 0
	for from := sim.measureFrom; from+seconds*usageWindow <= sim.measureUntil; from += seconds * usageWindow {
		highest, sum, present := 0.0, 0.0, 0
		for _, s := range sim.sidecars {
			if s.startedAt > from || s.leaving && s.leavingSince < from+seconds*usageWindow {
				continue
			}
			used := 0.0
			for i := range seconds {
				used += float64(s.usage[from/usageWindow+i])
			}
			highest, sum, present = max(highest, used), sum+used, present+1
		}
		if sum > 0 {
			total += highest / (sum / float64(present))
			count++
		}
	}
	return total / float64(max(count, 1))
}

// waitQuantile returns a quantile of the recorded waits in milliseconds. A request waits
// from its arrival at the first sidecar until an upstream starts it.
func (sim *simulation) waitQuantile(quantile float64) float64 {
	if len(sim.waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(sim.waits))
	return float64(sorted[int(quantile*float64(len(sorted)-1))]) / float64(millisecond)
}

// lateWork returns the number of requests that upstreams started more than newWorkLimit
// after they began to leave.
func (sim *simulation) lateWork() int {
	late := 0
	for _, s := range sim.sidecars {
		late += s.lateWork
	}
	return late
}

// completedShare returns the completed requests as a fraction of the requests that were
// sent in the measured interval.
func (sim *simulation) completedShare() float64 {
	done, all := 0, 0
	for _, r := range sim.requests {
		if r.sent < sim.measureFrom || r.sent >= sim.measureUntil {
			continue
		}
		all++
		if r.done {
			done++
		}
	}
	return float64(done) / float64(max(all, 1))
}

// keptShare returns the slot time of the completed requests of a kind that were sent
// during the overload, divided by the slot time of the same requests in the steady run,
// or by the guarantee if that is less. The guarantee is the slot time that the
// guaranteed share of the kind amounts to. The result is at most 1.
func (sim *simulation) keptShare(kindIndex int, steady *simulation) float64 {
	guarantee := sim.deployment.workloads[kindIndex].kind.GuaranteedShare *
		float64(sim.deployment.upstreams*slotsPerUpstream) * float64(overloadUntil-disturbFrom)
	return min(sim.completedSlotTime(kindIndex)/min(steady.completedSlotTime(kindIndex), guarantee), 1)
}

// completedSlotTime returns the slot time of the completed requests of a kind that were
// sent during the overload, without the surplus work.
func (sim *simulation) completedSlotTime(kindIndex int) float64 {
	total := 0.0
	for _, r := range sim.requests {
		if r.done && !r.surplus && r.kindIndex == kindIndex && r.sent >= disturbFrom && r.sent < overloadUntil {
			total += float64(r.warmServiceTime)
		}
	}
	return total
}
