package fleet

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// KillSidecar kills a sidecar without notice and restarts it after the downtime. Its
// upstream keeps running.
func (c *Cluster) KillSidecar(index int, down clock.Millis) {
	u := c.upstreams[index]
	if !u.sidecarUp || u.removed {
		return
	}
	u.sidecarUp, u.sidecarKilled = false, !u.sidecarStopping
	if !u.sidecarInterrupted {
		u.sidecarEndedAt = c.now
	}
	u.pausedUntil, u.sidecarInterrupted = 0, false
	c.after(down, func() {
		if !u.removed {
			u.startSidecar()
		}
	})
}

// PauseSidecar pauses the process of a sidecar. What arrives meanwhile waits.
func (c *Cluster) PauseSidecar(index int, d clock.Millis) {
	u := c.upstreams[index]
	if !u.sidecarUp || u.removed {
		return
	}
	u.pausedUntil = c.now + d
	u.timeline.add(c.now, "paused for %d ms", d)
	c.SetSidecarInterrupted(index, true)
	u.whenRunning(func() { c.SetSidecarInterrupted(index, false) })
}

// StopSidecar stops a sidecar gracefully and restarts it after the downtime. Its upstream
// keeps running.
func (c *Cluster) StopSidecar(index int, down clock.Millis) {
	u := c.upstreams[index]
	if !u.sidecarUp || u.removed || u.sidecarStopping {
		return
	}
	u.sidecarStopping = true
	u.logic.Refuse(relay.ReasonStopping)
	u.report(c.balancers...)
	incarnation := u.sidecarIncarnation
	c.after(clock.Second, func() {
		if u.sidecarIncarnation == incarnation {
			c.KillSidecar(index, down)
		}
	})
}

// RestartUpstream kills an upstream without notice and restarts it after the downtime.
func (c *Cluster) RestartUpstream(index int, down clock.Millis) {
	u := c.upstreams[index]
	if !u.upstreamUp || u.removed {
		return
	}
	u.upstreamUp = false
	c.after(down, func() {
		if !u.removed {
			u.startUpstream()
		}
	})
}

// SendStaleHeartbeat sends a sidecar a heartbeat of an earlier incarnation of its upstream.
// The sequence number of this heartbeat is higher than those of the current incarnation.
func (c *Cluster) SendStaleHeartbeat(index int) {
	u := c.upstreams[index]
	if u.removed || !u.upstreamUp {
		return
	}
	u.deliverHeartbeat(registration.Heartbeat{
		ID: "u-old", Service: serviceName(u.service), Address: u.upstreamAddress, StartedAt: u.startedAt - 1000, Sequence: 900, Slots: slots,
	})
}

// DrainUpstream makes an upstream leave. The upstream reports the drain at once and ends 6 s
// later. A stale heartbeat is sent 1 s after the grace period of the drain.
func (c *Cluster) DrainUpstream(index int) {
	u := c.upstreams[index]
	if u.draining || !u.upstreamUp || u.removed {
		return
	}
	u.draining = true
	u.sequence++
	u.deliverHeartbeat(registration.Heartbeat{
		ID: u.id, Service: serviceName(u.service), Address: u.upstreamAddress, StartedAt: u.startedAt, Sequence: u.sequence, Draining: true, Slots: slots,
	})
	c.after(drainGracePeriod+clock.Second, func() { c.SendStaleHeartbeat(index) })
	c.after(6*clock.Second, func() { u.finishDrain() })
}

// finishDrain deregisters a drained upstream and removes its host.
func (u *upstreamHost) finishDrain() {
	if u.removed || !u.draining {
		return
	}
	switch remote := u.cluster.config.Remote; {
	case remote != nil:
		remote.Deregister(u.index, u.id, u.startedAt)
	case u.sidecarUp:
		u.registration.Deregister(u.id, u.startedAt)
		u.tickAndReport(u.sidecarIncarnation)
	}
	u.upstreamUp, u.sidecarUp, u.removed = false, false, true
}

// ReuseAddress ends an upstream and its sidecar for good and gives their address to another
// service within 1 s. One balancer receives no reports of that sidecar in that second.
// Nothing happens if the service already has the address.
func (c *Cluster) ReuseAddress(index, service int) {
	u := c.upstreams[index]
	if u.removed || u.service == service {
		return
	}
	u.upstreamUp, u.sidecarUp = false, false
	u.sidecarIncarnation++
	c.balancers[c.random.IntN(len(c.balancers))].reportsLostUntil[index] = c.now + clock.Second
	c.after(clock.Millis(c.random.IntN(int(clock.Second))), func() {
		u.service = service
		u.startUpstream()
		u.startSidecar()
	})
}

// LoseReports loses all reports of sidecars for a while.
func (c *Cluster) LoseReports(d clock.Millis) {
	for _, b := range c.balancers {
		for _, u := range c.upstreams {
			b.reportsLostUntil[u.index] = c.now + d
		}
	}
}

// Upstreams returns the number of hosts with an upstream so far, including removed ones.
func (c *Cluster) Upstreams() int { return len(c.upstreams) }

// ServingUpstreams returns the number of upstreams of a service that neither drain nor have
// ended.
func (c *Cluster) ServingUpstreams(service int) int {
	count := 0
	for _, u := range c.upstreams {
		if u.service == service && u.upstreamUp && !u.draining && !u.removed {
			count++
		}
	}
	return count
}

// Service returns the service of an upstream.
func (c *Cluster) Service(index int) int { return c.upstreams[index].service }
