package settings_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/settings"
)

const (
	keyRing      = "active: 0\ngenerations:\n- number: 0\n  secret: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"
	otherKeyRing = "active: 1\ngenerations:\n- number: 1\n  secret: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n"

	balancer = `role: balancer
host: entry-1
data-centre: hr-east-a
tunnel-address: 127.0.0.1:7000
control-address: 127.0.0.1:7001
observe-address: 127.0.0.1:7002
entry-address: 127.0.0.1
key-ring-file: DIR/keys.yaml
platform:
  address: http://127.0.0.1:8500
`
	sidecar = `role: sidecar
host: press-1
data-centre: hr-east-a
tunnel-address: 127.0.0.1:7010
control-address: 127.0.0.1:7011
observe-address: 127.0.0.1:7012
key-ring-file: DIR/keys.yaml
seeds: ["127.0.0.1:7001"]
customer: presa-digital
service: grower-portal
upstream-url: http://127.0.0.1:8080
certificate-file: DIR/certificate.pem
private-key-file: DIR/key.pem
`
)

// newDirectory returns a directory with two key rings, a certificate with its private
// key, and another private key.
func newDirectory(c *qt.C) string {
	dir := c.TempDir()
	private := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	c.Assert(err, qt.IsNil)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	c.Assert(err, qt.IsNil)
	other, err := x509.MarshalPKCS8PrivateKey(ed25519.NewKeyFromSeed([]byte(strings.Repeat("x", ed25519.SeedSize))))
	c.Assert(err, qt.IsNil)
	for name, content := range map[string][]byte{
		"keys.yaml":       []byte(keyRing),
		"other-keys.yaml": []byte(otherKeyRing),
		"certificate.pem": pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		"key.pem":         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}),
		"other-key.pem":   pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: other}),
	} {
		c.Assert(os.WriteFile(filepath.Join(dir, name), content, 0o600), qt.IsNil)
	}
	return dir
}

// writeFile writes a file in dir, with DIR in its content replaced by dir.
func writeFile(c *qt.C, dir, name, content string) string {
	path := filepath.Join(dir, name)
	c.Assert(os.WriteFile(path, []byte(strings.ReplaceAll(content, "DIR", dir)), 0o600), qt.IsNil)
	return path
}

