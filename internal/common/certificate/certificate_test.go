package certificate_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/certificate"
)

// pair returns a self-signed certificate and its private key in PEM. The serial number
// also selects the key.
func pair(c *qt.C, serial int64) (chain, key []byte) {
	private := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+serial)), ed25519.SeedSize)))
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	c.Assert(err, qt.IsNil)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	c.Assert(err, qt.IsNil)
	chain = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return chain, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})
}

// TestReload guards against handshakes that fail during a renewal, when the certificate
// is already replaced and the private key is not.
func TestReload(t *testing.T) {
	c := qt.New(t)
	chainFile, keyFile := filepath.Join(c.TempDir(), "chain"), filepath.Join(c.TempDir(), "key")
	write := func(path string, content []byte) { c.Assert(os.WriteFile(path, content, 0o600), qt.IsNil) }
	var events []string
	current, err := newCertificate(c, chainFile, keyFile, &events)
	c.Assert(err, qt.Not(qt.IsNil))
	chain, key := pair(c, 1)
	write(chainFile, chain)
	write(keyFile, key)
	current, err = newCertificate(c, chainFile, keyFile, &events)
	c.Assert(err, qt.IsNil)
	serial := func() int64 {
		presented, err := current.GetCertificate(nil)
		c.Assert(err, qt.IsNil)
		leaf, err := x509.ParseCertificate(presented.Certificate[0])
		c.Assert(err, qt.IsNil)
		return leaf.SerialNumber.Int64()
	}
	c.Check(serial(), qt.Equals, int64(1))
	chain, key = pair(c, 2)
	write(chainFile, chain)
	current.Watcher().Check()
	c.Check(serial(), qt.Equals, int64(1))
	write(keyFile, key)
	current.Watcher().Check()
	c.Check(serial(), qt.Equals, int64(2))
	c.Check(events, qt.DeepEquals, []string{"certificate-reloaded"})
}

func newCertificate(c *qt.C, chainFile, keyFile string, events *[]string) (*certificate.Certificate, error) {
	return certificate.New(certificate.Config{
		CertificateFile: chainFile, PrivateKeyFile: keyFile,
		LogEvent: func(event string, err error) {
			c.Check(err, qt.IsNil)
			*events = append(*events, event)
		},
	})
}
