package settings

import (
	"net/netip"
	"time"
)

// FlowProcess holds the settings that both roles for flows without a connection ID
// have.
type FlowProcess struct {
	Role       Role   `yaml:"role" rule:"role,required"`
	Host       string `yaml:"host" rule:"label,required"`
	DataCentre string `yaml:"data-centre" rule:"label,required"`
	// RelayAddress is the UDP and TCP address for other processes. All hosts use
	// the same port.
	RelayAddress netip.AddrPort `yaml:"relay-address" rule:"reachable,required"`
	// PacketAddress is the UDP address for packets. Clients receive packets at the
	// same port.
	PacketAddress  netip.AddrPort `yaml:"packet-address" rule:"reachable,required"`
	ReadyAddress   netip.AddrPort `yaml:"ready-address" rule:"address,required"`
	ObserveAddress netip.AddrPort `yaml:"observe-address" rule:"address,required"`
	// StoreAddress is the metadata store.
	StoreAddress netip.AddrPort `yaml:"store-address" rule:"reachable,required"`
	// Seeds are addresses on hosts of balancers. Only the hosts count.
	Seeds []netip.AddrPort `yaml:"seeds" rule:"reachable"`
	// DrainTimeout is how long the process may run on after SIGTERM.
	DrainTimeout time.Duration `yaml:"drain-timeout" rule:"positive,required"`
	// LinkRate is the rate of the host's link in megabits a second. Zero means not
	// known.
	LinkRate float64 `yaml:"link-rate-mbps" rule:"rate"`
	// FlowLifetime is the age at which a flow may be forgotten.
	FlowLifetime time.Duration `yaml:"flow-lifetime" rule:"positive,required"`

	source source
}

// File returns the path that the settings were read from.
func (p *FlowProcess) File() string { return p.source.file }

func (p *FlowProcess) listening() []keyed {
	return []keyed{
		{"relay-address", p.RelayAddress},
		{"packet-address", p.PacketAddress},
		{"ready-address", p.ReadyAddress},
		{"observe-address", p.ObserveAddress},
	}
}

// FlowBalancer holds the settings of a balancer for flows without a connection ID.
type FlowBalancer struct {
	FlowProcess `yaml:",inline"`
}

func (b *FlowBalancer) check() Faults {
	return append(checkRole(b.source, b.Role, RoleFlowBalancer), distinct(b.source, b.listening())...)
}

// FlowSidecar holds the settings of a sidecar for flows without a connection ID.
type FlowSidecar struct {
	FlowProcess `yaml:",inline"`
	// Service is the service that the upstream must belong to.
	Service string `yaml:"service" rule:"label,required"`
	// UpstreamAddress is where the upstream receives packets.
	UpstreamAddress netip.AddrPort `yaml:"upstream-address" rule:"reachable,required"`
	// HeartbeatInterval is the time between two heartbeats of the upstream.
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval" rule:"positive,required"`
	// OutboundAddress is where the upstream sends its packets.
	OutboundAddress netip.AddrPort `yaml:"outbound-address" rule:"address,required"`
	// ControlAddress is where the upstream sends its heartbeats.
	ControlAddress netip.AddrPort `yaml:"control-address" rule:"address,required"`
}

func (s *FlowSidecar) check() Faults {
	addresses := append(s.listening(),
		keyed{"outbound-address", s.OutboundAddress},
		keyed{"control-address", s.ControlAddress},
	)
	return append(checkRole(s.source, s.Role, RoleFlowSidecar), distinct(s.source, addresses)...)
}
