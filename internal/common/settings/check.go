package settings

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
)

// keyedAddress is an address and the settings key that it comes from.
type keyedAddress struct {
	key     string
	address netip.AddrPort
}

// listenAddresses returns the addresses that the process listens on.
func (p *Process) listenAddresses() []keyedAddress {
	return []keyedAddress{
		{"tunnel-address", p.TunnelAddress},
		{"control-address", p.ControlAddress},
		{"observe-address", p.ObserveAddress},
	}
}

// overlap reports whether two processes on the same host cannot listen on a and b at
// the same time.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	x, y := a.Addr().Unmap(), b.Addr().Unmap()
	return x == y || x.IsUnspecified() || y.IsUnspecified()
}

// checkDistinct reports each address that overlaps with an earlier one of the same
// process.
func checkDistinct(source source, addresses []keyedAddress) Faults {
	var faults Faults
	for i, a := range addresses {
		for _, b := range addresses[:i] {
			if overlap(a.address, b.address) {
				faults = append(faults, source.fault(a.key,
					fmt.Sprintf("%s is also the address of %s; want a different address for each key", a.address, b.key)))
				break
			}
		}
	}
	return faults
}

func (p *Process) checkRole(want Role) Faults {
	return checkRole(p.source, p.Role, want)
}

// checkRole reports a role that belongs to another command. A role that does not exist
// is reported by the rule of the key role.
func checkRole(source source, role, want Role) Faults {
	if role == want || (rule{kind: "role"}).check(role) != "" {
		return nil
	}
	return Faults{source.fault("role", fmt.Sprintf("%q is not allowed; want %s for this command", role, want))}
}

func (b *Balancer) check() Faults {
	faults := append(b.checkRole(RoleBalancer), checkDistinct(b.source, b.listenAddresses())...)
	if b.source.lines["platform.address"] == 0 {
		// A balancer may be one of the two that watch the platform on behalf of its
		// data centre, so seeds alone are not enough.
		faults = append(faults, b.source.fault("platform.address", "missing; want "+wantByKind["url"]))
	}
	return faults
}

func (s *Sidecar) check() Faults {
	addresses := s.listenAddresses()
	if u, err := url.Parse(s.UpstreamURL); err == nil {
		if upstream, err := netip.ParseAddrPort(u.Host); err == nil {
			addresses = append(addresses, keyedAddress{"upstream-url", upstream})
		}
	}
	faults := append(s.checkRole(RoleSidecar), checkDistinct(s.source, addresses)...)
	if s.source.lines["platform.address"] == 0 && len(s.Seeds) == 0 {
		faults = append(faults, s.source.fault("platform.address", "missing; want "+wantByKind["url"]+", or the key seeds"))
	}
	return append(faults, s.checkCertificate()...)
}

// checkCertificate reports every error of tls.X509KeyPair, such as a private key that
// does not match the certificate. A file that cannot be read is reported by the rule of
// its settings key.
func (s *Sidecar) checkCertificate() Faults {
	certificate, err := readLimited(s.CertificateFile)
	if err != nil {
		return nil
	}
	privateKey, err := readLimited(s.PrivateKeyFile)
	if err != nil {
		return nil
	}
	if _, err := tls.X509KeyPair(certificate, privateKey); err != nil {
		problem := strings.TrimPrefix(err.Error(), "tls: ")
		return Faults{s.source.fault("certificate-file", problem+"; want a PEM certificate chain that belongs to private-key-file")}
	}
	return nil
}
