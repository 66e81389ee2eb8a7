// Package tunnel encrypts and authenticates the datagrams between balancers and
// sidecars. It does the same for the datagrams between sidecars, which are load reports
// and relayed datagrams.
package tunnel

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"sync/atomic"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

// A datagram has a clear header, an encrypted part and a tag. Sizes are in bytes.
//
//   - Clear: version and type (1), key generation (1), sender ID (6), sender's
//     counter (6).
//   - Encrypted: flags (1), service ID (5), owner ID (6), client address (16),
//     client port (2), payload.
//   - Tag (16).
const (
	version             = 1
	clearHeaderSize     = 14
	nonceOffset         = 2
	nonceSize           = 12
	encryptedHeaderSize = 30
	tagSize             = 16
	counterBits         = 48
	generationOffset    = 1

	// HeaderSize is the number of bytes before the payload.
	HeaderSize = clearHeaderSize + encryptedHeaderSize
	// Overhead is the number of bytes that the header and the tag add to the payload.
	Overhead = HeaderSize + tagSize
	// MaxPayload is the maximum payload in bytes with which a datagram over IPv4 fits into
	// an Ethernet frame.
	MaxPayload = 1412
)

// Type is the type of a datagram. It occupies 4 bits.
type Type uint8

// Types of datagrams.
const (
	// TypeInbound carries a client's datagram to a sidecar.
	TypeInbound Type = 1
	// TypeOutbound carries a sidecar's datagram to a client.
	TypeOutbound Type = 2
	// TypeLoad reports the load of a sidecar to a sibling.
	TypeLoad Type = 3
	// TypeProbe requests that a sidecar send a TypeProbeReply to the socket that sent
	// the probe.
	TypeProbe Type = 4
	// TypeProbeReply confirms to a balancer that its path to the sidecar works.
	TypeProbeReply Type = 5
)

// Flags is a set of bits that modify how the receiver handles a datagram.
type Flags uint8

const (
	// FlagRelay requests that the receiver relay the datagram to its owner, because
	// the sender does not know the owner's address.
	FlagRelay Flags = 1 << iota
	// FlagRelayed marks a datagram that a sibling has relayed. Such a datagram is not
	// relayed again.
	FlagRelayed
)

// Header holds the fields of a datagram other than its payload.
type Header struct {
	Type    Type
	Flags   Flags
	Service identity.ServiceID
	Owner   identity.OwnerID
	Client  netip.AddrPort
	// Sender is the process that sealed the datagram. Open sets it.
	Sender identity.OwnerID
}

// ErrInvalid is returned for a datagram that was not sealed with a key of the key ring.
// It does not use oops, whose errors cannot be compared with ==.
var ErrInvalid = errors.New("tunnel datagram is malformed or not authentic")

// Sealer encrypts the datagrams of one process. It is safe for concurrent use.
type Sealer struct {
	sender  identity.OwnerID
	counter atomic.Uint64
}

// NewSealer returns a Sealer. The sender must be unique to this incarnation of the
// process, because sender and counter form the nonce.
func NewSealer(sender identity.OwnerID) *Sealer {
	return &Sealer{sender: sender}
}

// Seal encrypts a datagram in place and returns it. The buffer must contain the payload
// of size bytes at offset HeaderSize, and needs a capacity of size plus Overhead.
func (s *Sealer) Seal(keys *keyring.Keys, h Header, buffer []byte, size int) []byte {
	buffer = buffer[:HeaderSize+size]
	buffer[0] = version<<4 | byte(h.Type)
	buffer[generationOffset] = byte(keys.Generation())
	identity.PutUint48(buffer[nonceOffset:], uint64(s.sender))
	identity.PutUint48(buffer[nonceOffset+identity.OwnerIDSize:], s.counter.Add(1)&(1<<counterBits-1))
	encrypted := buffer[clearHeaderSize:HeaderSize]
	encrypted[0] = byte(h.Flags)
	identity.PutUint40(encrypted[1:], uint64(h.Service))
	identity.PutUint48(encrypted[6:], uint64(h.Owner))
	address := h.Client.Addr().As16()
	copy(encrypted[12:], address[:])
	binary.BigEndian.PutUint16(encrypted[28:], h.Client.Port())
	nonce := buffer[nonceOffset : nonceOffset+nonceSize]
	sealed := keys.Tunnel().Seal(buffer[clearHeaderSize:clearHeaderSize], nonce, buffer[clearHeaderSize:], buffer[:clearHeaderSize])
	return buffer[:clearHeaderSize+len(sealed)]
}

// Open decrypts a datagram in place. The returned payload is a slice of datagram. The
// error is always ErrInvalid.
func Open(ring *keyring.Ring, datagram []byte) (Header, []byte, error) {
	if len(datagram) < Overhead || datagram[0]>>4 != version {
		return Header{}, nil, ErrInvalid
	}
	keys := ring.Keys(keyring.Generation(datagram[generationOffset]))
	if keys == nil {
		return Header{}, nil, ErrInvalid
	}
	nonce := datagram[nonceOffset : nonceOffset+nonceSize]
	encrypted, err := keys.Tunnel().Open(datagram[clearHeaderSize:clearHeaderSize], nonce, datagram[clearHeaderSize:], datagram[:clearHeaderSize])
	if err != nil {
		return Header{}, nil, ErrInvalid
	}
	address := netip.AddrFrom16([16]byte(encrypted[12:28])).Unmap()
	h := Header{
		Type:    Type(datagram[0] & 0x0f),
		Flags:   Flags(encrypted[0]),
		Service: identity.ServiceID(identity.GetUint40(encrypted[1:])),
		Owner:   identity.OwnerID(identity.GetUint48(encrypted[6:])),
		Client:  netip.AddrPortFrom(address, binary.BigEndian.Uint16(encrypted[28:])),
		Sender:  identity.OwnerID(identity.GetUint48(datagram[nonceOffset:])),
	}
	return h, encrypted[encryptedHeaderSize:], nil
}
