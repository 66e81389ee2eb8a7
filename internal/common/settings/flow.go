package settings

import (
	"net/netip"
	"time"
)

// FlowProcess holds the settings that balancers and sidecars for flows without a
// connection ID have in common.
type FlowProcess struct {
	Role       Role   `yaml:"role" rule:"role,required"`
	Host       string `yaml:"host" rule:"label,required"`
	DataCentre string `yaml:"data-centre" rule:"label,required"`
	// RelayAddress is the UDP and TCP address for messages from other processes. Its
	// port must be the same on all hosts.
	RelayAddress netip.AddrPort `yaml:"relay-address" rule:"reachable,required"`
	// PacketAddress is the UDP address for packets of flows. Clients receive packets at
	// the same port.
	PacketAddress netip.AddrPort `yaml:"packet-address" rule:"reachable,required"`
	// ReadyAddress is the TCP address for readiness probes.
	ReadyAddress netip.AddrPort `yaml:"ready-address" rule:"address,required"`
	// ObserveAddress is the TCP address that serves metrics and readiness.
	ObserveAddress netip.AddrPort `yaml:"observe-address" rule:"address,required"`
	// StoreAddress is the TCP address of the metadata store.
	StoreAddress netip.AddrPort `yaml:"store-address" rule:"reachable,required"`
	// Seeds are addresses on hosts that run a balancer. Only the IP addresses are used.
	Seeds []netip.AddrPort `yaml:"seeds" rule:"reachable"`
	// DrainTimeout is the maximum time that the process keeps running after SIGTERM.
	DrainTimeout time.Duration `yaml:"drain-timeout" rule:"positive,required"`
	// LinkRate is the bandwidth of the host's network link in megabits per second. Zero
	// means that it is not known.
	LinkRate float64 `yaml:"link-rate-mbps" rule:"rate"`
	// FlowLifetime is the age after which the state of a flow may be discarded.
	FlowLifetime time.Duration `yaml:"flow-lifetime" rule:"positive,required"`

	source source
}

// File returns the path that the settings were read from.
func (p *FlowProcess) File() string { return p.source.file }

func (p *FlowProcess) listenAddresses() []keyedAddress {
	return []keyedAddress{
		{"relay-address", p.RelayAddress},
		{"packet-address", p.PacketAddress},
		{"ready-address", p.ReadyAddress},
		{"observe-address", p.ObserveAddress},
	}
}

// FlowBalancer holds the settings of a balancer for flows without a connection ID.
type FlowBalancer struct {
	FlowProcess `yaml:",inline"`
	// MaxEjectedShare is the largest share of the upstreams of a service that get only trial
	// flows at a time because they fail. With 0, failures do not affect placement.
	MaxEjectedShare float64 `yaml:"max-ejected-share" rule:"third"`
}

func (b *FlowBalancer) check() Faults {
	return append(checkRole(b.source, b.Role, RoleFlowBalancer), checkDistinct(b.source, b.listenAddresses())...)
}

// FlowSidecar holds the settings of a sidecar for flows without a connection ID.
type FlowSidecar struct {
	FlowProcess `yaml:",inline"`
	// Service is the name of the service that the upstream must belong to.
	Service string `yaml:"service" rule:"label,required"`
	// UpstreamAddress is the UDP address at which the upstream receives packets.
	UpstreamAddress netip.AddrPort `yaml:"upstream-address" rule:"reachable,required"`
	// HeartbeatInterval is the time between two heartbeats of the upstream.
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval" rule:"positive,required"`
	// OutboundAddress is the UDP address to which the upstream sends its packets.
	OutboundAddress netip.AddrPort `yaml:"outbound-address" rule:"address,required"`
	// ControlAddress is the TCP address to which the upstream sends its heartbeats.
	ControlAddress netip.AddrPort `yaml:"control-address" rule:"address,required"`
}

func (s *FlowSidecar) check() Faults {
	addresses := append(s.listenAddresses(),
		keyedAddress{"outbound-address", s.OutboundAddress},
		keyedAddress{"control-address", s.ControlAddress},
	)
	return append(checkRole(s.source, s.Role, RoleFlowSidecar), checkDistinct(s.source, addresses)...)
}
