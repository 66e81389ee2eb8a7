package commands_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/orioledyke/orioledyke/internal/cli/commands"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"orioledyke": commands.Main})
}

// TestScripts guards against changes in the output and exit codes of commands that
// operators run.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: writeCertificate})
}

// writeCertificate writes a certificate and its private key for each script.
func writeCertificate(env *testscript.Env) error {
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	if err != nil {
		return err
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return err
	}
	for name, block := range map[string]*pem.Block{
		"certificate.pem": {Type: "CERTIFICATE", Bytes: der},
		"key.pem":         {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			return err
		}
	}
	return nil
}
