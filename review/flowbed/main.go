// Command flowbed runs the programs of the deploy file as a small deployment on loopback
// addresses, among stand-ins for the platform, its clients and its endpoints, and plays the
// cases of the review that cannot be put as a day of the users' bench.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a case may take.
const maxRunTime = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns true if the rule was broken. trouble is false for a
// run without the disruption.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) > 0 && args[0] == "endpoint" {
		if err := runEndpoint(args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitFailed
		}
		return exitHeld
	}
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: flowbed CASE RECORD")
		return exitFailed
	}
	b, err := newBed(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer b.close()
	// Ends all processes also if the run is ended from outside or takes too long.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		b.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[args[0]](b, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		b.log("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		b.log("RULE BROKEN")
		return exitBroken
	default:
		b.log("rule held")
		return exitHeld
	}
}
