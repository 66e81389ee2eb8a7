package balancer

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

const (
	// reportsMissed is how many reports may be missing before a sidecar gets no new
	// flows.
	reportsMissed = 4
	// defaultInterval is the time between reports of a sidecar that gives none.
	defaultInterval clock.Millis = 200
	// sidecarLife is how long a silent sidecar is still asked for open flows.
	sidecarLife = 60 * clock.Second
	// flowCost is the part of a slot that an open flow without a request counts.
	flowCost = 0.03
	// warmupCost multiplies the load of an upstream that has just started.
	warmupCost = 1.6
	// remoteCost is added to the load per slot of a sidecar in another data centre,
	// to save traffic between data centres.
	remoteCost = 0.1
	// lateCost is added for a sidecar that did not answer, so that it is chosen last.
	lateCost = 100
	// fullFactor is how many requests for each slot an upstream may have before new
	// flows go elsewhere. Upstreams return requests that find a longer queue.
	fullFactor = 4
	// busyTime is how long a sidecar that was too busy for a flow is not asked again:
	// about the time in which one of its slots becomes free.
	busyTime clock.Millis = 20
	// latePenalty is how long at least a sidecar that did not answer is chosen last. It
	// ends with the next news of the sidecar.
	latePenalty = clock.Second
)

// sidecar is what a balancer knows of one sidecar.
type sidecar struct {
	address netip.AddrPort
	report  relay.Report
	heard   clock.Millis
	// placed counts the flows placed since the last news of its load.
	placed int
	// lateAt is the time of its last missing answer.
	lateAt clock.Millis
	isLate bool
	// busyUntil and lateBusyUntil are the times from which a flow whose goal can be
	// met, or has passed, may be offered again.
	busyUntil, lateBusyUntil clock.Millis
}

// late records that the sidecar has not answered in time.
func (c *sidecar) late(now clock.Millis) {
	c.lateAt, c.isLate = now, true
}

// usable reports whether the sidecar may get new flows.
func (c *sidecar) usable(now clock.Millis) bool { return c.report.Accepting && c.live(now) }

// live reports whether the sidecar has reported lately.
func (c *sidecar) live(now clock.Millis) bool {
	interval := c.report.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	return now-c.heard <= reportsMissed*interval
}

// full reports whether a new flow would wait too long for a slot.
func (c *sidecar) full(now clock.Millis, late bool) bool {
	if now < c.busyUntil || (late && now < c.lateBusyUntil) {
		return true
	}
	return int(c.report.Load.Active)+c.placed >= fullFactor*max(c.report.Slots, 1)
}

// busy records that the sidecar was too busy for a flow.
func (c *sidecar) busy(now clock.Millis, late bool) {
	c.lateBusyUntil = now + busyTime
	if !late {
		c.busyUntil = now + busyTime
	}
}

// cost estimates the wait for a slot: the load of each slot, and more for a host
// that is far away or does not answer.
func (c *sidecar) cost(now clock.Millis, dataCentre string) float64 {
	load := float64(int(c.report.Load.Active)+c.placed) + flowCost*float64(c.report.Load.Flows)
	if c.report.Warmup > 0 {
		load = (load + 1) * warmupCost
	}
	cost := load / float64(max(c.report.Slots, 1))
	if c.report.DataCentre != dataCentre {
		cost += remoteCost
	}
	if c.isLate && (now-c.lateAt < latePenalty || c.heard <= c.lateAt) {
		cost += lateCost
	}
	return cost
}

// applyReport records the state of a sidecar.
func (b *Balancer) applyReport(now clock.Millis, from netip.AddrPort, r relay.Report) {
	c := b.sidecars[from]
	if c == nil {
		c = &sidecar{address: from}
		b.sidecars[from] = c
		b.addToService(c, r.Service)
	} else if c.report.Service != r.Service {
		b.removeFromService(c)
		b.addToService(c, r.Service)
	}
	if c.report.Incarnation != r.Incarnation {
		c.isLate = false
	}
	c.report, c.heard, c.placed = r, now, 0
	if r.Departed {
		b.removeFromService(c)
		delete(b.sidecars, from)
		return
	}
	if r.Accepting {
		b.resume(now)
	}
}

