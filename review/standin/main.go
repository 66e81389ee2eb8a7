package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

// cases are the cases that can be played. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"routes-moved":         routesMoved,
	"fronts-after-outage":  frontsAfterOutage,
	"fronts-after-release": frontsAfterRelease,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(*world, bool) (bool, error), recordPath string, trouble bool) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		<-stop
		w.close()
		os.Exit(notRun)
	}()
	ok, err := run(w, trouble)
	if err != nil {
		w.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if !ok {
		fmt.Println("rule broken")
		return broken
	}
	fmt.Println("rule held")
	return held
}
