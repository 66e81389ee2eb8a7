package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
	"github.com/samber/oops"
)

const (
	fileMode            = 0o600
	certificateLifetime = 24 * time.Hour
)

// processSettings holds the keys of a settings file. The types of package settings
// are not used here because they would also write the keys that this type omits.
type processSettings struct {
	Role            string           `yaml:"role"`
	Host            string           `yaml:"host"`
	DataCentre      string           `yaml:"data-centre"`
	TunnelAddress   string           `yaml:"tunnel-address"`
	ControlAddress  string           `yaml:"control-address"`
	ObserveAddress  string           `yaml:"observe-address"`
	KeyRingFile     string           `yaml:"key-ring-file"`
	Platform        platformSettings `yaml:"platform"`
	Traces          traceSettings    `yaml:"traces"`
	EntryAddress    string           `yaml:"entry-address,omitempty"`
	Customer        string           `yaml:"customer,omitempty"`
	Service         string           `yaml:"service,omitempty"`
	UpstreamURL     string           `yaml:"upstream-url,omitempty"`
	CertificateFile string           `yaml:"certificate-file,omitempty"`
	PrivateKeyFile  string           `yaml:"private-key-file,omitempty"`
}

type platformSettings struct {
	Address string `yaml:"address"`
}

type traceSettings struct {
	File string `yaml:"file"`
}

type contractFile struct {
	Customer string            `yaml:"customer"`
	Services []contractService `yaml:"services"`
}

type contractService struct {
	Name  string         `yaml:"name"`
	Port  uint16         `yaml:"port"`
	Slots int            `yaml:"slots"`
	Flows int            `yaml:"flows"`
	Kinds []contractKind `yaml:"kinds"`
}

type contractKind struct {
	Name            string  `yaml:"name"`
	Method          string  `yaml:"method"`
	PathPrefix      string  `yaml:"path-prefix"`
	Urgency         int     `yaml:"urgency"`
	GuaranteedShare float64 `yaml:"guaranteed-share,omitempty"`
	Ceiling         float64 `yaml:"ceiling,omitempty"`
	DeadlineMillis  int64   `yaml:"deadline-ms,omitempty"`
	Repeatable      bool    `yaml:"repeatable"`
	Stream          bool    `yaml:"stream"`
}

// files gives the paths of the files of one run, which are all in one temporary
// directory.
type files struct {
	directory string
}

func (f files) path(name string) string { return filepath.Join(f.directory, name) }
func (f files) keyRing() string         { return f.path("key-ring.yaml") }
func (f files) certificate() string     { return f.path("certificate.pem") }
func (f files) privateKey() string      { return f.path("private-key.pem") }
func (f files) contract() string        { return f.path("contract.yaml") }

func (f files) settings(h host) string { return f.path(h.name + ".yaml") }

// hostTrace returns the path of the trace file of the balancer or sidecar of a host.
func (f files) hostTrace(h host) string { return f.trace(h.name) }

// trace returns the path of the trace file of the process with the given name.
func (f files) trace(process string) string { return f.path(process + "-trace.json") }

// write generates the key ring, the certificate with its private key, the contract
// and all settings files.
func (f files) write(l *layout) error {
	if err := f.writeKeyRing(); err != nil {
		return err
	}
	if err := f.writeCertificate(); err != nil {
		return err
	}
	if err := f.writeYAML(f.contract(), newContract(l)); err != nil {
		return err
	}
	for _, b := range l.balancers {
		if err := f.writeYAML(f.settings(b), f.balancerSettings(l, b)); err != nil {
			return err
		}
	}
	for _, u := range slices.Concat(l.upstreams, l.spares, []upstreamHost{l.reused}) {
		if err := f.writeYAML(f.settings(u.host), f.sidecarSettings(l, u)); err != nil {
			return err
		}
	}
	return nil
}

func (f files) writeYAML(path string, value any) error {
	data, err := yaml.Marshal(value)
	if err != nil {
		return oops.Wrapf(err, "encode %s", filepath.Base(path))
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return oops.Wrap(err)
	}
	return nil
}

