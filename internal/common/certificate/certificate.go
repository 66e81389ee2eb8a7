// Package certificate holds the certificate that a sidecar presents to clients.
package certificate

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/reload"
	"github.com/samber/oops"
)

// Config configures a Certificate.
type Config struct {
	// CertificateFile holds a PEM certificate chain, PrivateKeyFile its key.
	CertificateFile string
	PrivateKeyFile  string
	// Interval and After are those of reload.Config.
	Interval time.Duration
	After    func(time.Duration) <-chan time.Time
	// LogEvent receives the events certificate-reloaded and certificate-rejected.
	LogEvent func(event string, err error)
}

// Certificate is the current certificate and private key. It is safe for
// concurrent use.
type Certificate struct {
	current atomic.Pointer[tls.Certificate]
	watcher *reload.Watcher
}

// New reads the files. An error means that they cannot be read or do not belong
// together.
func New(config Config) (*Certificate, error) {
	c := &Certificate{}
	var err error
	c.watcher, err = reload.New(reload.Config{
		Name:     "certificate",
		Files:    []string{config.CertificateFile, config.PrivateKeyFile},
		Interval: config.Interval,
		After:    config.After,
		LogEvent: config.LogEvent,
		Apply: func(contents [][]byte) error {
			pair, err := tls.X509KeyPair(contents[0], contents[1])
			if err != nil {
				return oops.Code("certificate-invalid").Wrapf(err, "%s and %s", config.CertificateFile, config.PrivateKeyFile)
			}
			c.current.Store(&pair)
			return nil
		},
	})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Watcher replaces the certificate whenever its files change.
func (c *Certificate) Watcher() *reload.Watcher { return c.watcher }

// GetCertificate returns the current certificate for a handshake.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}
