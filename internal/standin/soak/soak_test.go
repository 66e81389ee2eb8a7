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
	seed   = flag.Uint64("soak.seed", 20261204, "first seed of TestSoak")
	seeds  = flag.Int("soak.seeds", 1, "seeds of TestSoak")
	rounds = flag.Int("soak.rounds", 4, "faults in a run")
	folder = flag.String("soak.logs", "", "folder for settings and logs; empty removes them")
	healed = flag.Bool("soak.recover", false, "check that requests are served after the last fault")
)

// runLimit ends a run that hangs.
const runLimit = 5 * time.Minute

// TestMain runs the product's command line instead of tests in the processes of a soak.
func TestMain(m *testing.M) {
	if os.Getenv(processEnvironment) != "" {
		os.Exit(commands.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// load opens flows for some seconds.
func (s *System) load(seconds int) {
	for range seconds * 20 {
		s.cluster.OpenRandomFlow(s.config.Services)
		s.Run(clock.Second / 20)
	}
}

// Guards against broken promises of the real processes under faults from outside: a
// flow opened at another service or long after a drain, a live flow that is reset, an
// answer for another request, a request that runs twice, a process that ends by itself
// or does not end when it is told to.
func TestSoak(t *testing.T) {
	for n := *seed; n < *seed+uint64(*seeds); n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) { run(t, n) })
	}
}

func run(t *testing.T, seed uint64) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	logs := *folder
	if logs == "" {
		logs = c.TempDir()
	} else {
		logs = fmt.Sprintf("%s/%d", logs, seed)
		c.Assert(os.MkdirAll(logs, 0o700), qt.IsNil)
	}
	program, err := os.Executable()
	c.Assert(err, qt.IsNil)
	s, err := New(ctx, Config{
		Seed: seed, Balancers: 4, Upstreams: 3, Services: 2, Program: []string{program}, Folder: logs,
	})
	c.Assert(err, qt.IsNil)
	s.Run(3 * clock.Second)
	for range *rounds {
		t.Logf("%d ms: %s", s.now(), s.InjectFault())
		s.load(1)
	}
	s.ClearFaults()
	s.Run(8 * clock.Second)
	served, unserved := s.cluster.Served(), s.cluster.Unserved()
	s.load(3)
	s.Run(5 * clock.Second)
	s.Stop()
	t.Logf("served %d, unserved %d; after the last fault served %d, unserved %d", served, unserved,
		s.cluster.Served()-served, s.cluster.Unserved()-unserved)
	c.Assert(s.Failures(), qt.HasLen, 0)
	if *healed {
		c.Assert(s.cluster.Unserved()-unserved <= 2, qt.IsTrue)
	}
}
