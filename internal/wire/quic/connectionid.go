// Package quic reads the version-independent fields of QUIC packets (RFC 8999). It also
// encodes connection IDs that identify the owner of their flow.
package quic

import (
	"encoding/binary"

	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/common/keyring"
)

const (
	// ConnectionIDSize is the length in bytes of a connection ID that a sidecar issues.
	ConnectionIDSize = 1 + blockSize

	blockSize       = 16
	generationBits  = 3
	generationShift = 8 - generationBits
	nonceOffset     = identity.ServiceIDSize + identity.OwnerIDSize
)

// ConnectionID is the decoded form of a connection ID that a sidecar issued.
type ConnectionID struct {
	service identity.ServiceID
	owner   identity.OwnerID
}

// Service returns the service of the flow.
func (c ConnectionID) Service() identity.ServiceID { return c.service }

// Owner returns the sidecar that owns the flow.
func (c ConnectionID) Owner() identity.OwnerID { return c.owner }

// EncodeConnectionID returns the connection ID of a flow. The first byte holds the key
// generation in its upper 3 bits and the lower 5 bits of random. The other 16 bytes
// encrypt service, owner and the lower 40 bits of nonce. The nonce must be unique for
// an owner.
func EncodeConnectionID(keys *keyring.Keys, service identity.ServiceID, owner identity.OwnerID, nonce uint64, random byte) [ConnectionIDSize]byte {
	var id [ConnectionIDSize]byte
	id[0] = byte(keys.Generation())<<generationShift | random&(1<<generationShift-1)
	block := id[1:]
	identity.PutUint40(block, uint64(service))
	identity.PutUint48(block[identity.ServiceIDSize:], uint64(owner))
	identity.PutUint40(block[nonceOffset:], nonce)
	keys.ConnectionID().Encrypt(block, block)
	return id
}

// Decoder decodes connection IDs without allocating. It is not safe for
// concurrent use.
type Decoder struct {
	block [blockSize]byte
}

// Decode decodes the first 17 bytes of id. It returns false if id is shorter or the ring
// does not hold its generation. A connection ID chosen by a client decodes to a random
// service and owner, so the caller must compare them with the expected ones.
func (d *Decoder) Decode(ring *keyring.Ring, id []byte) (ConnectionID, bool) {
	if len(id) < ConnectionIDSize {
		return ConnectionID{}, false
	}
	keys := ring.Keys(keyring.Generation(id[0] >> generationShift))
	if keys == nil {
		return ConnectionID{}, false
	}
	keys.ConnectionID().Decrypt(d.block[:], id[1:ConnectionIDSize])
	return ConnectionID{
		service: identity.ServiceID(identity.GetUint40(d.block[:])),
		owner:   identity.OwnerID(identity.GetUint48(d.block[identity.ServiceIDSize:])),
	}, true
}

const (
	headerFormLong    = 0x80
	longTypeMask      = 0x30
	longTypeInitialV1 = 0x00
	longTypeZeroRTTV1 = 0x10
	longTypeInitialV2 = 0x10
	longTypeZeroRTTV2 = 0x20
	version1          = 0x00000001
	version2          = 0x6b3343cf
	// longFixedSize is the size in bytes of a long header before the destination
	// connection ID.
	longFixedSize = 6
	// maxConnectionIDSize is the limit of QUIC versions 1 and 2.
	maxConnectionIDSize = 20
)

// Header holds the fields of a packet that are needed for routing.
type Header struct {
	destination    []byte
	longHeader     bool
	clientChosenID bool
}

// Destination returns the destination connection ID as a slice of the datagram. A short
// header does not contain the length, so the result is then always 17 bytes.
func (h Header) Destination() []byte { return h.destination }

// Long reports whether the packet has a long header.
func (h Header) Long() bool { return h.longHeader }

// ClientChosenID reports whether the client may have chosen the destination connection
// ID. This holds for Initial and 0-RTT packets and for packets of an unknown version.
func (h Header) ClientChosenID() bool { return h.clientChosenID }

// ParseHeader reads the header of the first packet in a datagram. It returns false if
// the datagram is not a QUIC packet or is too short to be routed.
func ParseHeader(datagram []byte) (Header, bool) {
	if len(datagram) < 1+ConnectionIDSize {
		return Header{}, false
	}
	if datagram[0]&headerFormLong == 0 {
		return Header{destination: datagram[1 : 1+ConnectionIDSize]}, true
	}
	size := int(datagram[longFixedSize-1])
	if size > maxConnectionIDSize || len(datagram) < longFixedSize+size {
		return Header{}, false
	}
	version := binary.BigEndian.Uint32(datagram[1:])
	return Header{
		destination:    datagram[longFixedSize : longFixedSize+size],
		longHeader:     true,
		clientChosenID: mayHaveClientChosenID(version, datagram[0]&longTypeMask),
	}, true
}

func mayHaveClientChosenID(version uint32, packetType byte) bool {
	switch version {
	case version1:
		return packetType == longTypeInitialV1 || packetType == longTypeZeroRTTV1
	case version2:
		return packetType == longTypeInitialV2 || packetType == longTypeZeroRTTV2
	default:
		return true
	}
}
