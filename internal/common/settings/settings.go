// Package settings reads and checks the YAML settings of each process.
package settings

import (
	"net/netip"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"
)

// Process holds the settings that every role has.
type Process struct {
	Host           string         `yaml:"host"`
	DataCentre     string         `yaml:"data-centre"`
	TunnelAddress  netip.AddrPort `yaml:"tunnel-address"`
	ControlAddress netip.AddrPort `yaml:"control-address"`
	// ObserveAddress serves metrics and readiness.
	ObserveAddress netip.AddrPort `yaml:"observe-address"`
	KeyRingFile    string         `yaml:"key-ring-file"`
	Platform       Platform       `yaml:"platform"`
	// Seeds are control addresses of balancers, used when the platform does not
	// answer.
	Seeds  []netip.AddrPort `yaml:"seeds"`
	Traces Traces           `yaml:"traces"`
}

// Platform tells how to reach the platform's key-value service.
type Platform struct {
	// Address is the base URL.
	Address   string `yaml:"address"`
	TokenFile string `yaml:"token-file"`
}

// Traces tells where spans go. Both empty means nowhere.
type Traces struct {
	File         string `yaml:"file"`
	OTLPEndpoint string `yaml:"otlp-endpoint"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Process `yaml:",inline"`
	// EntryAddress is the IP address of every service; a contract gives the port.
	EntryAddress netip.Addr `yaml:"entry-address"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process  `yaml:",inline"`
	Customer string `yaml:"customer"`
	Service  string `yaml:"service"`
	// UpstreamURL is the base URL of the upstream on this host.
	UpstreamURL     string `yaml:"upstream-url"`
	CertificateFile string `yaml:"certificate-file"`
	PrivateKeyFile  string `yaml:"private-key-file"`
}

// Load reads settings of type T from a file. Unknown keys are errors.
func Load[T any](path string) (T, error) {
	var settings T
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, oops.Code("settings-unreadable").Wrapf(err, "read settings")
	}
	if err := yaml.UnmarshalWithOptions(data, &settings, yaml.Strict()); err != nil {
		return settings, oops.Code("settings-invalid").Wrapf(err, "%s", path)
	}
	return settings, nil
}
