package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["added-front"] = addedFront }

const (
	// shortOutage is how long the store turns machines away. The fronts' waiting watches mostly
	// outlast it.
	shortOutage = 200 * time.Millisecond
	// Times since the start of the side machines. The first look at the directory after
	// outageAt is not before 20 s.
	openAt     = 13400 * time.Millisecond
	changeAt   = 13800 * time.Millisecond
	leaveAt    = 13900 * time.Millisecond
	allInTouch = 19700 * time.Millisecond
	// calm is the time from the start of the added front to the requests, longer than contactMs.
	calm = contact + 150*time.Millisecond
	// leaving is the number of fronts that leave. They are the seeds of all processes.
	leaving = 3
)

// addedFront plays a store that turns some fronts and the side machines of one service away for a
// moment and takes their keys away, a configuration that moves a route from that service to another
// one, and planned work on other fronts: those that are the seeds leave, and one is added as soon as
// they have ended. Flows that were opened before the move are used again when every machine has been
// calm for contactMs.
func addedFront(b *bed, trouble bool) (bool, error) {
	started := time.Now()
	if err := b.deploy(5, 2, 5); err != nil {
		return false, err
	}
	at := func(t time.Duration) { time.Sleep(time.Until(started.Add(t))) }
	at(outageAt)
	if trouble {
		var away []*machine
		for _, m := range append(b.frontList()[leaving:], b.sides...) {
			if m.class == "front" || m.service == portal {
				away = append(away, m)
			}
		}
		for _, m := range away {
			b.log("store: turns %s away and takes its keys away", m.name)
			m.turnedAway.Store(true)
			b.store.takeAway("/" + m.ip.String())
		}
		time.Sleep(shortOutage)
		for _, m := range away {
			m.turnedAway.Store(false)
		}
		b.log("store: serves all machines")
	}
	at(openAt)
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
	at(changeAt)
	b.log("operator: version 8 moves the route of the board to %s", bridge)
	b.configure(8, bridge)
	at(leaveAt)
	b.leave(b.frontList()[:leaving])
	if err := b.addFront(zones[2]).startSystem(); err != nil {
		return false, err
	}
	added := time.Now()
	at(allInTouch)
	if time.Since(added) < calm {
		return false, errors.New("the fronts took too long to leave")
	}
	return b.useAgain(flows, 30*time.Millisecond), nil
}
