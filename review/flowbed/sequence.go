package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["first-heartbeat"] = firstHeartbeat }

// firstHeartbeat plays a new endpoint that counts its heartbeats from 0. The process beside it is
// stopped and started again as planned work between its first and its second heartbeat. Flows
// that were opened there before are used again when all machines are in touch.
func firstHeartbeat(b *bed, trouble bool) (bool, error) {
	if err := b.deploy(3, 2, 1); err != nil {
		return false, err
	}
	m := b.addSide(zones[2], portal)
	m.firstSeq = 0
	if err := m.startSystem(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	if err := m.startEndpoint(workFor); err != nil {
		return false, err
	}
	if err := b.await("the first heartbeat", 3*time.Second, func() bool { return b.seen("endpoint " + m.endpointName + " beat seq=0 status=200") }); err != nil {
		return false, err
	}
	var flows []*clientFlow
	there := 0
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
		if f.endpoint == m.endpointName {
			there++
		}
	}
	if there == 0 {
		return false, errors.New("no flow was opened at the new endpoint")
	}
	if trouble {
		m.stopSystem()
		time.Sleep(restartDelay)
		if err := m.startSystem(); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + settle)
	broken := false
	for i, f := range flows {
		err := f.request(fmt.Sprintf("second-%d", i), 2*time.Second)
		if f.resetBySystem && !b.seen("closed "+f.String()) {
			b.log("FLOW: %s was reset by the system; its endpoint %s lives and holds it", f, f.endpoint)
			broken = true
		} else if err != nil {
			b.log("second request on %s: %s", f, err)
		}
	}
	return broken, nil
}
