package contract

import (
	"maps"
	"slices"
)

// Store holds the newest document of each customer, including tombstones. It is
// not safe for concurrent use.
type Store struct {
	documents map[string]Document
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{documents: make(map[string]Document)}
}

// Apply stores d if its revision is higher than the one held for its customer,
// and reports whether it did.
func (s *Store) Apply(d Document) bool {
	if d.Revision() <= s.documents[d.Customer()].Revision() {
		return false
	}
	s.documents[d.Customer()] = d
	return true
}

// Document returns the document of a customer, and false if there is none.
func (s *Store) Document(customer string) (Document, bool) {
	d, ok := s.documents[customer]
	return d, ok
}

// Documents returns all documents, ordered by customer.
func (s *Store) Documents() []Document {
	documents := make([]Document, 0, len(s.documents))
	for _, customer := range slices.Sorted(maps.Keys(s.documents)) {
		documents = append(documents, s.documents[customer])
	}
	return documents
}