// TestLoadReadsBalancerAndSidecar guards against settings keys that are not loaded, and
// against a file of one role that is accepted for another.
func TestLoadReadsBalancerAndSidecar(t *testing.T) {
	c := qt.New(t)
	dir := newDirectory(c)
	b, err := settings.Load[settings.Balancer](writeFile(c, dir, "balancer.yaml", balancer+"traces:\n  sample-ratio: 0\n"))
	c.Assert(err, qt.IsNil)
	c.Check(b.EntryAddress, qt.Equals, netip.MustParseAddr("127.0.0.1"))
	c.Check(b.Platform.Address, qt.Equals, "http://127.0.0.1:8500")
	c.Check(b.Traces.Ratio(), qt.Equals, 0.0)
	s, err := settings.Load[settings.Sidecar](writeFile(c, dir, "sidecar.yaml", sidecar+"reload-interval: 500ms\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Seeds, qt.HasLen, 1)
	c.Check(s.Seeds[0], qt.Equals, netip.MustParseAddrPort("127.0.0.1:7001"))
	c.Check(s.Service, qt.Equals, "grower-portal")
	c.Check(s.ReloadInterval, qt.Equals, 500*time.Millisecond)
	c.Check(s.Traces.Ratio(), qt.Equals, 1.0)
	_, err = settings.Load[settings.Balancer](filepath.Join(dir, "sidecar.yaml"))
	c.Check(err, qt.ErrorMatches, `(?s).*sidecar.yaml:1: role: "sidecar" is not allowed; want balancer for this command.*`)
}

// TestFaults guards against a process that starts with unusable settings, and against a
// report with only the first fault or without its key and line.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	dir := newDirectory(c)
	const address = "want IP:port that peers can reach, such as 10.0.0.1:7000"
	for _, test := range []struct {
		name, base, old, new string
		want                 []string
	}{
		{"unknown key", balancer, "host:", "hots:", []string{
			": host: missing; want 1 to 63 lower-case letters, digits and hyphens that begin with a letter",
			":2: hots: unknown key; want one of role, host, *",
		}},
		{"unknown nested key", balancer, "  address:", "  adress:", []string{
			": platform.address: missing; want an http or https URL, such as http://127.0.0.1:8500",
			":10: platform.adress: unknown key; want one of address, token-file",
		}},
		{"two faults", balancer, "tunnel-address: 127.0.0.1:7000\ncontrol-address: 127.0.0.1:7001", "tunnel-address: localhost:7000\ncontrol-address: 0.0.0.0:7001", []string{
			`:4: tunnel-address: "localhost:7000" is not allowed; ` + address,
			`:5: control-address: "0.0.0.0:7001" is not allowed; ` + address,
		}},
		{"no port", balancer, "127.0.0.1:7000", "127.0.0.1", []string{`:4: tunnel-address: "127.0.0.1" is not allowed; ` + address}},
		{"port zero", balancer, "127.0.0.1:7000", "127.0.0.1:0", []string{`:4: tunnel-address: "127.0.0.1:0" is not allowed; ` + address}},
		{"wrong type", balancer, "host: entry-1", "host: 17", []string{":2: host: wrong type; want 1 to 63 lower-case*"}},
		{"empty value", balancer, "host: entry-1", "host:", []string{":2: host: wrong type; want 1 to 63 lower-case*"}},
		{"scalar for mapping", balancer, "platform:\n  address: http://127.0.0.1:8500", "platform: consul", []string{
			": platform.address: missing; *", ":9: platform: want a mapping with the keys address, token-file",
		}},
		{"scalar for list", balancer, "host: entry-1", "host: entry-1\nseeds: 127.0.0.1:7001", []string{":3: seeds: wrong type; want a list, each item " + address[5:]}},
		{"bad list item", sidecar, `["127.0.0.1:7001"]`, `["127.0.0.1:7001", "x"]`, []string{`:8: seeds[1]: "x" is not allowed; ` + address}},
		{"name", balancer, "entry-1", "Entry_1", []string{`:2: host: "Entry_1" is not allowed; want 1 to 63 lower-case*`}},
		{"role", balancer, "role: balancer", "role: balancr", []string{`:1: role: "balancr" is not allowed; want balancer, sidecar, flow-balancer or flow-sidecar`}},
		{"no role", balancer, "role: balancer\n", "", []string{`: role: missing; want balancer, sidecar, flow-balancer or flow-sidecar`}},
		{"no unit", balancer, "host: entry-1", "host: entry-1\nreload-interval: 5", []string{`:3: reload-interval: "5" is not allowed; want a duration above zero with its unit, such as 500ms or 1s`}},
		{"ratio", balancer, "host: entry-1", "host: entry-1\ntraces:\n  sample-ratio: 1.5", []string{`:4: traces.sample-ratio: "1.5" is not allowed; want a number from 0 to 1`}},
		{"same address", balancer, "127.0.0.1:7002", "127.0.0.1:7001", []string{":6: observe-address: 127.0.0.1:7001 is also the address of control-address; want a different address for each key"}},
		{"address of the upstream", sidecar, ":8080", ":7012", []string{":11: upstream-url: 127.0.0.1:7012 is also the address of observe-address; *"}},
		{"missing file", balancer, "keys.yaml", "none.yaml", []string{`:8: key-ring-file: "DIR/none.yaml": no such file or directory; want a key ring file that can be read`}},
		{"directory", sidecar, "DIR/key.pem", "DIR", []string{`:13: private-key-file: "DIR": not a regular file; want a file that can be read`}},
		{"not a key ring", sidecar, "DIR/keys.yaml", "DIR/key.pem", []string{`:7: key-ring-file: "DIR/key.pem": not a valid key ring: *`}},
		{"key of another certificate", sidecar, "DIR/key.pem", "DIR/other-key.pem", []string{":12: certificate-file: private key does not match public key; want a PEM certificate chain that belongs to private-key-file"}},
		{"URL", sidecar, "http://127.0.0.1:8080", "127.0.0.1:8080", []string{`:11: upstream-url: "127.0.0.1:8080" is not allowed; want an http or https URL*`}},
		{"URL port", balancer, ":8500", ":99999", []string{`:10: platform.address: "http://127.0.0.1:99999" is not allowed; *`}},
		{"no platform", sidecar, `seeds: ["127.0.0.1:7001"]`, "", []string{": platform.address: missing; want an http or https URL, such as http://127.0.0.1:8500, or the key seeds"}},
		{"duplicate key", balancer, "host: entry-1", "host: entry-1\nhost: entry-2", []string{":3: not valid YAML: *"}},
		{"syntax", balancer, "host: entry-1", "host: [", []string{":2: not valid YAML: *"}},
		{"empty", balancer, balancer, "", []string{": want one YAML document with a mapping of keys to values"}},
	} {
		c.Run(test.name, func(c *qt.C) {
			c.Assert(strings.Contains(test.base, test.old), qt.IsTrue)
			path := writeFile(c, dir, "x.yaml", strings.Replace(test.base, test.old, test.new, 1))
			_, err := settings.LoadFile(path)
			c.Assert(err, qt.Not(qt.IsNil))
			lines := strings.Split(err.Error(), "\n")
			c.Assert(lines, qt.HasLen, len(test.want), qt.Commentf("%s", err))
			for i, want := range test.want {
				want = strings.ReplaceAll(want, "DIR", dir)
				part, isPart := strings.CutSuffix(want, "*")
				if isPart {
					c.Check(strings.Contains(lines[i], part), qt.IsTrue, qt.Commentf("%s", lines[i]))
					continue
				}
				c.Check(lines[i], qt.Equals, path+want)
			}
		})
	}
	_, err := settings.LoadFile(filepath.Join(dir, "absent.yaml"))
	c.Check(err, qt.ErrorMatches, ".*/absent.yaml: no such file or directory; want a settings file in YAML")
}

// TestCheckFiles guards against files that are valid by themselves, but whose processes
// cannot run together because of a shared address or different key rings.
func TestCheckFiles(t *testing.T) {
	c := qt.New(t)
	dir := newDirectory(c)
	first := writeFile(c, dir, "balancer.yaml", balancer)
	good := writeFile(c, dir, "sidecar.yaml", sidecar)
	files, err := settings.CheckFiles([]string{first, good})
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 2)

	bad := strings.NewReplacer("127.0.0.1:7010", "127.0.0.1:7000", "keys.yaml", "other-keys.yaml").Replace(sidecar)
	second := writeFile(c, dir, "bad.yaml", bad)
	_, err = settings.CheckFiles([]string{first, second, filepath.Join(dir, "absent.yaml")})
	c.Assert(err, qt.Not(qt.IsNil))
	c.Check(strings.Split(strings.ReplaceAll(err.Error(), dir, "DIR"), "\n"), qt.DeepEquals, []string{
		"DIR/absent.yaml: no such file or directory; want a settings file in YAML",
		"DIR/bad.yaml:4: tunnel-address: 127.0.0.1:7000 is also the address of tunnel-address in DIR/balancer.yaml; want a different address for each process",
		`DIR/bad.yaml:7: key-ring-file: "DIR/other-keys.yaml" differs from the key ring of DIR/balancer.yaml; want the same generations, secrets and active generation in every process`,
	})
}

