package fleet

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

const (
	relayPort = 7000
	// settleTime is how long a balancer waits for reports after its start.
	settleTime clock.Millis = 300
	// tickInterval is the time between two ticks of a balancer.
	tickInterval clock.Millis = 10
)

// balancerHost is an entry host with the decisions of a balancer.
type balancerHost struct {
	cluster *Cluster
	index   int
	address netip.AddrPort
	machine *balancer.Balancer
	// run is the number of the current run; datagrams of earlier ones are lost.
	run      int
	up       bool
	draining bool
	started  clock.Millis
	misses   int
	// deafUntil is when reports reach this balancer again.
	deafUntil clock.Millis
	heard     map[netip.AddrPort]bool
}

func newBalancerHost(w *Cluster, index int) *balancerHost {
	b := &balancerHost{
		cluster: w, index: index,
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(index + 1)}), relayPort),
	}
	if w.config.Remote != nil {
		b.misses = probeMisses
		return b
	}
	b.start()
	w.after(clock.Millis(w.random.IntN(int(probeInterval))), b.probe)
	return b
}

// start begins a run without any state.
func (b *balancerHost) start() {
	b.run++
	b.up, b.draining, b.started = true, false, b.cluster.now
	b.heard = map[netip.AddrPort]bool{}
	b.machine = balancer.New(balancer.Config{
		Decode:      func(packet []byte) (segment.Segment, error) { return platform.DecodeSegment(packet, false) },
		Reset:       platform.EncodeReset,
		ToSidecar:   b.toSidecar,
		ToClient:    func(_ netip.Addr, packet []byte) { b.cluster.toClient(append([]byte(nil), packet...)) },
		Random:      b.cluster.random.IntN,
		AllReported: b.complete,
	})
	b.cluster.after(clock.Millis(5+b.cluster.random.IntN(200)), b.configure(b.run))
	b.tick(b.run)
}

// configure returns a function that applies the current configuration.
func (b *balancerHost) configure(run int) func() {
	return func() {
		if !b.up || b.run != run {
			return
		}
		config := route.Config{Version: b.cluster.version}
		for s := range b.cluster.config.Services {
			config.Routes = append(config.Routes, route.Route{
				Address:     serviceAddress(s),
				Targets:     []route.Target{{Service: platform.ServiceID(serviceName(s)), Weight: 1}},
				LatencyGoal: latencyGoal, Timeout: deadline,
			})
		}
		b.machine.SetTable(route.NewTable(config))
	}
}

// complete reports whether all sidecars have reported, as the directory and peers
// would tell.
func (b *balancerHost) complete() bool {
	if b.cluster.config.Mutant == AbsenceAssumed {
		return true
	}
	if b.cluster.now-b.started < settleTime {
		return false
	}
	for _, u := range b.cluster.upstreams {
		if !u.removed && !b.heard[u.address] {
			return false
		}
	}
	return true
}

func (b *balancerHost) tick(run int) {
	if !b.up || b.run != run {
		return
	}
	b.machine.Tick(b.cluster.now)
	b.cluster.after(tickInterval, func() { b.tick(run) })
}

func (b *balancerHost) probe() {
	if b.up && !b.draining && b.machine.Table() != nil && b.machine.UsableSidecars(b.cluster.now) > 0 {
		b.misses = 0
	} else {
		b.misses++
	}
	b.cluster.after(probeInterval, b.probe)
}

// receive calls handle unless the process has ended since.
func (b *balancerHost) receive(handle func()) {
	run := b.run
	b.cluster.deliver(func() {
		if b.up && b.run == run {
			handle()
		}
	})
}

func (b *balancerHost) toSidecar(to netip.AddrPort, data []byte) {
	m, err := relay.Decode(append([]byte(nil), data...))
	if err != nil {
		b.cluster.fault("balancer %d sent an unreadable message: %v", b.index, err)
		return
	}
	if m.Kind == relay.KindSearch && b.cluster.config.Mutant == ResetOnSearch {
		h := decode(m.Packet)
		b.cluster.toClient(platform.EncodeReset(keyOf(h.from, h.to), h.ack))
	}
	for _, u := range b.cluster.upstreams {
		if u.address == to && !u.removed {
			if b.cluster.config.Mutant == ServiceUnchecked {
				m.Service = platform.ServiceID(serviceName(u.service))
			}
			u.receive(func() { u.machine.HandleMessage(b.cluster.now, b.address, m) })
		}
	}
}

// KillBalancer ends a balancer without notice and starts it again later.
func (w *Cluster) KillBalancer(index int, down clock.Millis) {
	b := w.balancers[index]
	if !b.up {
		return
	}
	b.up = false
	w.after(down, b.start)
}

// StopBalancer stops a balancer as an operator does and starts it again.
func (w *Cluster) StopBalancer(index int, down clock.Millis) {
	b := w.balancers[index]
	if !b.up || b.draining {
		return
	}
	b.draining = true
	run := b.run
	w.after(3*clock.Second, func() {
		if b.run == run && b.up {
			w.KillBalancer(index, down)
		}
	})
}

// Reconfigure makes a new configuration, which reaches each balancer at its own time.
func (w *Cluster) Reconfigure() {
	w.version++
	for _, b := range w.balancers {
		w.after(clock.Millis(1+w.random.IntN(1000)), b.configure(b.run))
	}
}
