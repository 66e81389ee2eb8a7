// Package measure compares the policy of the product with simple baselines in a
// simulation in virtual time. It contains test code only. An event queue and latencies
// replace the network. In the simulation of the product's own policy, the packages of
// the product make every routing and admission decision.
package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	enableVariable = "ORIOLEDYKE_MEASURE"
	seedVariable   = "SEED"
	outputVariable = "ORIOLEDYKE_MEASURE_OUTPUT"
	// maxConcurrentTasks is the maximum number of concurrent tasks in measureAll. It
	// limits the memory of the measurement.
	maxConcurrentTasks = 4
)

// TestMeasure prints the figures of all scenarios, deployments and policies. It is a
// measurement, so a missed goal does not fail it. It does nothing unless
// ORIOLEDYKE_MEASURE is set, as make measure does.
func TestMeasure(t *testing.T) {
	if os.Getenv(enableVariable) == "" {
		return
	}
	c := qt.New(t)
	seed := uint64(1)
	if text := os.Getenv(seedVariable); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		c.Assert(err, qt.IsNil, qt.Commentf("%s must be a number", seedVariable))
	}
	all := measureAll(seed)
	fmt.Print(formatTable(seed, all))
	if path := os.Getenv(outputVariable); path != "" {
		c.Assert(writeJSON(path, seed, all), qt.IsNil)
	}
	goals, missed := countGoals(all)
	fmt.Printf("measure: goals=%d missed=%d\n", goals, missed)
}

// measureAll measures every combination of a deployment and a policy. Each combination is
// a task, and tasks run concurrently. The result does not depend on the order in which
// the tasks end.
func measureAll(seed uint64) []figure {
	var tasks []func() []figure
	for _, d := range deployments() {
		for _, p := range policies() {
			tasks = append(tasks, func() []figure { return measureOne(seed, d, p) })
		}
	}
	results := make([][]figure, len(tasks))
	tokens := make(chan struct{}, maxConcurrentTasks)
	var running sync.WaitGroup
	for i, task := range tasks {
		running.Go(func() {
			tokens <- struct{}{}
			results[i] = task()
			<-tokens
		})
	}
	running.Wait()
	var all []figure
	for _, s := range scenarios() {
		for _, result := range results {
			for _, f := range result {
				if f.Scenario == s.name {
					all = append(all, f)
				}
			}
		}
	}
	return all
}

// measureOne runs all scenarios of one deployment and policy. The first scenario is
// the steady one, with which the overload scenarios are compared.
func measureOne(seed uint64, d deployment, p policy) []figure {
	var all []figure
	var steady *simulation
	for _, s := range scenarios() {
		sim := runScenario(seed, flowsPerUpstream, d, p, s)
		if steady == nil {
			steady = sim
		}
		all = append(all, figures(s, sim, steady)...)
	}
	return all
}

// countGoals returns the number of goals of the product's own policy and how many of
// them were missed.
func countGoals(all []figure) (goals, missed int) {
	for _, f := range all {
		if f.Policy != policies()[0].name || f.Goal == "" {
			continue
		}
		goals++
		if f.Missed {
			missed++
		}
	}
	return goals, missed
}

func formatTable(seed uint64, all []figure) string {
	text := &strings.Builder{}
	fmt.Fprintf(text, "seed %d\n", seed)
	const row = "%-21s %-28s %-15s %-17s %-8s %12s %s\n"
	fmt.Fprintf(text, row, "scenario", "deployment", "policy", "measure", "goal", "figure", "")
	for _, f := range all {
		verdict := ""
		if f.Missed {
			verdict = "missed"
		}
		line := fmt.Sprintf(row, f.Scenario, f.Deployment, f.Policy, f.Measure, f.Goal, formatFigure(f.Value), verdict)
		text.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	return text.String()
}

// formatFigure formats a value with four decimals.
func formatFigure(value float64) string {
	return strconv.FormatFloat(value, 'f', 4, 64)
}

func writeJSON(path string, seed uint64, all []figure) error {
	goals, missed := countGoals(all)
	data, err := json.MarshalIndent(struct {
		Seed    uint64   `json:"seed"`
		Goals   int      `json:"goals"`
		Missed  int      `json:"missed"`
		Figures []figure `json:"figures"`
	}{seed, goals, missed, all}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
