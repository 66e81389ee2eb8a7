package membership

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/orioledyke/orioledyke/internal/wire/controlpb"
)

// Contract is one revision of a customer's document. This package does not
// interpret the document.
type Contract struct {
	Customer string
	Revision uint64
	Document []byte
}

func (c Contract) message() *controlpb.Contract {
	return &controlpb.Contract{Customer: c.Customer, Revision: c.Revision, Document: c.Document}
}

func (c Contract) hash() uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(c.Customer), c.Revision)
	return xxhash.Sum64(b)
}

// Contracts holds the highest known revision of each customer's document.
type Contracts struct {
	byCustomer map[string]Contract
	// digest is the XOR of the hashes of all contracts held.
	digest uint64
}

// NewContracts returns an empty set of contracts.
func NewContracts() *Contracts {
	return &Contracts{byCustomer: map[string]Contract{}}
}

// Put stores a copy of c and returns true if its revision is higher than the
// one held. Revision 0 is never stored.
func (s *Contracts) Put(c Contract) bool {
	old, ok := s.byCustomer[c.Customer]
	if c.Revision == 0 || (ok && c.Revision <= old.Revision) {
		return false
	}
	if ok {
		s.digest ^= old.hash()
	}
	c.Document = bytes.Clone(c.Document)
	s.byCustomer[c.Customer] = c
	s.digest ^= c.hash()
	return true
}

// Get returns the contract of a customer, and false if none is held.
func (s *Contracts) Get(customer string) (Contract, bool) {
	c, ok := s.byCustomer[customer]
	return c, ok
}

// Customers returns the customers in alphabetical order.
func (s *Contracts) Customers() []string {
	return slices.Sorted(maps.Keys(s.byCustomer))
}

// Status returns the revisions held, in alphabetical order of customers.
func (s *Contracts) Status() []*controlpb.ContractStatus {
	status := make([]*controlpb.ContractStatus, 0, len(s.byCustomer))
	for _, customer := range s.Customers() {
		status = append(status, &controlpb.ContractStatus{
			Customer: customer, Revision: s.byCustomer[customer].Revision,
		})
	}
	return status
}
