package fleet

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

const (
	relayPort = 7000
	// settleTime is the shortest time after its start before a balancer takes the sidecars
	// as complete.
	settleTime clock.Millis = 300
	// contactTime is how long after a disturbance the users' rules do not count what a host
	// does.
	contactTime = 4 * clock.Second
	// tickInterval is the time between two ticks of a balancer.
	tickInterval clock.Millis = 10
)

// balancerHost is a host with the decision logic of a balancer.
type balancerHost struct {
	cluster      *Cluster
	index        int
	relayAddress netip.AddrPort
	logic        *balancer.Balancer
	// incarnation numbers the processes on this host. Datagrams that were sent to an
	// earlier one are lost.
	incarnation  int
	up           bool
	draining     bool
	startedAt    clock.Millis
	failedProbes int
	// pausedUntil is the end of the last pause of the process. Until cutUntil, the host has
	// no path to the other balancers.
	pausedUntil, cutUntil clock.Millis
	// reportsLostUntil is the end of a period in which no report of an upstream's sidecar
	// reaches this balancer, by upstream.
	reportsLostUntil map[int]clock.Millis
	// heardFrom holds the sidecars from which this incarnation has received a report.
	heardFrom map[netip.AddrPort]bool
	// members is the evidence of this incarnation that it knows all sidecars. With
	// Config.Store, listed holds the sidecars that any source has listed to it, and since when.
	members *absence.Members
	listed  map[netip.AddrPort]clock.Millis
	// replacements counts the changes of the host's address.
	replacements int
	// client calls the store, learner learns of configurations, and keeper keeps the entry
	// of the host; nil without Config.Store.
	client  *storeClient
	learner *learner
	keeper  *keeper
	// timeline holds what the host has learned and done lately.
	timeline timeline
}

func newBalancerHost(c *Cluster, index int) *balancerHost {
	b := &balancerHost{
		cluster: c, index: index, reportsLostUntil: map[int]clock.Millis{},
	}
	b.relayAddress = b.address()
	if c.config.Remote != nil {
		b.failedProbes = maxFailedProbes
		return b
	}
	b.start()
	c.after(clock.Millis(c.random.IntN(int(probeInterval))), b.probe)
	return b
}

// address returns the address of the host. Hosts that replace others have other addresses.
func (b *balancerHost) address() netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{10, 1, byte(b.index>>8 + 8*b.replacements), byte(b.index)})
	return netip.AddrPortFrom(ip, relayPort)
}

// seedAddress returns the address of the first host, which the settings of sidecars name.
func (b *balancerHost) seedAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(b.index >> 8), byte(b.index)}), relayPort)
}

// start begins an incarnation without any state.
func (b *balancerHost) start() {
	b.incarnation++
	b.relayAddress = b.address()
	b.listed = map[netip.AddrPort]clock.Millis{}
	if b.members = absence.NewMembers(b.cluster.now); b.cluster.config.Mutant == DirectoryTrusted {
		b.members = nil
	}
	b.up, b.draining, b.startedAt = true, false, b.cluster.now
	b.heardFrom = map[netip.AddrPort]bool{}
	b.logic = balancer.New(balancer.Config{
		DataCentre:  b.cluster.dataCentre(b.index),
		Decode:      func(packet []byte) (segment.Segment, error) { return platform.DecodeSegment(packet, false) },
		Reset:       platform.EncodeReset,
		ToSidecar:   b.toSidecar,
		ToClient:    b.toClient,
		Random:      b.cluster.random.IntN,
		AllReported: b.allReported,
		Behind:      b.behind,
		Members:     b.members,
	})
	if b.cluster.store != nil {
		b.startLearning()
		b.startDiscovery()
	} else {
		b.members.DirectoryRead(b.cluster.now, b.cluster.sidecarHosts())
		b.cluster.after(clock.Millis(5+b.cluster.random.IntN(200)), b.configure(b.incarnation))
	}
	b.tick(b.incarnation)
}

