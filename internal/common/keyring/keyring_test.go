package keyring_test

import (
	"bytes"
	"crypto/rand"
	"crypto/tls"
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

func secret(fill byte) []byte {
	return bytes.Repeat([]byte{fill}, keyring.SecretSize)
}

func newRing(c *qt.C, active keyring.Generation, secrets map[keyring.Generation][]byte) *keyring.Ring {
	ring, err := keyring.New(active, secrets)
	c.Assert(err, qt.IsNil)
	return ring
}

// handshake connects a client to a server. It returns the certificate that the server
// presents and the errors of both sides.
func handshake(c *qt.C, client, server *keyring.Store) (certificate []byte, clientErr, serverErr error) {
	// A net.Pipe has no buffer, so both sides could block in a write.
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.TLS())
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			defer conn.Close()
			// In TLS 1.3 the client rejects the server's certificate after the
			// handshake has ended for the server, so only a read reports it.
			_, err = conn.Read(make([]byte, 1))
		}
		ended <- err
	}()
	conn, clientErr := tls.Dial("tcp", listener.Addr().String(), client.TLS())
	if clientErr == nil {
		defer conn.Close()
		_, clientErr = conn.Write([]byte{0})
		certificate = conn.ConnectionState().PeerCertificates[0].Raw
	}
	return certificate, clientErr, <-ended
}

// TestTLS guards against handshakes that fail during a rotation, when two processes
// have different active generations. It also guards against connections to a process
// without the key ring, and against a new certificate for each handshake.
func TestTLS(t *testing.T) {
	c := qt.New(t)
	both := map[keyring.Generation][]byte{0: secret(1), 1: secret(2)}
	old := keyring.NewStore(newRing(c, 0, both))
	rotated := keyring.NewStore(newRing(c, 1, both))
	unauthenticated := keyring.NewStore(newRing(c, 0, map[keyring.Generation][]byte{0: secret(3)}))

	first, clientErr, serverErr := handshake(c, old, rotated)
	c.Assert(clientErr, qt.IsNil)
	c.Assert(serverErr, qt.IsNil)
	second, _, _ := handshake(c, old, rotated)
	c.Check(second, qt.DeepEquals, first)

	rotated.Replace(newRing(c, 1, map[keyring.Generation][]byte{1: secret(2)}))
	third, _, _ := handshake(c, old, rotated)
	c.Check(third, qt.DeepEquals, first, qt.Commentf("a generation that stays in the ring keeps its certificate"))

	_, clientErr, _ = handshake(c, unauthenticated, old)
	c.Check(clientErr, qt.ErrorMatches, ".*peer holds no key of this ring.*")
	_, _, serverErr = handshake(c, rotated, unauthenticated)
	c.Check(serverErr, qt.Not(qt.IsNil))
}

// TestNewChecksSecrets guards against generations that a connection ID cannot identify,
// and against secrets of the wrong size.
func TestNewChecksSecrets(t *testing.T) {
	c := qt.New(t)
	_, err := keyring.New(keyring.MaxGenerations, map[keyring.Generation][]byte{keyring.MaxGenerations: secret(1)})
	c.Check(err, qt.ErrorMatches, "generation 7: want a number from 0 to 6 .*")
	_, err = keyring.New(0, map[keyring.Generation][]byte{0: secret(1)[1:]})
	c.Check(err, qt.ErrorMatches, "generation 0: want .* a secret of 32 bytes")
}

