package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/cli/commands"
	"github.com/orioledyke/orioledyke/internal/common/clock"
)

var (
	seed          = flag.Uint64("soak.seed", 20261204, "first seed of TestSoak")
	seeds         = flag.Int("soak.seeds", 1, "number of seeds of TestSoak")
	rounds        = flag.Int("soak.rounds", 4, "number of faults in a run")
	logFolder     = flag.String("soak.logs", "", "folder that keeps settings and logs; if empty, they are removed after the run")
	checkRecovery = flag.Bool("soak.recover", false,
		"check that requests are served after the last fault, and that configurations are in effect in time")
)

// runTimeout is the time after which a run that hangs is ended.
const runTimeout = 5 * time.Minute

// TestMain runs the command line of the product instead of tests if the process was started
// by a soak.
func TestMain(m *testing.M) {
	if os.Getenv(processVariable) != "" {
		os.Exit(commands.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// openFlows opens 20 flows a second to random services for some seconds.
func (s *System) openFlows(seconds int) {
	for range seconds * 20 {
		s.cluster.OpenRandomFlow(s.config.Services)
		s.Run(clock.Second / 20)
	}
}

// TestSoak guards against real processes that break a rule under faults from outside: a
// flow that opens at another service or long after a drain, a reset of an open flow, a
// response to another request, a second execution of a request that must not be repeated,
// a configuration that reverts or reaches some balancers late, a host whose entry is missing
// in the directory 16 s after the last fault, and a process that ends unexpectedly or does
// not end after SIGTERM.
func TestSoak(t *testing.T) {
	for n := *seed; n < *seed+uint64(*seeds); n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) { runSoak(t, n) })
	}
}

func runSoak(t *testing.T, seed uint64) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	runFolder := *logFolder
	if runFolder == "" {
		runFolder = c.TempDir()
	} else {
		runFolder = fmt.Sprintf("%s/%d", runFolder, seed)
		c.Assert(os.MkdirAll(runFolder, 0o700), qt.IsNil)
	}
	program, err := os.Executable()
	c.Assert(err, qt.IsNil)
	s, err := New(ctx, Config{
		Seed: seed, Balancers: 4, Upstreams: 3, Services: 2, Program: []string{program}, Folder: runFolder,
		CheckVersions: *checkRecovery,
	})
	c.Assert(err, qt.IsNil)
	s.Run(3 * clock.Second)
	for range *rounds {
		t.Logf("%d ms: %s", s.now(), s.InjectFault())
		s.openFlows(1)
	}
	s.ClearFaults()
	s.Run(8 * clock.Second)
	served, unserved := s.cluster.Served(), s.cluster.Unserved()
	s.openFlows(3)
	s.Run(5 * clock.Second)
	s.checkDirectory()
	s.Stop()
	t.Logf("served %d, unserved %d; after the last fault served %d, unserved %d", served, unserved,
		s.cluster.Served()-served, s.cluster.Unserved()-unserved)
	c.Assert(s.Failures(), qt.HasLen, 0)
	if *checkRecovery {
		c.Assert(s.cluster.Unserved()-unserved <= 2, qt.IsTrue)
	}
}
