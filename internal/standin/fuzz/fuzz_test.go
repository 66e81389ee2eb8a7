// Package fuzz_test runs the state machines of balancers and sidecars together on a
// virtual clock with random faults. It checks their externally visible behaviour
// against the invariants of docs/design.md ("the design" in the comments of this
// package).
package fuzz_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

const (
	// stepsPerCase is an average, because rapid chooses the number of steps.
	stepsPerCase  = 100
	casesPerBatch = 10
	// seedStep is the difference between the seeds of two consecutive batches. It
	// exceeds casesPerBatch, because rapid uses one seed for each case.
	seedStep = 1000
)

var (
	seedFlag    = flag.Uint64("fuzz.seed", 20261204, "seed of the first batch")
	stepsFlag   = flag.Int("fuzz.steps", 1500, "minimum number of steps")
	summaryFlag = flag.String("fuzz.summary", "", "summary to print at the end: fuzz or mutants")

	total         counts
	mutantResults []mutantResult
)

// counts are totals over all cases of TestFuzz. A batch failed if one of its cases
// violated an invariant.
type counts struct {
	steps, failedBatches, cases                               int
	packets, checkedPackets, responses, runs, notRun, commits int
}

// TestMain sets the flags of rapid that the command line leaves at their defaults,
// and prints the summary after the test result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.steps": fmt.Sprint(stepsPerCase), "rapid.checks": fmt.Sprint(casesPerBatch), "rapid.nofailfile": "true",
	} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	code := m.Run()
	switch *summaryFlag {
	case "fuzz":
		fmt.Printf("cases=%d packets=%d checked-packets=%d answers=%d runs=%d not-run=%d contracts=%d\n",
			total.cases, total.packets, total.checkedPackets, total.responses, total.runs, total.notRun, total.commits)
		fmt.Printf("fuzz: steps=%d failures=%d\n", total.steps, total.failedBatches)
	case "mutants":
		printMutants()
	}
	os.Exit(code)
}

// TestFuzz guards against violations of the invariants when planned changes and faults
// overlap in random order.
func TestFuzz(t *testing.T) {
	for seed := *seedFlag; total.steps < *stepsFlag; seed += seedStep {
		_ = flag.Set("rapid.seed", fmt.Sprint(seed))
		ok := t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				found := runCase(t, realDecisions())
				total.add(found)
				if found.violation != "" {
					t.Fatalf("%s", found.violation)
				}
			})
		})
		if !ok {
			total.failedBatches++
		}
	}
}

func (c *counts) add(found outcome) {
	o := found.oracle
	c.cases++
	c.steps += found.steps
	c.packets += o.packets
	c.checkedPackets += o.checkedPackets
	c.responses += o.responses
	c.runs += o.runCount
	c.notRun += o.notRunCount
	c.commits += o.commits
}
