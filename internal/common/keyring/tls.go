package keyring

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/samber/oops"
)

const (
	certificateLifetime = 10 * 365 * 24 * time.Hour
	// certificateBackdate tolerates differences between the clocks of hosts.
	certificateBackdate = 24 * time.Hour
	serverName          = "orioledyke"
)

// TLS returns a configuration of mutual TLS for connections between processes, with the
// given ALPN protocols. The process signs its own certificate with the active generation.
// It accepts a peer whose certificate is signed with any generation that is in the ring
// at the time of the handshake.
func (s *Store) TLS(protocols ...string) *tls.Config {
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ServerName: serverName,
		ClientAuth: tls.RequireAnyClientCert,
		// VerifyPeerCertificate verifies the chain against the current ring instead,
		// because the ring may change while this configuration is in use.
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error { return s.verify(raw) },
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Ring().Active().certificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.Ring().Active().certificate()
		},
		// A resumed session would skip this verification.
		SessionTicketsDisabled: true,
	}
	return config
}

// verify checks that the peer's certificate is signed with a generation of the current
// ring.
func (s *Store) verify(raw [][]byte) error {
	if len(raw) == 0 {
		return oops.Code("peer-not-authenticated").Errorf("peer sent no certificate")
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return oops.Code("peer-not-authenticated").Wrap(err)
	}
	pool := x509.NewCertPool()
	for _, keys := range s.Ring().keys {
		if keys == nil {
			continue
		}
		authority, err := keys.authorityCertificate()
		if err != nil {
			return err
		}
		pool.AddCert(authority)
	}
	options := x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := leaf.Verify(options); err != nil {
		return oops.Code("peer-not-authenticated").Wrapf(err, "peer holds no key of this ring")
	}
	return nil
}

// newAuthorityCertificate returns the certificate authority of the generation. Its key
// is derived from the secret, so every process with the key ring has the same authority.
func (k *Keys) newAuthorityCertificate() (*x509.Certificate, error) {
	private := ed25519.NewKeyFromSeed(k.authority)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(int64(k.generation) + 1),
		Subject:      pkix.Name{CommonName: "orioledyke authority"},
		// Fixed dates make the certificate identical in every process.
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return x509.ParseCertificate(der)
}

// newCertificate returns a certificate of this process with a new key, signed by the
// authority of the generation.
func (k *Keys) newCertificate() (*tls.Certificate, error) {
	authority, err := k.authorityCertificate()
	if err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: serverName},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-certificateBackdate),
		NotAfter:     now.Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, ed25519.NewKeyFromSeed(k.authority))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}
