package demo

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/standin/client"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
)

// TestOutcomeFailsOnAnyFault guards against a demo that succeeds although a client
// observed a fault, no request completed or a booking ran at two upstreams.
func TestOutcomeFailsOnAnyFault(t *testing.T) {
	c := qt.New(t)
	good := client.Counts{Requests: 9, Completed: 4, NotRun: 3, Unknown: 2}
	once := []upstream.Runs{{Runs: map[uint64]int{1: 1}}, {Runs: map[uint64]int{2: 1}}}
	twice := append(once, upstream.Runs{Runs: map[uint64]int{2: 1}})
	o := newOutcome(good, once)
	c.Check(o.passed(), qt.IsTrue)
	c.Check(o.String(), qt.Equals,
		"demo: requests=9 completed=4 not-run=3 unknown=2 misrouted=0 neighbour-answers=0 run-twice=0 broken-flows=0")
	c.Check(newOutcome(good, twice).runTwice, qt.Equals, 1)
	c.Check(newOutcome(good, twice).passed(), qt.IsFalse)
	for _, spoil := range []func(*client.Counts){
		func(k *client.Counts) { k.Completed = 0 },
		func(k *client.Counts) { k.Misrouted = 1 },
		func(k *client.Counts) { k.MismatchedResponses = 1 },
		func(k *client.Counts) { k.BrokenFlows = 1 },
	} {
		bad := good
		spoil(&bad)
		c.Check(newOutcome(bad, once).passed(), qt.IsFalse)
	}
}

// TestFilesAreReadable guards against generated files that the processes reject.
func TestFilesAreReadable(t *testing.T) {
	c := qt.New(t)
	l, err := newLayout()
	c.Assert(err, qt.IsNil)
	f := files{directory: t.TempDir()}
	c.Assert(f.write(l), qt.IsNil)
	_, err = keyring.Load(f.keyRing())
	c.Check(err, qt.IsNil)
	data, err := os.ReadFile(f.contract())
	c.Assert(err, qt.IsNil)
	written, err := contract.Parse(data)
	c.Assert(err, qt.IsNil)
	c.Assert(written.Services(), qt.HasLen, 2)
	c.Check(written.Services()[0].Kinds()[1].Stream(), qt.IsTrue)
	data, err = os.ReadFile(f.settings(l.balancers[1]))
	c.Assert(err, qt.IsNil)
	var balancer settings.Balancer
	c.Assert(yaml.Unmarshal(data, &balancer), qt.IsNil)
	c.Check(balancer.EntryAddress, qt.Equals, l.balancers[1].address)
	c.Check(balancer.DataCentre, qt.Equals, "hr-east-b")
	data, err = os.ReadFile(f.settings(l.upstreams[9].host))
	c.Assert(err, qt.IsNil)
	var sidecar settings.Sidecar
	c.Assert(yaml.Unmarshal(data, &sidecar), qt.IsNil)
	c.Check(sidecar.Service, qt.Equals, "weighbridge")
	c.Check(sidecar.TunnelAddress, qt.Equals, l.upstreams[9].tunnel)
	c.Check(sidecar.Traces.File, qt.Equals, f.hostTrace(l.upstreams[9].host))
}

// TestLayoutHasDistinctAddresses guards against two processes that are configured
// to listen on the same address.
func TestLayoutHasDistinctAddresses(t *testing.T) {
	c := qt.New(t)
	l, err := newLayout()
	c.Assert(err, qt.IsNil)
	addresses := []netip.AddrPort{l.platform, l.fabricAdmin}
	for _, b := range l.balancers {
		addresses = append(addresses, b.tunnel, b.control, b.observe)
	}
	for _, u := range l.upstreams {
		addresses = append(addresses, u.tunnel, u.control, u.observe, u.upstream)
	}
	seen := map[netip.AddrPort]bool{}
	for _, a := range addresses {
		c.Check(a.Port(), qt.Not(qt.Equals), uint16(0))
		c.Check(seen[a], qt.IsFalse, qt.Commentf("%s", a))
		seen[a] = true
	}
	c.Check(l.growerPortalPort, qt.Not(qt.Equals), l.weighbridgePort)
}

// scripts writes shell scripts that replace the binaries, and returns their
// directory.
func scripts(c *qt.C, bodies map[string]string) string {
	directory := c.TempDir()
	for name, body := range bodies {
		c.Assert(os.WriteFile(filepath.Join(directory, name), []byte("#!/bin/sh\n"+body), 0o755), qt.IsNil)
	}
	return directory
}

// TestFailedStartShowsLogAndLeavesNothing guards against a failed start that
// hides its cause or leaves files or processes behind.
func TestFailedStartShowsLogAndLeavesNothing(t *testing.T) {
	c := qt.New(t)
	temporary := c.TempDir()
	t.Setenv("TMPDIR", temporary)
	var output bytes.Buffer
	err := Run(context.Background(), Config{
		Binaries: scripts(c, map[string]string{standinBinary: "echo first; echo no such port >&2; exit 3\n"}),
		Out:      c.TempDir(), Output: &output,
	})
	c.Assert(err, qt.ErrorMatches, `(?s)platform ended \(exit status 3\).*first\n  no such port`)
	left, err := os.ReadDir(temporary)
	c.Assert(err, qt.IsNil)
	c.Check(left, qt.HasLen, 0)
}

// TestStopKillsProcessesThatIgnoreSIGTERM guards against processes that keep
// running after the demo has ended.
func TestStopKillsProcessesThatIgnoreSIGTERM(t *testing.T) {
	c := qt.New(t)
	reader, writer, err := os.Pipe()
	c.Assert(err, qt.IsNil)
	defer reader.Close()
	// Opening a named pipe that has no writer blocks the script.
	fifo := filepath.Join(c.TempDir(), "fifo")
	c.Assert(syscall.Mkfifo(fifo, 0o600), qt.IsNil)
	script := "trap '' TERM\necho ready\nread line <" + fifo + "\n"
	p := newProcesses(scripts(c, map[string]string{"stubborn": script}), c.TempDir())
	started, err := p.start(sidecarStage, "stubborn", writer, "stubborn")
	c.Assert(err, qt.IsNil)
	ready := make([]byte, len("ready\n"))
	_, err = reader.Read(ready)
	c.Assert(err, qt.IsNil)
	c.Check(p.stop([stageCount]time.Duration{}), qt.DeepEquals, []string{"stubborn did not end after SIGTERM and was killed"})
	c.Check(syscall.Kill(started.command.Process.Pid, 0), qt.Equals, syscall.ESRCH)
}

// TestTailLimitsLines guards against an error message that floods the terminal
// with a whole log.
func TestTailLimitsLines(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "log")
	c.Assert(os.WriteFile(path, []byte(strings.Repeat("line\n", 100)+"last\n"), 0o600), qt.IsNil)
	lines := strings.Split(tail(path), "\n")
	c.Check(lines, qt.HasLen, tailLines)
	c.Check(lines[tailLines-1], qt.Equals, "  last")
}
