// Package ticket issues tickets for requests that may run at most once and records
// their outcomes. It uses no socket, goroutine or clock: callers pass the current
// time.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

// Layout of a token before base64url encoding, with sizes in bytes: version (1), key
// generation (1), service ID (5), owner ID (6), nonce (6), expiry (6), HMAC-SHA-256 of
// all these (32).
const (
	version          = 1
	generationOffset = 1
	serviceOffset    = 2
	ownerOffset      = serviceOffset + identity.ServiceIDSize
	nonceOffset      = ownerOffset + identity.OwnerIDSize
	expiryOffset     = nonceOffset + 6
	macOffset        = expiryOffset + 6
	tokenSize        = macOffset + sha256.Size
	maxUint48        = 1<<48 - 1
)

// Errors of Parse.
var (
	// ErrInvalid is returned for a token that was not issued by a holder of the key
	// ring.
	ErrInvalid = errors.New("ticket is malformed or not authentic")
	// ErrUnknownKey is returned for a token of a key generation that the key ring
	// does not hold. The token may have been valid before that key was removed.
	ErrUnknownKey = errors.New("ticket uses a key generation that is not in the key ring")
)

var encoding = base64.RawURLEncoding.Strict()

// Ticket permits one sidecar to run one request once.
type Ticket struct {
	service identity.ServiceID
	owner   identity.OwnerID
	nonce   uint64
	expiry  clock.Millis
}

// Service returns the service for which the ticket was issued.
func (t Ticket) Service() identity.ServiceID { return t.service }

// Owner returns the sidecar that issued the ticket. No other one accepts it.
func (t Ticket) Owner() identity.OwnerID { return t.owner }

// Nonce returns the number of the ticket, which is unique for its owner.
func (t Ticket) Nonce() uint64 { return t.nonce }

// Expiry returns the time from which the ticket no longer permits a run. It is a time
// of the owner's clock, so other processes cannot compare it with their own clocks.
func (t Ticket) Expiry() clock.Millis { return t.expiry }

// Encode returns the token of t. The token is authenticated with keys.
func (t Ticket) Encode(keys *keyring.Keys) string {
	var b [tokenSize]byte
	b[0] = version
	b[generationOffset] = byte(keys.Generation())
	identity.PutUint40(b[serviceOffset:], uint64(t.service))
	identity.PutUint48(b[ownerOffset:], uint64(t.owner))
	identity.PutUint48(b[nonceOffset:], t.nonce)
	identity.PutUint48(b[expiryOffset:], uint64(t.expiry))
	copy(b[macOffset:], mac(keys, b[:macOffset]))
	return encoding.EncodeToString(b[:])
}

// Parse decodes a token and verifies it. The error is ErrInvalid or ErrUnknownKey.
func Parse(ring *keyring.Ring, token string) (Ticket, error) {
	if len(token) != encoding.EncodedLen(tokenSize) {
		return Ticket{}, ErrInvalid
	}
	b, err := encoding.DecodeString(token)
	if err != nil || len(b) != tokenSize || b[0] != version || b[generationOffset] >= keyring.MaxGenerations {
		return Ticket{}, ErrInvalid
	}
	keys := ring.Keys(keyring.Generation(b[generationOffset]))
	if keys == nil {
		return Ticket{}, ErrUnknownKey
	}
	if !hmac.Equal(b[macOffset:], mac(keys, b[:macOffset])) {
		return Ticket{}, ErrInvalid
	}
	return Ticket{
		service: identity.ServiceID(identity.GetUint40(b[serviceOffset:])),
		owner:   identity.OwnerID(identity.GetUint48(b[ownerOffset:])),
		nonce:   identity.GetUint48(b[nonceOffset:]),
		expiry:  clock.Millis(identity.GetUint48(b[expiryOffset:])),
	}, nil
}

func mac(keys *keyring.Keys, data []byte) []byte {
	h := hmac.New(sha256.New, keys.Ticket())
	// hash.Hash.Write never returns an error.
	_, _ = h.Write(data)
	return h.Sum(nil)
}

// Digest is a hash that identifies the request to which a ticket is bound.
type Digest [sha256.Size]byte

// NewDigest returns the Digest of a request. The target is its path and query.
func NewDigest(method, target, contentType string, body []byte) Digest {
	h := sha256.New()
	for _, part := range []string{method, target, contentType} {
		sum := sha256.Sum256([]byte(part))
		_, _ = h.Write(sum[:])
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil))
}
