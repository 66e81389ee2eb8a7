// Package settings reads and checks the YAML settings files of processes.
package settings

import (
	"net/netip"
	"time"
)

// Role is the kind of process that a settings file configures.
type Role string

// Roles of processes.
const (
	RoleBalancer Role = "balancer"
	RoleSidecar  Role = "sidecar"
	// RoleFlowBalancer and RoleFlowSidecar are for flows without a connection ID.
	RoleFlowBalancer Role = "flow-balancer"
	RoleFlowSidecar  Role = "flow-sidecar"
)

// Process holds the settings that balancers and sidecars have in common. The rule tags
// are described at the type rule and at wantByKind.
type Process struct {
	Role           Role           `yaml:"role" rule:"role,required"`
	Host           string         `yaml:"host" rule:"name,required"`
	DataCentre     string         `yaml:"data-centre" rule:"name,required"`
	TunnelAddress  netip.AddrPort `yaml:"tunnel-address" rule:"reachable,required"`
	ControlAddress netip.AddrPort `yaml:"control-address" rule:"reachable,required"`
	// ObserveAddress is the TCP address that serves metrics and readiness.
	ObserveAddress netip.AddrPort `yaml:"observe-address" rule:"address,required"`
	KeyRingFile    string         `yaml:"key-ring-file" rule:"key-ring,required"`
	// ReloadInterval is the time between two checks of the key ring and certificate
	// files for changes. Zero means one second.
	ReloadInterval time.Duration `yaml:"reload-interval" rule:"positive"`
	Platform       Platform      `yaml:"platform"`
	// Seeds are control addresses of balancers. They are used in addition to those that
	// the platform lists, and alone while the platform is unavailable.
	Seeds  []netip.AddrPort `yaml:"seeds" rule:"reachable"`
	Traces Traces           `yaml:"traces"`

	source source
}

// File returns the path that the settings were read from.
func (p *Process) File() string { return p.source.file }

// Platform configures the connection to the platform's key-value service.
type Platform struct {
	// Address is the base URL of the service.
	Address string `yaml:"address" rule:"url"`
	// TokenFile is the path of a file with the access token, or empty for none.
	TokenFile string `yaml:"token-file" rule:"file"`
}

// Traces configures the outputs of spans. If both outputs are empty, no spans are
// recorded.
type Traces struct {
	// File is the path of a file that spans are appended to as JSON.
	File string `yaml:"file" rule:"output"`
	// OTLPEndpoint is the host:port of a collector.
	OTLPEndpoint string `yaml:"otlp-endpoint" rule:"host-port"`
	// SampleRatio is the share of traces that are recorded. Nil means 1. A trace that
	// was started elsewhere is not recorded if its sampled flag is not set.
	SampleRatio *float64 `yaml:"sample-ratio" rule:"ratio"`
}

// Ratio returns the share of traces to record, from 0 to 1.
func (t Traces) Ratio() float64 {
	if t.SampleRatio == nil {
		return 1
	}
	return *t.SampleRatio
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Process `yaml:",inline"`
	// EntryAddress is the IP address of every service. The port of a service is set by a
	// contract.
	EntryAddress netip.Addr `yaml:"entry-address" rule:"ip,required"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process  `yaml:",inline"`
	Customer string `yaml:"customer" rule:"name,required"`
	Service  string `yaml:"service" rule:"name,required"`
	// UpstreamURL is the base URL of the upstream on this host.
	UpstreamURL     string `yaml:"upstream-url" rule:"url,required"`
	CertificateFile string `yaml:"certificate-file" rule:"file,required"`
	PrivateKeyFile  string `yaml:"private-key-file" rule:"file,required"`
}

// source is the file that settings were read from, with the line of each key.
type source struct {
	file  string
	lines map[string]int
}

func (s source) fault(key, problem string) Fault {
	return Fault{File: s.file, Line: s.lines[key], Key: key, Problem: problem}
}

// Load reads settings from a file and checks them as a whole. T is the type of one of the
// four roles. The error is of type Faults and holds every fault.
func Load[T any](path string) (T, error) {
	var zero T
	data, faults := readSettings(path)
	if len(faults) > 0 {
		return zero, faults
	}
	return ParseAs[T](path, data)
}

// ParseAs decodes and checks the content of a settings file of type T. path is only used
// in faults. The error is of type Faults.
func ParseAs[T any](path string, data []byte) (T, error) {
	settings, faults := parse[T](path, data)
	if len(faults) > 0 {
		var zero T
		return zero, faults
	}
	return settings, nil
}

// parse decodes and checks the content of a file, and returns its faults in the order of
// their lines.
func parse[T any](path string, data []byte) (T, Faults) {
	var settings T
	d := decoder{source: source{file: path, lines: map[string]int{}}}
	d.decode(data, &settings)
	if d.malformed {
		return settings, d.faults
	}
	switch s := any(&settings).(type) {
	case *Balancer:
		s.source = d.source
		d.faults = append(d.faults, s.check()...)
	case *Sidecar:
		s.source = d.source
		d.faults = append(d.faults, s.check()...)
	case *FlowBalancer:
		s.source = d.source
		d.faults = append(d.faults, s.check()...)
	case *FlowSidecar:
		s.source = d.source
		d.faults = append(d.faults, s.check()...)
	}
	d.faults.sort()
	return settings, d.faults
}