// TestCheckPorts guards against a check that passes although another process listens on
// the port.
func TestCheckPorts(t *testing.T) {
	c := qt.New(t)
	dir := newDirectory(c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	taken := listener.Addr().String()
	path := writeFile(c, dir, "balancer.yaml", strings.Replace(balancer, "127.0.0.1:7001", taken, 1))
	loaded, err := settings.Load[settings.Balancer](path)
	c.Assert(err, qt.IsNil)
	faults := settings.CheckPorts(loaded)
	c.Assert(faults, qt.Not(qt.HasLen), 0)
	var found bool
	for _, fault := range faults {
		if fault.Key == "control-address" {
			found = true
			c.Check(fault.Error(), qt.Equals, path+":5: control-address: "+taken+" cannot be opened for TCP: address already in use; want a free address of this host")
		}
	}
	c.Check(found, qt.IsTrue)
}

// FuzzSettings guards against a panic of the decoder, and against a fault that does not
// begin with the path of the file.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(balancer))
	f.Add([]byte(sidecar))
	f.Add([]byte("role: balancer\nplatform: &a\n  address: *a\n<<: *a\n"))
	f.Add([]byte("role: [balancer]\n? {a: b}\n: c\n"))
	f.Add([]byte("role: balancer\nseeds: [[], {}, ~, !!binary x, |]\n"))
	const path = "x.yaml"
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		_, err := settings.Parse(path, data)
		if err == nil {
			return
		}
		for line := range strings.SplitSeq(err.Error(), "\n") {
			c.Check(strings.HasPrefix(line, path+":"), qt.IsTrue, qt.Commentf("%q", line))
		}
	})
}
