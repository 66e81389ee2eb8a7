package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	movedRoutes = 12
	routeFronts = 11
	stormGap    = 330 * time.Millisecond
	// silentBefore is the time from the silence of the connections to the first change.
	silentBefore = 4200 * time.Millisecond
	rolledFronts = 4
	// rollBefore is the time from the first stop of a front machine to the first change.
	rollBefore  = 3 * time.Second
	rollGap     = 1200 * time.Millisecond
	roundLength = 10 * time.Second
	// flowGap is the time between two new flows. For burstTime in each round it is burstGap.
	flowGap      = 2600 * time.Microsecond
	burstGap     = 1040 * time.Microsecond
	burstTime    = 6900 * time.Millisecond
	burstBefore  = 2500 * time.Millisecond
	flowRequests = 3
	// shortWorkTime is the time that an endpoint takes for a request.
	shortWorkTime = 8 * time.Millisecond
)

// routesMoved plays configurations in quick succession, each of which moves a route to
// another service, while some front machines are stopped and started in turn. Some seconds
// before, all open connections to the store have gone silent.
func routesMoved(w *world, trouble bool) (bool, error) {
	w.workTime = shortWorkTime
	d := &deployment{world: w, nextFront: 1, stop: make(chan struct{})}
	var err error
	if w.store, err = startStore(netip.AddrPortFrom(w.host(0, 1), w.ports.store).String(), 0); err != nil {
		return false, err
	}
	names := []string{"desk", "yard", "shed", "barn", "loft", "mill", "shop", "dock", "bank", "farm"}
	target := make([]string, movedRoutes)
	version := 2
	configure := func() error {
		version += 1 + version%3
		var routes []routeDocument
		for i, service := range target {
			routes = append(routes, routeDocument{
				fmt.Sprintf("r-%d", i), w.host(5, i+1).String(), fmt.Sprintf("/%d/", servicePort), service, "non_idempotent", 2500, 250, 1, 1,
			})
		}
		return w.configure(version, routes...)
	}
	for i := range target {
		target[i] = names[0]
	}
	if err := configure(); err != nil {
		return false, err
	}
	if err := w.startRouter(); err != nil {
		return false, err
	}
	var hosts []netip.Addr
	for i := range routeFronts {
		hosts = append(hosts, w.host(1, i+1))
	}
	d.seeds = hosts[:3]
	for i, host := range hosts {
		p, err := w.startProcess("flow-balancer", fmt.Sprintf("front-%d", i+1), host, "", d.seeds)
		if err != nil {
			return false, err
		}
		d.fronts = append(d.fronts, p)
	}
	w.router.setNodes(hosts...)
	for i := range 2 * len(names) {
		host := w.host(2, i+1)
		d.sides = append(d.sides, host)
		if _, err := w.startProcess("flow-sidecar", fmt.Sprintf("side-%d", i+1), host, names[i/2], d.seeds); err != nil {
			return false, err
		}
	}
	w.until(2 * time.Second)
	for i, host := range d.sides {
		e, err := w.startEndpoint(fmt.Sprintf("i-%d", i+1), names[i/2], host)
		if err != nil {
			return false, err
		}
		w.endpoints = append(w.endpoints, e)
	}
	w.until(10 * time.Second)
	if err := d.openShortFlows(); err != nil {
		return false, err
	}
	disturbed := newDisturbances()
	for round := 1; round < len(names); round++ {
		begin := 14*time.Second + time.Duration(round-1)*roundLength
		if trouble {
			w.until(begin)
			w.record("all open connections to the store go silent")
			w.store.silenceConnections()
			w.until(begin + silentBefore - rollBefore)
			go d.rollFronts(disturbed)
			w.until(begin + silentBefore - burstBefore)
			w.record("many users come at once")
			d.burstUntil.Store(int64(w.now() + burstTime))
		}
		w.until(begin + silentBefore + rand.N(500*time.Millisecond))
		for i := range target {
			target[i] = names[round]
			if err := configure(); err != nil {
				return false, err
			}
			time.Sleep(stormGap)
		}
	}
	w.until(14*time.Second + time.Duration(len(names)-1)*roundLength)
	close(d.stop)
	time.Sleep(time.Second)
	planned, touch := 0, 0
	for _, r := range w.resets {
		switch {
		case !r.bySystem || r.holder == nil:
		case disturbed.within(r.front, r.at-contact, r.at):
			planned++
		default:
			touch++
		}
	}
	w.record("%d requests answered; resets of open flows by the system: %d through front machines in touch, %d through others",
		w.served, touch, planned)
	fmt.Printf("%d requests answered, %d resets through machines in touch, %d others\n", w.served, touch, planned)
	return touch == 0, nil
}

// rollFronts stops some front machines in turn and starts them again.
func (d *deployment) rollFronts(disturbed *disturbances) {
	for _, p := range d.fronts[:rolledFronts] {
		disturbed.add(p.host, d.world.now())
		p.signal(syscall.SIGTERM)
		go func() {
			<-p.done
			time.Sleep(500 * time.Millisecond)
			disturbed.add(p.host, d.world.now())
			_ = p.start()
		}()
		time.Sleep(rollGap)
	}
}

// disturbances are the times at which machines were disturbed.
type disturbances struct {
	mutex sync.Mutex
	times map[netip.Addr][]time.Duration
}

func newDisturbances() *disturbances { return &disturbances{times: map[netip.Addr][]time.Duration{}} }

func (d *disturbances) add(host netip.Addr, at time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.times[host] = append(d.times[host], at)
}

// within reports whether a machine was disturbed in a span of time.
func (d *disturbances) within(host netip.Addr, from, to time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, at := range d.times[host] {
		if at >= from && at <= to {
			return true
		}
	}
	return false
}

// openShortFlows lets clients open flows to all routes in turn, send some requests on each
// and close it.
func (d *deployment) openShortFlows() error {
	var clients []*client
	for i := range clientCount {
		c, err := d.world.startClient(d.world.host(3, i+1))
		if err != nil {
			return err
		}
		clients = append(clients, c)
	}
	go func() {
		for n := 0; ; n++ {
			select {
			case <-d.stop:
				return
			case <-time.After(d.currentFlowGap()):
			}
			c := clients[n%clientCount]
			f := c.open(uint16(10000+n/clientCount%50000), netip.AddrPortFrom(d.world.host(5, n%movedRoutes+1), servicePort))
			go f.play()
		}
	}()
	return nil
}

func (d *deployment) currentFlowGap() time.Duration {
	if int64(d.world.now()) < d.burstUntil.Load() {
		return burstGap
	}
	return flowGap
}

// play sends the requests of a short flow and closes it.
func (f *clientFlow) play() {
	for sent := 1; sent < flowRequests; {
		time.Sleep(10 * time.Millisecond)
		if f.ask() {
			sent++
		}
		f.client.mutex.Lock()
		over := f.over
		f.client.mutex.Unlock()
		if over {
			return
		}
	}
	time.Sleep(100 * time.Millisecond)
	f.client.mutex.Lock()
	defer f.client.mutex.Unlock()
	if !f.over {
		f.over = true
		f.client.world.router.forward(packet{flags: flagFIN | flagACK, seq: f.seq + 1, ack: f.serverSeq, src: f.id.client, dst: f.id.service})
	}
}
