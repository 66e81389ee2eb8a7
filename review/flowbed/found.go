package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["found-entries"] = foundEntries }

// Times since the start of the side machines. outageAt and outageEnd are those of movedRoute.
const (
	rollAt     = 18850 * time.Millisecond
	frontsAt   = 19300 * time.Millisecond
	requestsAt = 20300 * time.Millisecond
)

// foundEntries plays a store that turns one side machine away for 2 s and takes its keys away.
// When the store has been stable for contactMs, planned work follows: the other side machines of
// the service are stopped and started, and all fronts are replaced by others. Flows of the
// endpoint on the first machine are used again.
func foundEntries(b *bed, trouble bool) (bool, error) {
	started := time.Now()
	if err := b.deploy(3, 3, 4); err != nil {
		return false, err
	}
	at := func(t time.Duration) { time.Sleep(time.Until(started.Add(t))) }
	var first *machine
	var others []*machine
	for _, m := range b.sides {
		switch {
		case m.service != portal:
		case first == nil:
			first = m
		default:
			others = append(others, m)
		}
	}
	at(outageAt)
	if trouble {
		b.log("store: turns %s away and takes its keys away", first.name)
		first.turnedAway.Store(true)
		b.store.takeAway("/" + first.ip.String())
		at(outageEnd)
		first.turnedAway.Store(false)
		b.log("store: serves all machines")
	}
	at(flowsAt)
	var flows []*clientFlow
	for i := range 12 {
		c, err := b.addClient(zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		f, err := c.open(boardAddress)
		if err != nil {
			return false, fmt.Errorf("open flow: %w", err)
		}
		if err := f.request(fmt.Sprintf("first-%d", i), 2*time.Second); err != nil {
			return false, fmt.Errorf("first request: %w", err)
		}
		flows = append(flows, f)
	}
	at(rollAt)
	var rolled sync.WaitGroup
	failures := make(chan error, len(others))
	for _, m := range others {
		rolled.Add(1)
		go func() {
			defer rolled.Done()
			m.stopSystem()
			time.Sleep(restartDelay)
			failures <- m.startSystem()
		}()
	}
	at(frontsAt)
	old := b.frontList()
	for _, m := range old {
		go m.stopSystem()
	}
	for _, m := range old {
		if err := b.addFront(m.zone).startSystem(); err != nil {
			return false, err
		}
	}
	rolled.Wait()
	for range others {
		if err := <-failures; err != nil {
			return false, err
		}
	}
	at(requestsAt)
	return b.useAgain(flows, 30*time.Millisecond), nil
}