func (f files) processSettings(l *layout, role string, h host) processSettings {
	return processSettings{
		Role: role, Host: h.name, DataCentre: h.dataCentre,
		TunnelAddress: h.tunnel.String(), ControlAddress: h.control.String(), ObserveAddress: h.observe.String(),
		KeyRingFile: f.keyRing(),
		Platform:    platformSettings{Address: "http://" + l.platform.String()},
		Traces:      traceSettings{File: f.hostTrace(h)},
	}
}

func (f files) balancerSettings(l *layout, h host) processSettings {
	s := f.processSettings(l, "balancer", h)
	s.EntryAddress = h.address.String()
	return s
}

func (f files) sidecarSettings(l *layout, u upstreamHost) processSettings {
	s := f.processSettings(l, "sidecar", u.host)
	s.Customer, s.Service = customer, u.service
	s.UpstreamURL = "http://" + u.upstream.String()
	s.CertificateFile, s.PrivateKeyFile = f.certificate(), f.privateKey()
	return s
}

func newContract(l *layout) contractFile {
	service := func(name string, port uint16, kinds ...contractKind) contractService {
		return contractService{Name: name, Port: port, Slots: slotsPerUpstream, Flows: flowsPerUpstream, Kinds: kinds}
	}
	return contractFile{Customer: customer, Services: []contractService{
		service(
			upstream.GrowerPortal, l.growerPortalPort,
			contractKind{
				Name: "booking", Method: "POST", PathPrefix: "/bookings", Urgency: 9,
				GuaranteedShare: 0.5, Ceiling: 1, DeadlineMillis: 2000,
			},
			contractKind{Name: "board", Method: "GET", PathPrefix: "/board", Urgency: 8, Stream: true},
		),
		service(upstream.Weighbridge, l.weighbridgePort, contractKind{
			Name: "weigh-in", Method: "POST", PathPrefix: "/weigh-ins", Urgency: 3,
			GuaranteedShare: 0.5, Ceiling: 1, DeadlineMillis: 3000, Repeatable: true,
		}),
	}}
}

func (f files) writeKeyRing() error {
	type generation struct {
		Number int    `yaml:"number"`
		Secret string `yaml:"secret"`
	}
	secret := make([]byte, keyring.SecretSize)
	// Since Go 1.24, crypto/rand.Read never returns an error.
	_, _ = rand.Read(secret)
	return f.writeYAML(f.keyRing(), struct {
		Active      int          `yaml:"active"`
		Generations []generation `yaml:"generations"`
	}{Active: 1, Generations: []generation{{Number: 1, Secret: base64.StdEncoding.EncodeToString(secret)}}})
}

func (f files) writeCertificate() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return oops.Wrap(err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: certificateName}, DNSNames: []string{certificateName},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateLifetime),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return oops.Wrap(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return oops.Wrap(err)
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate})
	if err := os.WriteFile(f.certificate(), block, fileMode); err != nil {
		return oops.Wrap(err)
	}
	block = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded})
	if err := os.WriteFile(f.privateKey(), block, fileMode); err != nil {
		return oops.Wrap(err)
	}
	return nil
}

// mergeTraces writes the spans of the clients, the balancers, and the upstreams of
// the layout with their sidecars to the file target. It skips processes without a
// trace file.
func (f files) mergeTraces(l *layout, target string) error {
	processes := []string{clientName}
	for _, b := range l.balancers {
		processes = append(processes, b.name)
	}
	for _, u := range l.upstreams {
		processes = append(processes, u.name, u.upstreamName())
	}
	var spans []byte
	for _, name := range processes {
		data, err := os.ReadFile(f.trace(name))
		if err != nil {
			if os.IsNotExist(err) {
				continue
			}
			return oops.Wrap(err)
		}
		spans = append(spans, data...)
	}
	if err := os.WriteFile(target, spans, 0o644); err != nil {
		return oops.Wrap(err)
	}
	return nil
}
