// Package certificate loads the certificate that a sidecar presents to clients and
// replaces it when its files change.
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
	// CertificateFile is the path of a PEM certificate chain.
	CertificateFile string
	// PrivateKeyFile is the path of the chain's private key in PEM.
	PrivateKeyFile string
	// Interval and After have the meaning that they have in reload.Config.
	Interval time.Duration
	After    func(time.Duration) <-chan time.Time
	// LogEvent logs the events certificate-reloaded and certificate-rejected.
	LogEvent func(event string, err error)
}

// Certificate holds the current certificate and private key. It is safe for
// concurrent use.
type Certificate struct {
	current atomic.Pointer[tls.Certificate]
	watcher *reload.Watcher
}

// New reads the files. It returns an error if a file cannot be read, or if the files do
// not hold a certificate chain and its private key.
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

// Watcher returns the watcher that replaces the certificate when its files change. The
// caller runs it.
func (c *Certificate) Watcher() *reload.Watcher { return c.watcher }

// GetCertificate returns the current certificate, in the form that tls.Config needs.
// The error is always nil.
func (c *Certificate) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current.Load(), nil
}
