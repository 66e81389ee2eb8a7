package identity_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// TestOwnerID guards against a loss of digits in the text form, and against generated IDs
// of more than 48 bits.
func TestOwnerID(t *testing.T) {
	c := qt.New(t)
	for _, id := range []identity.OwnerID{1, 0x0123456789ab, 1<<48 - 1} {
		parsed, err := identity.ParseOwnerID(id.String())
		c.Assert(err, qt.IsNil)
		c.Check(parsed, qt.Equals, id)
		c.Check(id.String(), qt.HasLen, 2*identity.OwnerIDSize)
	}
	for _, text := range []string{"", "g", "-1", "1000000000000"} {
		_, err := identity.ParseOwnerID(text)
		c.Check(err, qt.ErrorMatches, `owner ID ".*": want 12 hexadecimal digits`)
	}
	id := identity.NewOwnerID()
	c.Check(id, qt.Not(qt.Equals), identity.OwnerID(0))
	c.Check(uint64(id)>>48, qt.Equals, uint64(0))
}

// TestServiceID guards against a change of the derivation, after which processes of
// two versions would use different IDs for the same service.
func TestServiceID(t *testing.T) {
	c := qt.New(t)
	id := identity.NewServiceID("presa-digital", "grower-portal")
	c.Check(id.String(), qt.HasLen, 2*identity.ServiceIDSize)
	c.Check(identity.NewServiceID("presa-digital", "weighbridge"), qt.Not(qt.Equals), id)
	c.Check(identity.NewServiceID("presa-digitalg", "rower-portal"), qt.Not(qt.Equals), id)
	c.Check(id.String(), qt.Equals, "d81f8c3fa2")
}

// TestIntegers guards against bits that are lost in the 40-bit and 48-bit encodings.
func TestIntegers(t *testing.T) {
	c := qt.New(t)
	var b [6]byte
	for _, v := range []uint64{0, 1, 0x0123456789, 1<<40 - 1} {
		identity.PutUint40(b[:], v)
		c.Check(identity.GetUint40(b[:]), qt.Equals, v)
	}
	for _, v := range []uint64{0, 1, 0x0123456789ab, 1<<48 - 1} {
		identity.PutUint48(b[:], v)
		c.Check(identity.GetUint48(b[:]), qt.Equals, v)
	}
}