// startLearning connects an incarnation with the store.
func (b *balancerHost) startLearning() {
	incarnation := b.incarnation
	client := &storeClient{
		alive: func() bool { return b.up && b.incarnation == incarnation }, whenRunning: b.whenRunning,
	}
	if b.client != nil {
		client.fault, client.undisturbedSince = b.client.fault, b.client.undisturbedSince
	}
	b.client = client
	b.timeline.add(b.cluster.now, "started")
	b.keeper = newKeeper(b.cluster, fmt.Sprint("balancers/", b.index), client, &b.timeline)
	b.learner = newLearner(b)
	b.keeper.onRestore = b.learner.endOutdatedWatch
}

// configure returns a function that applies the current configuration if the incarnation
// still runs.
func (b *balancerHost) configure(incarnation int) func() {
	return func() {
		if !b.up || b.incarnation != incarnation {
			return
		}
		config := route.Config{Version: b.cluster.version, Routes: b.cluster.targets.routes()}
		b.logic.SetTable(b.cluster.now, route.NewTable(config))
	}
}

// allReported reports whether settleTime has passed since the start and this incarnation
// has received a report from every sidecar. It stands for what a real balancer
// learns from the directory and from its peers.
func (b *balancerHost) allReported() bool {
	if b.cluster.config.Mutant == AbsenceAssumed {
		return true
	}
	if b.cluster.now-b.startedAt < settleTime {
		return false
	}
	if b.cluster.store != nil {
		return b.listedReported()
	}
	for _, u := range b.cluster.upstreams {
		if !u.removed && !b.heardFrom[u.relayAddress] {
			return false
		}
	}
	return true
}

// behind reports whether another balancer has a newer configuration. Without Config.Store,
// balancers do not exchange digests, and know at once.
func (b *balancerHost) behind() bool {
	if b.cluster.config.Mutant == BehindIgnored {
		return false
	}
	var peers []netip.Addr
	for _, other := range b.cluster.balancers {
		if other != b && other.up && other.logic.Table().Version() > b.logic.Table().Version() && b.learner == nil {
			return true
		}
		if other.up {
			peers = append(peers, other.relayAddress.Addr())
		}
	}
	return b.learner != nil && b.learner.peers.BehindAny(peers)
}

func (b *balancerHost) tick(incarnation int) {
	if !b.up || b.incarnation != incarnation {
		return
	}
	if b.cluster.now >= b.pausedUntil {
		b.logic.Tick(b.cluster.now)
	}
	b.cluster.after(tickInterval, func() { b.tick(incarnation) })
}

// probe is the readiness probe of the routers.
func (b *balancerHost) probe() {
	if b.up && !b.draining && b.cluster.now >= b.pausedUntil && b.logic.Table() != nil && b.logic.UsableSidecars(b.cluster.now) > 0 {
		b.failedProbes = 0
	} else {
		b.failedProbes++
	}
	b.cluster.after(probeInterval, b.probe)
}

// receive calls handle after the network delay, unless the datagram is lost or the process
// has ended in the meantime.
func (b *balancerHost) receive(handle func()) {
	incarnation := b.incarnation
	b.cluster.deliver(func() {
		b.whenRunning(func() {
			if b.up && b.incarnation == incarnation {
				handle()
			}
		})
	})
}

// whenRunning calls run now, or at the end of the pause of the process.
func (b *balancerHost) whenRunning(run func()) { b.cluster.whenRunning(&b.pausedUntil, run) }

// toClient sends a reset to a client.
func (b *balancerHost) toClient(_ netip.Addr, packet []byte) {
	reset := append([]byte(nil), packet...)
	if b.pausedUntil > 0 && b.cluster.now-b.pausedUntil < contactTime {
		b.cluster.resetByPaused(reset)
		return
	}
	b.cluster.toClient(reset)
}

