package fleet

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/registration"
)

// Remote connects a Cluster to processes of the system outside of it, in place of the
// decisions inside. Routers, clients, upstreams and the oracle stay.
type Remote struct {
	// ClientHost is the host of all clients, and UpstreamAddress returns the address of an upstream.
	ClientHost      netip.Addr
	UpstreamAddress func(upstream int) netip.AddrPort
	// ToBalancer carries a client's packet to a balancer, ToSidecar that of an
	// upstream to its sidecar.
	ToBalancer func(balancer int, packet []byte)
	ToSidecar  func(upstream int, packet []byte)
	// Heartbeat and Leave give a sidecar what its upstream says of itself.
	Heartbeat func(upstream int, h registration.Heartbeat)
	Leave     func(upstream int, id string, born int64)
}

// maxClients is the number of ports of the clients' host.
const maxClients = 60_000

// remoteClient returns the address of the next client.
func (w *Cluster) remoteClient() netip.AddrPort {
	return netip.AddrPortFrom(w.config.Remote.ClientHost, uint16(1024+w.clients%maxClients))
}

// SetReady tells the routers whether a balancer outside answers its probes.
func (w *Cluster) SetReady(balancer int, ready bool) {
	b := w.balancers[balancer]
	if ready {
		b.misses = 0
		return
	}
	b.misses++
}

// DeliverToClient delivers a packet to its client.
func (w *Cluster) DeliverToClient(packet []byte) {
	if len(packet) >= headSize {
		w.receiveClient(decode(packet))
	}
}

// DeliverToUpstream delivers a packet to an upstream.
func (w *Cluster) DeliverToUpstream(upstream int, packet []byte) {
	if len(packet) >= headSize {
		w.upstreams[upstream].handle(decode(packet), packet)
	}
}

// HeartbeatAcknowledged tells that the sidecar outside has acknowledged a heartbeat.
func (w *Cluster) HeartbeatAcknowledged(upstream int, h registration.Heartbeat) {
	u := w.upstreams[upstream]
	if h.Draining && h.StartedAt == u.bornAt && u.acknowledged == 0 {
		u.acknowledged = w.now
	}
}

// UpstreamAlive reports whether an upstream runs.
func (w *Cluster) UpstreamAlive(upstream int) bool {
	u := w.upstreams[upstream]
	return u.alive && !u.removed
}

// ServiceName returns the name of an upstream's service, and ServiceAddress the address
// that clients call.
func (w *Cluster) ServiceName(upstream int) string { return serviceName(w.upstreams[upstream].service) }

// ServiceAddress returns the address that clients of a service call.
func ServiceAddress(service int) netip.AddrPort { return serviceAddress(service) }