// TakeChanged returns the hosts of the sidecars of all services whose members have
// changed since the last call.
func (b *Balancer) TakeChanged() []netip.Addr {
	var hosts []netip.Addr
	for service := range b.changed {
		for _, member := range b.services[service] {
			hosts = append(hosts, member.address.Addr())
		}
	}
	clear(b.changed)
	slices.SortFunc(hosts, netip.Addr.Compare)
	return hosts
}

// Siblings returns the hosts of the sidecars of a service that one of them asks for.
// It returns false for a sidecar that is not known.
func (b *Balancer) Siblings(asker netip.AddrPort) ([]netip.Addr, bool) {
	c := b.sidecars[asker]
	if c == nil {
		return nil, false
	}
	members := b.services[c.report.Service]
	hosts := make([]netip.Addr, 0, len(members))
	for _, member := range members {
		hosts = append(hosts, member.address.Addr())
	}
	return hosts, true
}

// Sidecars returns the hosts of the sidecars whose upstreams may hold flows.
func (b *Balancer) Sidecars() []netip.Addr {
	hosts := make([]netip.Addr, 0, len(b.sidecars))
	for address := range b.sidecars {
		hosts = append(hosts, address.Addr())
	}
	slices.SortFunc(hosts, netip.Addr.Compare)
	return hosts
}

func (b *Balancer) applyLoad(now clock.Millis, from netip.AddrPort, load relay.Load) {
	if c := b.sidecars[from]; c != nil {
		c.report.Load, c.heard, c.isLate = load, now, false
		c.placed = max(c.placed-1, 0)
	}
}

func (b *Balancer) addToService(c *sidecar, service identity.ServiceID) {
	c.report.Service = service
	b.changed[service] = true
	b.services[service] = append(b.services[service], c)
}

func (b *Balancer) removeFromService(c *sidecar) {
	members := b.services[c.report.Service]
	b.changed[c.report.Service] = true
	members = slices.DeleteFunc(slices.Clone(members), func(m *sidecar) bool { return m == c })
	if len(members) == 0 {
		delete(b.services, c.report.Service)
		return
	}
	b.services[c.report.Service] = members
}

func (b *Balancer) expireSidecars(now clock.Millis) {
	for address, c := range b.sidecars {
		if now-c.heard > sidecarLife {
			b.removeFromService(c)
			delete(b.sidecars, address)
		}
	}
}

// UsableSidecars returns the number of sidecars that may get new flows.
func (b *Balancer) UsableSidecars(now clock.Millis) int {
	count := 0
	for _, c := range b.sidecars {
		if c.usable(now) {
			count++
		}
	}
	return count
}

// pick chooses the sidecar for a new flow: the better of two random ones, so that
// balancers that know the same loads do not all choose the same one. Later
// attempts take the best of all. Full reports that there is none because all others
// are full.
func (b *Balancer) pick(now clock.Millis, o *opening) (best *sidecar, full bool) {
	var candidates []*sidecar
	late := o.late(now)
	for _, c := range b.services[o.service] {
		switch {
		case !c.usable(now) || slices.Contains(o.tried, c.address):
		case c.full(now, late):
			full = true
		default:
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil, full
	}
	if len(o.tried) > 0 || len(candidates) < 3 {
		return b.cheapest(now, candidates), false
	}
	i := b.config.Random(len(candidates))
	j := (i + 1 + b.config.Random(len(candidates)-1)) % len(candidates)
	return b.cheapest(now, []*sidecar{candidates[i], candidates[j]}), false
}

func (b *Balancer) cheapest(now clock.Millis, candidates []*sidecar) *sidecar {
	return slices.MinFunc(candidates, func(x, y *sidecar) int {
		a, b := x.cost(now, b.config.DataCentre), y.cost(now, b.config.DataCentre)
		switch {
		case a < b:
			return -1
		case a > b:
			return 1
		default:
			return 0
		}
	})
}