func (b *balancerHost) toSidecar(to netip.AddrPort, data []byte) {
	m, err := relay.Decode(append([]byte(nil), data...))
	if err != nil {
		b.cluster.recordViolation("balancer %d sent an undecodable message: %v", b.index, err)
		return
	}
	if m.Kind == relay.KindSearch && b.cluster.config.Mutant == ResetOnSearch {
		h := decode(m.Packet)
		b.cluster.toClient(platform.EncodeReset(flowKey(h.from, h.to), h.ack))
	}
	if m.Kind == relay.KindSearch && b.cluster.config.Mutant == CurrentTargetsSearched && b.skipsSearch(to, m) {
		return
	}
	for _, u := range b.cluster.upstreams {
		if u.relayAddress == to && !u.removed {
			if b.cluster.config.Mutant == ServiceUnchecked {
				m.Service = platform.ServiceID(serviceName(u.service))
			}
			from := b.relayAddress
			u.receive(func() {
				u.currentBalancer = b
				if m.Kind == relay.KindPing {
					u.report(b)
					return
				}
				u.handleMessage(from, m)
			})
		}
	}
}

// skipsSearch answers a search in a service that is not a target of the flow's route now,
// as if that service did not hold the flow.
func (b *balancerHost) skipsSearch(to netip.AddrPort, m relay.Message) bool {
	h := decode(m.Packet)
	r, _ := b.logic.Table().Lookup(h.to)
	if slices.ContainsFunc(r.Targets, func(t route.Target) bool { return t.Service == m.Service }) {
		return false
	}
	absent := relay.Message{Kind: relay.KindAbsent, Key: flowKey(h.from, h.to), QueriedHosts: b.cluster.sidecarHosts()}
	b.receive(func() { b.logic.HandleSidecar(b.cluster.now, to, absent) })
	return true
}

// sidecarHosts returns the hosts of all sidecars.
func (c *Cluster) sidecarHosts() []netip.Addr {
	var hosts []netip.Addr
	for _, u := range c.upstreams {
		hosts = append(hosts, u.relayAddress.Addr())
	}
	return hosts
}

// KillBalancer kills a balancer without notice and restarts it after the downtime.
func (c *Cluster) KillBalancer(index int, down clock.Millis) {
	b := c.balancers[index]
	if !b.up {
		return
	}
	b.end()
	c.after(down, b.start)
}

// end ends the process without notice.
func (b *balancerHost) end() {
	b.up, b.pausedUntil = false, 0
	if b.learner != nil {
		b.learner.stopFollower()
		b.learner = nil
	}
}

// whenRunning calls run now, or at the end of the pause of a process.
func (c *Cluster) whenRunning(pausedUntil *clock.Millis, run func()) {
	if rest := *pausedUntil - c.now; rest > 0 {
		c.after(rest, func() { c.whenRunning(pausedUntil, run) })
		return
	}
	run()
}

// PauseBalancer pauses the process of a balancer. What arrives meanwhile waits.
func (c *Cluster) PauseBalancer(index int, d clock.Millis) {
	if b := c.balancers[index]; b.up {
		b.pausedUntil = c.now + d
		b.timeline.add(c.now, "paused for %d ms", d)
	}
}

// CutBalancer cuts a balancer off from the other balancers.
func (c *Cluster) CutBalancer(index int, d clock.Millis) { c.balancers[index].cutUntil = c.now + d }

// reaches reports whether two balancers have a path to each other.
func (b *balancerHost) reaches(other *balancerHost) bool {
	return b.cluster.now >= max(b.cutUntil, other.cutUntil)
}

// StopBalancer stops a balancer gracefully, as an operator does. The balancer fails its
// readiness probes for 3 s, then ends, and restarts after the downtime.
func (c *Cluster) StopBalancer(index int, down clock.Millis) {
	b := c.balancers[index]
	if !b.up || b.draining {
		return
	}
	b.draining = true
	if b.keeper != nil {
		b.keeper.leave()
	}
	incarnation := b.incarnation
	c.after(3*clock.Second, func() {
		if b.incarnation == incarnation && b.up {
			c.KillBalancer(index, down)
		}
	})
}

// Reconfigure publishes a new configuration, which reaches each balancer after a delay of
// its own of up to 1 s.
func (c *Cluster) Reconfigure() {
	c.version++
	if c.store != nil {
		c.store.writeConfiguration()
		return
	}
	for _, b := range c.balancers {
		c.after(clock.Millis(1+c.random.IntN(1000)), b.configure(b.incarnation))
	}
}
