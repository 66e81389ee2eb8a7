package fleet

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/flow/registration"
)

// Remote connects a Cluster to balancers and sidecars that run as separate processes. They
// replace the decision logic in the cluster. Routers, clients, upstreams and the oracle stay
// in the cluster.
type Remote struct {
	// ClientHost is the address of the host on which all clients run.
	ClientHost netip.Addr
	// UpstreamAddress returns the address on which an upstream listens.
	UpstreamAddress func(upstream int) netip.AddrPort
	// ToBalancer carries a client's packet to a balancer.
	ToBalancer func(balancer int, packet []byte)
	// ToSidecar carries an upstream's packet to its sidecar.
	ToSidecar func(upstream int, packet []byte)
	// Heartbeat sends a heartbeat of an upstream to its sidecar.
	Heartbeat func(upstream int, h registration.Heartbeat)
	// Deregister notifies a sidecar that the incarnation of its upstream with this
	// identifier and start time has left.
	Deregister func(upstream int, id string, startedAt int64)
}

// clientPorts is the number of ports that clients use on their host. Further clients reuse
// these ports.
const clientPorts = 60_000

// remoteClient returns the address of the next client.
func (c *Cluster) remoteClient() netip.AddrPort {
	return netip.AddrPortFrom(c.config.Remote.ClientHost, uint16(1024+c.flowCount%clientPorts))
}

// SetReady records for the routers whether a balancer outside of the cluster passed its
// readiness probe.
func (c *Cluster) SetReady(balancer int, ready bool) {
	b := c.balancers[balancer]
	if ready {
		b.failedProbes = 0
		return
	}
	b.failedProbes++
}

// SetSidecarInterrupted records whether the process of a sidecar outside of the cluster is
// interrupted without notice: killed and not restarted yet, or paused.
func (c *Cluster) SetSidecarInterrupted(upstream int, interrupted bool) {
	u := c.upstreams[upstream]
	switch {
	case u.sidecarInterrupted == interrupted:
	case interrupted:
		u.sidecarInterrupted, u.sidecarKilled, u.sidecarEndedAt = true, true, c.now
	default:
		u.sidecarInterrupted, u.sidecarStartedAt = false, c.now
	}
}

// RepeatableRoute reports whether the requests of a route may be repeated.
func RepeatableRoute(route int) bool { return repeatableRoute(route) }

// DeliverToClient delivers a packet from a balancer or sidecar outside of the cluster to
// its client. Packets shorter than a header are dropped.
func (c *Cluster) DeliverToClient(packet []byte) {
	if len(packet) >= headerSize {
		c.receiveClient(decode(packet))
	}
}

// DeliverToUpstream delivers a packet from the sidecar outside of the cluster to an
// upstream. Packets shorter than a header are dropped.
func (c *Cluster) DeliverToUpstream(upstream int, packet []byte) {
	if len(packet) >= headerSize {
		c.upstreams[upstream].handle(decode(packet), packet, nil)
	}
}

// HeartbeatAcknowledged records that the sidecar outside of the cluster has acknowledged a
// heartbeat.
func (c *Cluster) HeartbeatAcknowledged(upstream int, h registration.Heartbeat) {
	u := c.upstreams[upstream]
	if h.Draining && h.StartedAt == u.startedAt && u.drainAcknowledgedAt == 0 {
		u.drainAcknowledgedAt = c.now
	}
}

// UpstreamAlive reports whether an upstream runs.
func (c *Cluster) UpstreamAlive(upstream int) bool {
	u := c.upstreams[upstream]
	return u.upstreamUp && !u.removed
}

// ServiceName returns the name of an upstream's service.
func (c *Cluster) ServiceName(upstream int) string { return serviceName(c.upstreams[upstream].service) }

// ServiceAddress returns the address to which clients of a service connect.
func ServiceAddress(service int) netip.AddrPort { return serviceAddress(service) }
