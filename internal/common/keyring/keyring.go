// Package keyring holds the secrets that balancers and sidecars share, and derives a
// separate key from them for each purpose.
package keyring

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"os"
	"sync"
	"sync/atomic"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"
)

const (
	// MaxGenerations is the maximum number of generations in a key ring. A connection
	// ID identifies its generation by 3 bits, of which the value 7 is not used. QUIC-LB
	// reserves that value for connection IDs that cannot be routed.
	MaxGenerations = 7
	// SecretSize is the size of a generation's secret in bytes.
	SecretSize = 32

	// aesKeySize is the size of an AES-128 key in bytes.
	aesKeySize = 16
)

// Generation is the number of a secret in a key ring, from 0 to MaxGenerations-1.
type Generation uint8

// Ring is an immutable set of generations. One of them is active: new connection IDs,
// tickets, datagrams and certificates use it.
type Ring struct {
	active Generation
	keys   [MaxGenerations]*Keys
}

// Keys are the keys derived from the secret of one generation.
type Keys struct {
	generation   Generation
	connectionID cipher.Block
	tunnel       cipher.AEAD
	ticket       []byte
	authority    []byte
	// authorityCertificate and certificate create their certificate at the first
	// handshake and cache it. A new Ed25519 key pair and signature for each handshake
	// would cost more than the rest of the handshake.
	authorityCertificate func() (*x509.Certificate, error)
	certificate          func() (*tls.Certificate, error)
}

type fileRing struct {
	Active      Generation       `yaml:"active"`
	Generations []fileGeneration `yaml:"generations"`
}

type fileGeneration struct {
	Number Generation `yaml:"number"`
	Secret string     `yaml:"secret"`
}

// Load reads a key ring from a YAML file with the keys active and generations. Each
// generation has a number and a secret of 32 bytes in base64.
func Load(path string) (*Ring, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.Code("key-ring-unreadable").Wrapf(err, "read key ring")
	}
	ring, err := Parse(data)
	if err != nil {
		return nil, oops.Code("key-ring-invalid").Wrapf(err, "%s", path)
	}
	return ring, nil
}

// Parse parses a key ring in YAML. Its errors name the key and the allowed values, and
// never contain a secret.
func Parse(data []byte) (*Ring, error) {
	var f fileRing
	if err := yaml.UnmarshalWithOptions(data, &f, yaml.Strict()); err != nil {
		// The message of the library quotes the source, which contains secrets.
		return nil, fmt.Errorf("not a valid key ring: want the keys active and generations with number and secret")
	}
	secrets := make(map[Generation][]byte, len(f.Generations))
	for i, g := range f.Generations {
		if g.Number >= MaxGenerations {
			return nil, fmt.Errorf("generations[%d].number: %d is not in 0 to %d", i, g.Number, MaxGenerations-1)
		}
		if _, ok := secrets[g.Number]; ok {
			return nil, fmt.Errorf("generations[%d].number: %d is given twice", i, g.Number)
		}
		secret, err := base64.StdEncoding.DecodeString(g.Secret)
		if err != nil || len(secret) != SecretSize {
			return nil, fmt.Errorf("generations[%d].secret: want %d bytes in base64", i, SecretSize)
		}
		secrets[g.Number] = secret
	}
	return New(f.Active, secrets)
}

// New derives the keys of a ring from the secrets of its generations. Each secret must
// have SecretSize bytes, and active must be one of the generations.
func New(active Generation, secrets map[Generation][]byte) (*Ring, error) {
	ring := &Ring{active: active}
	for number, secret := range secrets {
		if number >= MaxGenerations || len(secret) != SecretSize {
			return nil, fmt.Errorf("generation %d: want a number from 0 to %d and a secret of %d bytes", number, MaxGenerations-1, SecretSize)
		}
		keys, err := derive(number, secret)
		if err != nil {
			return nil, err
		}
		ring.keys[number] = keys
	}
	if active >= MaxGenerations || ring.keys[active] == nil {
		return nil, fmt.Errorf("active: %d is not one of the generations", active)
	}
	return ring, nil
}

func derive(number Generation, secret []byte) (*Keys, error) {
	derived := make(map[string][]byte)
	for purpose, size := range map[string]int{
		"connection-id": aesKeySize, "tunnel": aesKeySize, "ticket": sha256.Size, "authority": sha256.Size,
	} {
		key, err := hkdf.Key(sha256.New, secret, nil, "orioledyke "+purpose, size)
		if err != nil {
			return nil, oops.Wrapf(err, "derive %s key", purpose)
		}
		derived[purpose] = key
	}
	block, err := aes.NewCipher(derived["connection-id"])
	if err != nil {
		return nil, oops.Wrap(err)
	}
	tunnelBlock, err := aes.NewCipher(derived["tunnel"])
	if err != nil {
		return nil, oops.Wrap(err)
	}
	aead, err := cipher.NewGCM(tunnelBlock)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	keys := &Keys{
		generation: number, connectionID: block, tunnel: aead,
		ticket: derived["ticket"], authority: derived["authority"],
	}
	keys.authorityCertificate = sync.OnceValues(keys.newAuthorityCertificate)
	keys.certificate = sync.OnceValues(keys.newCertificate)
	return keys, nil
}

// Active returns the keys of the active generation.
func (r *Ring) Active() *Keys {
	return r.keys[r.active]
}

// Keys returns the keys of generation g, or nil if the ring does not contain it.
func (r *Ring) Keys(g Generation) *Keys {
	if g >= MaxGenerations {
		return nil
	}
	return r.keys[g]
}

// Equal reports whether both rings have the same generations, with the same secrets, and
// the same active generation.
func (r *Ring) Equal(other *Ring) bool {
	if r.active != other.active {
		return false
	}
	for i, keys := range r.keys {
		if !keys.equal(other.keys[i]) {
			return false
		}
	}
	return true
}

func (k *Keys) equal(other *Keys) bool {
	if k == nil || other == nil {
		return k == other
	}
	return k.generation == other.generation && hmac.Equal(k.authority, other.authority)
}

// Generation returns the generation whose secret the keys are derived from.
func (k *Keys) Generation() Generation { return k.generation }

// ConnectionID returns the AES-128 block cipher that encrypts connection IDs.
func (k *Keys) ConnectionID() cipher.Block { return k.connectionID }

// Tunnel returns the AES-128-GCM cipher that seals tunnel datagrams.
func (k *Keys) Tunnel() cipher.AEAD { return k.tunnel }

// Ticket returns the HMAC-SHA-256 key that authenticates request tickets.
func (k *Keys) Ticket() []byte { return k.ticket }

// Store holds the current key ring of a process. It is safe for concurrent use.
type Store struct {
	ring atomic.Pointer[Ring]
}

// NewStore returns a Store that holds ring.
func NewStore(ring *Ring) *Store {
	s := &Store{}
	s.ring.Store(ring)
	return s
}

// Ring returns the current key ring.
func (s *Store) Ring() *Ring { return s.ring.Load() }

// Replace makes ring the current key ring. A generation whose secret is unchanged keeps
// its cached certificates.
func (s *Store) Replace(ring *Ring) {
	merged := *ring
	current := s.Ring()
	for i, keys := range merged.keys {
		if keys.equal(current.keys[i]) {
			merged.keys[i] = current.keys[i]
		}
	}
	s.ring.Store(&merged)
}
