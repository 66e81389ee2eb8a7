package main

import (
	"fmt"
	"time"
)

func init() { cases["moved-route"] = movedRoute }

// Times since the start of the side machines.
const (
	// Each process looks at the directory 10 to 12.5 s after its last look, so that none does
	// between outageAt and the replacement of the fronts.
	outageAt  = 12800 * time.Millisecond
	outageEnd = 14800 * time.Millisecond
	flowsAt   = 15300 * time.Millisecond
	moveAt    = 16 * time.Second
	replaceAt = 18900 * time.Millisecond
	useAt     = 20000 * time.Millisecond
)

// movedRoute plays a store that turns the side machines of one service away for 2 s and takes their
// keys away, a configuration that moves a route from that service to another one and, when the
// store has been stable for contactMs, the replacement of all fronts by others as planned work.
// Flows that were opened before the move are used again.
func movedRoute(b *bed, trouble bool) (bool, error) {
	started := time.Now()
	if err := b.deploy(3, 3, 3); err != nil {
		return false, err
	}
	at := func(t time.Duration) { time.Sleep(time.Until(started.Add(t))) }
	at(outageAt)
	if trouble {
		b.log("store: turns the side machines of %s away and takes their keys away", portal)
		for _, m := range b.sides {
			if m.service == portal {
				m.turnedAway.Store(true)
				b.store.takeAway("/" + m.ip.String())
			}
		}
		at(outageEnd)
		for _, m := range b.sides {
			m.turnedAway.Store(false)
		}
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
	at(moveAt)
	b.log("operator: version 8 moves the route of the board to %s", bridge)
	b.configure(8, bridge)
	at(replaceAt)
	old := b.frontList()
	for _, m := range old {
		go m.stopSystem()
	}
	for _, m := range old {
		if err := b.addFront(m.zone).startSystem(); err != nil {
			return false, err
		}
	}
	at(useAt)
	return b.useAgain(flows, 50*time.Millisecond), nil
}
