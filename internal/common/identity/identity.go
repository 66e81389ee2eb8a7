// Package identity defines the identifiers that connection IDs, tunnel datagrams
// and membership records contain.
package identity

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
)

// Sizes of encoded identifiers in bytes.
const (
	OwnerIDSize   = 6
	ServiceIDSize = 5
)

// OwnerID is a random 48-bit number that identifies one incarnation of a process. A
// process that restarts at the same address gets a different one.
type OwnerID uint64

// NewOwnerID returns a random non-zero OwnerID.
func NewOwnerID() OwnerID {
	var b [8]byte
	for {
		// crypto/rand.Read never returns an error since Go 1.24.
		_, _ = rand.Read(b[:OwnerIDSize])
		if id := OwnerID(binary.LittleEndian.Uint64(b[:])); id != 0 {
			return id
		}
	}
}

// ParseOwnerID parses the hexadecimal form that String returns.
func ParseOwnerID(s string) (OwnerID, error) {
	n, err := strconv.ParseUint(s, 16, OwnerIDSize*8)
	if err != nil {
		return 0, fmt.Errorf("owner ID %q: want 12 hexadecimal digits", s)
	}
	return OwnerID(n), nil
}

// String returns 12 hexadecimal digits.
func (id OwnerID) String() string {
	return fmt.Sprintf("%012x", uint64(id))
}

// ServiceID identifies a service by the first 40 bits of the SHA-256 hash of
// "customer/service".
type ServiceID uint64

// NewServiceID returns the ID of a service. Neither name may contain a slash, because a
// slash separates them in the hashed text.
func NewServiceID(customer, service string) ServiceID {
	sum := sha256.Sum256([]byte(customer + "/" + service))
	return ServiceID(GetUint40(sum[:]))
}

// String returns 10 hexadecimal digits.
func (id ServiceID) String() string {
	return fmt.Sprintf("%010x", uint64(id))
}

// PutUint48 writes the low 48 bits of v to b in big-endian order.
func PutUint48(b []byte, v uint64) {
	_ = b[5]
	binary.BigEndian.PutUint16(b, uint16(v>>32))
	binary.BigEndian.PutUint32(b[2:], uint32(v))
}

// GetUint48 reads 48 bits from b in big-endian order.
func GetUint48(b []byte) uint64 {
	_ = b[5]
	return uint64(binary.BigEndian.Uint16(b))<<32 | uint64(binary.BigEndian.Uint32(b[2:]))
}

// PutUint40 writes the low 40 bits of v to b in big-endian order.
func PutUint40(b []byte, v uint64) {
	_ = b[4]
	b[0] = byte(v >> 32)
	binary.BigEndian.PutUint32(b[1:], uint32(v))
}

// GetUint40 reads 40 bits from b in big-endian order.
func GetUint40(b []byte) uint64 {
	_ = b[4]
	return uint64(b[0])<<32 | uint64(binary.BigEndian.Uint32(b[1:]))
}