// TestLoadWatched guards against a process that loses its key ring because the file is
// missing, partly written or invalid, and against an error that is logged at every
// check.
func TestLoadWatched(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "keys.yaml")
	write := func(content string) { c.Assert(os.WriteFile(path, []byte(content), 0o600), qt.IsNil) }
	ringFile := func(number string, fill byte) string {
		return "active: " + number + "\ngenerations:\n- number: " + number + "\n  secret: " + base64.StdEncoding.EncodeToString(secret(fill)) + "\n"
	}
	var events []string
	config := keyring.WatchConfig{Path: path, LogEvent: func(event string, err error) {
		if err != nil {
			event += ": " + err.Error()
		}
		events = append(events, strings.ReplaceAll(event, path, "FILE"))
	}}
	_, _, err := keyring.LoadWatched(config)
	c.Assert(err, qt.ErrorMatches, ".*no such file or directory")
	write(ringFile("0", 1))
	store, watcher, err := keyring.LoadWatched(config)
	c.Assert(err, qt.IsNil)
	watcher.Check()
	c.Assert(events, qt.HasLen, 0)

	write(ringFile("1", 2))
	watcher.Check()
	c.Check(store.Ring().Active().Generation(), qt.Equals, keyring.Generation(1))
	write("active: 3\n")
	for range 3 {
		watcher.Check()
	}
	c.Check(store.Ring().Active().Generation(), qt.Equals, keyring.Generation(1))
	c.Assert(os.Remove(path), qt.IsNil)
	for range 3 {
		watcher.Check()
	}
	write(ringFile("2", 3))
	watcher.Check()
	c.Check(store.Ring().Active().Generation(), qt.Equals, keyring.Generation(2))
	c.Assert(os.Remove(path), qt.IsNil)
	watcher.Check()
	write(ringFile("2", 3))
	watcher.Check()
	watcher.Check()
	c.Check(events, qt.DeepEquals, []string{
		"key-ring-reloaded",
		"key-ring-rejected: FILE: active: 3 is not one of the generations",
		"key-ring-rejected: open FILE: no such file or directory",
		"key-ring-reloaded",
	})
}

// TestUpdateKeepsFile guards against a key ring that is lost because an update fails
// before it is complete. It also guards against an update that replaces a symbolic link
// instead of its target, and against temporary files that are left behind.
func TestUpdateKeepsFile(t *testing.T) {
	c := qt.New(t)
	dir := c.TempDir()
	path := filepath.Join(dir, "keys.yaml")
	document := &keyring.Document{}
	_, err := document.Add(rand.Reader)
	c.Assert(err, qt.IsNil)
	c.Assert(document.Create(path), qt.IsNil)
	before, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	link := filepath.Join(c.TempDir(), "link.yaml")
	c.Assert(os.Symlink(path, link), qt.IsNil)

	err = keyring.Update(link, func(document *keyring.Document) error {
		_, err := document.Add(bytes.NewReader(nil))
		return err
	})
	c.Check(err, qt.ErrorMatches, ".*read random bytes: EOF")
	after, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Check(after, qt.DeepEquals, before)

	c.Assert(keyring.Update(link, func(document *keyring.Document) error {
		_, err := document.Add(rand.Reader)
		return err
	}), qt.IsNil)
	ring, err := keyring.Load(path)
	c.Assert(err, qt.IsNil)
	c.Check(ring.Keys(1), qt.Not(qt.IsNil))
	entries, err := os.ReadDir(dir)
	c.Assert(err, qt.IsNil)
	c.Check(entries, qt.HasLen, 1)
}

// FuzzParse guards against a panic, and against a secret in an error message.
func FuzzParse(f *testing.F) {
	text := base64.StdEncoding.EncodeToString(secret(7))
	f.Add([]byte("active: 0\ngenerations:\n- number: 0\n  secret: " + text + "\n"))
	f.Add([]byte("active: 9\ngenerations:\n- number: 255\n  secret: " + text + "\n"))
	f.Add([]byte("active: 0\ngenerations: &a\n- *a\n"))
	f.Add([]byte("active: 0\nextra: " + text + "\ngenerations:\n- number: 0\n  secret: !!binary " + text + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ring, err := keyring.Parse(data)
		if err == nil && ring.Active() == nil {
			t.Fatal("parsed a ring without active keys")
		}
		if err != nil && strings.Contains(err.Error(), text) {
			t.Fatalf("secret in error %q", err)
		}
	})
}
