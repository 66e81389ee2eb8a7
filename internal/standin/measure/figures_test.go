package measure

import (
	"slices"
)

// Goals of the design. They are not adapted to the figures.
const (
	goalBroken     = 0
	goalPeakToMean = 1.10
	goalKept       = 0.99
	goalLate       = 0
)

// figure is one result.
type figure struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Measure    string `json:"measure"`
	// Goal is empty for a figure without one. Baselines are compared with the goal,
	// but do not count.
	Goal   string  `json:"goal"`
	Figure float64 `json:"figure"`
	Missed bool    `json:"missed"`
}

// figures returns the results of a run. The twin is the run of the same work and
// policy without the overload.
func figures(s scenario, w, twin *world) []figure {
	var all []figure
	add := func(measure, goal string, value float64, missed bool) {
		all = append(all, figure{
			Scenario: s.name, Deployment: w.deployment.name, Policy: w.policy.name,
			Measure: measure, Goal: goal, Figure: value, Missed: goal != "" && missed,
		})
	}
	goal := func(applies bool, text string) string {
		if applies {
			return text
		}
		return ""
	}
	add("broken-flows", goal(s.planned, "= 0"), float64(w.brokenFlows), w.brokenFlows > goalBroken)
	if s.overloaded < 0 {
		peak := w.peakToMean(1)
		add("peak-to-mean-1s", goal(s.smooth, "<= 1.10"), peak, peak > goalPeakToMean)
		add("peak-to-mean-10s", "", w.peakToMean(10), false)
	}
	add("wait-p50-ms", "", w.wait(0.50), false)
	add("wait-p99-ms", "", w.wait(0.99), false)
	if s.name == "rolling-replacement" {
		late := w.late()
		add("late-new-work", "= 0", float64(late), late > goalLate)
	}
	if s.overloaded < 0 {
		add("completed", "", w.completed(), false)
		return all
	}
	for kind, k := range w.deployment.kinds {
		if kind != s.overloaded {
			kept := w.kept(kind, twin)
			add("kept-"+k.kind.Name, ">= 0.99", kept, kept < goalKept)
		}
	}
	return all
}

// peakToMean is the mean over time of the highest utilisation of an upstream
// divided by the mean utilisation of all upstreams. Utilisation is the slot time in
// use during consecutive windows of the given number of seconds, divided by the
// slot time of the window. In a single instant an upstream with 3 slots can only
// use 0, 1, 2 or 3 of them, and at 80% load even a perfect scheduler would be at
// 1.25 in almost every instant. An upstream counts in a window if it was present,
// and did not leave, for the whole window.
func (w *world) peakToMean(seconds micros) float64 {
	total, count := 0.0, 0
	for from := w.measureFrom; from+seconds*usageWindow <= w.measureUntil; from += seconds * usageWindow {
		highest, sum, present := 0.0, 0.0, 0
		for _, s := range w.sidecars {
			if s.started > from || s.leaving && s.left < from+seconds*usageWindow {
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

// wait returns a quantile of the time from the arrival of a request at the first
// sidecar until the upstream starts it, in milliseconds.
func (w *world) wait(quantile float64) float64 {
	if len(w.waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(w.waits))
	return float64(sorted[int(quantile*float64(len(sorted)-1))]) / float64(millisecond)
}

func (w *world) late() int {
	late := 0
	for _, s := range w.sidecars {
		late += s.late
	}
	return late
}

// completed is the fraction of the requests that were completed.
func (w *world) completed() float64 {
	done, all := 0, 0
	for _, r := range w.requests {
		if r.sent < w.measureFrom || r.sent >= w.measureUntil {
			continue
		}
		all++
		if r.done {
			done++
		}
	}
	return float64(done) / float64(max(all, 1))
}

// kept is the slot time that a kind got for the requests of the time of the
// overload, relative to what the same requests got without the overload, or to the
// guarantee of the kind if that is less.
func (w *world) kept(kind int, twin *world) float64 {
	guarantee := w.deployment.kinds[kind].kind.GuaranteedShare *
		float64(w.deployment.upstreams*slotsPerUpstream) * float64(overloadUntil-overloadFrom)
	return min(w.got(kind)/min(twin.got(kind), guarantee), 1)
}

func (w *world) got(kind int) float64 {
	got := 0.0
	for _, r := range w.requests {
		if r.done && !r.surplus && r.kind == kind && r.sent >= overloadFrom && r.sent < overloadUntil {
			got += float64(r.service)
		}
	}
	return got
}
