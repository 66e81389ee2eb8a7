package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["frozen-restart"] = frozenRestart }

const (
	// freezeTime is the longest freeze that the site file names.
	freezeTime = 4 * time.Second
	// startTime is the time from the start of the process to the freeze.
	startTime = 50 * time.Millisecond
	// maxRestarts is how often the process is restarted at most if the endpoint's heartbeat
	// comes before the freeze.
	maxRestarts = 2
	// settle is the time after contactMs in which nothing is sent yet.
	settle = 300 * time.Millisecond
)

// frozenRestart plays a machine beside an endpoint whose process is stopped and started again as
// planned work, and which then stands still for 4 s before the endpoint has sent its next
// heartbeat. Flows that were open all the while, and idle, are used again when all machines are
// in touch.
func frozenRestart(b *bed, trouble bool) (bool, error) {
	if err := b.deploy(3, 3, 1); err != nil {
		return false, err
	}
	var flows []*clientFlow
	for i := range 9 {
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
	m := b.machineOf(flows[0].endpoint)
	acknowledged := func() int { return b.count("endpoint "+m.endpointName+" beat", "status=200") }
	beats := acknowledged()
	for range maxRestarts {
		// The next heartbeat is almost a whole interval away after this one.
		before := acknowledged()
		if err := b.await("a heartbeat", 3*time.Second, func() bool { return acknowledged() > before }); err != nil {
			return false, err
		}
		m.stopSystem()
		time.Sleep(restartDelay)
		beats = acknowledged()
		if err := m.startSystem(); err != nil {
			return false, err
		}
		time.Sleep(startTime)
		if !trouble || acknowledged() == beats {
			break
		}
		b.log("%s: a heartbeat came before the freeze; the machine is restarted once more", m.name)
	}
	if trouble {
		b.log("%s: frozen", m.name)
		m.system.signal(syscall.SIGSTOP)
		m.endpoint.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		m.system.signal(syscall.SIGCONT)
		m.endpoint.signal(syscall.SIGCONT)
		b.log("%s: runs again", m.name)
	} else {
		time.Sleep(freezeTime)
	}
	time.Sleep(contact + settle)
	return b.useAgain(flows, 50*time.Millisecond), nil
}
