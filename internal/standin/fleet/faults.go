package fleet

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
)

// KillSidecar ends a sidecar without notice; its upstream lives on.
func (w *Cluster) KillSidecar(index int, down clock.Millis) {
	u := w.upstreams[index]
	if !u.up || u.removed {
		return
	}
	u.up = false
	w.after(down, func() {
		if !u.removed {
			u.startSidecar()
		}
	})
}

// RestartUpstream ends an upstream without notice and starts it again.
func (w *Cluster) RestartUpstream(index int, down clock.Millis) {
	u := w.upstreams[index]
	if !u.alive || u.removed {
		return
	}
	u.alive = false
	w.after(down, func() {
		if !u.removed {
			u.startUpstream()
		}
	})
}

// SendStaleHeartbeat gives a sidecar a heartbeat of an incarnation that ended long ago.
func (w *Cluster) SendStaleHeartbeat(index int) {
	u := w.upstreams[index]
	if u.removed || !u.alive {
		return
	}
	u.heartbeat(registration.Heartbeat{
		ID: "u-old", Service: serviceName(u.service), Address: u.app, StartedAt: u.bornAt - 1000, Sequence: 900, Slots: slots,
	})
}

// DrainUpstream makes an upstream leave: it reports the drain at once and ends when its work
// is done.
func (w *Cluster) DrainUpstream(index int) {
	u := w.upstreams[index]
	if u.draining || !u.alive || u.removed {
		return
	}
	u.draining = true
	u.sequence++
	u.heartbeat(registration.Heartbeat{
		ID: u.id, Service: serviceName(u.service), Address: u.app, StartedAt: u.bornAt, Sequence: u.sequence, Draining: true, Slots: slots,
	})
	w.after(drainLimit+clock.Second, func() { w.SendStaleHeartbeat(index) })
	w.after(6*clock.Second, func() { u.leave() })
}

func (u *upstreamHost) leave() {
	if u.removed || !u.draining {
		return
	}
	switch remote := u.cluster.config.Remote; {
	case remote != nil:
		remote.Leave(u.index, u.id, u.bornAt)
	case u.up:
		u.registration.Deregister(u.id, u.bornAt)
		u.report(u.run)
	}
	u.alive, u.up, u.removed = false, false, true
}

// ReuseAddress ends an upstream and its sidecar for good and gives their address to
// another service. One balancer misses the reports of that time.
func (w *Cluster) ReuseAddress(index, service int) {
	u := w.upstreams[index]
	if u.removed || u.service == service {
		return
	}
	u.alive, u.up = false, false
	u.run++
	w.balancers[w.random.IntN(len(w.balancers))].deafUntil = w.now + clock.Second
	w.after(clock.Millis(w.random.IntN(int(clock.Second))), func() {
		u.service = service
		u.startUpstream()
		u.startSidecar()
	})
}

// Upstreams returns the number of hosts with an upstream so far.
func (w *Cluster) Upstreams() int { return len(w.upstreams) }

// ServingUpstreams returns how many upstreams of a service neither drain nor have ended.
func (w *Cluster) ServingUpstreams(service int) int {
	count := 0
	for _, u := range w.upstreams {
		if u.service == service && u.alive && !u.draining && !u.removed {
			count++
		}
	}
	return count
}

// Service returns the service of an upstream.
func (w *Cluster) Service(index int) int { return w.upstreams[index].service }
