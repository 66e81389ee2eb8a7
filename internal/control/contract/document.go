package contract

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxDocumentSize is the maximum size of an encoded Document in bytes. It
// allows 1,024 bytes for the revision and the change identifier.
const maxDocumentSize = MaxSize + 1024

// Document is what the platform stores for a customer: a revision with its
// change identifier, and either a contract or a deletion mark. It is immutable.
type Document struct {
	customer string
	stored   storedDocument
	contract Contract
}

type storedDocument struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"change-id"`
	Contract json.RawMessage `json:"contract,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// NewDocument returns the document of a contract. Revisions start at 1.
func NewDocument(c Contract, revision uint64, changeID string) (Document, error) {
	encoded, err := c.MarshalJSON()
	if err != nil {
		return Document{}, err
	}
	stored := storedDocument{Revision: revision, ChangeID: changeID, Contract: encoded}
	return Document{customer: c.Customer(), stored: stored, contract: c}, nil
}

// NewTombstone returns the document that marks a contract as deleted.
func NewTombstone(customer string, revision uint64, changeID string) Document {
	return Document{customer: customer, stored: storedDocument{Revision: revision, ChangeID: changeID, Deleted: true}}
}

// ParseDocument decodes and validates the document that is stored for a
// customer.
func ParseDocument(customer string, data []byte) (Document, error) {
	d, err := parseDocument(customer, data)
	if err != nil {
		return Document{}, fmt.Errorf("contract document of %q: %w", customer, err)
	}
	return d, nil
}

func parseDocument(customer string, data []byte) (Document, error) {
	d := Document{customer: customer}
	if !ValidName(customer) {
		return d, errors.New("not a valid customer name")
	}
	if len(data) > maxDocumentSize {
		return d, fmt.Errorf("has %d bytes; want at most %d", len(data), maxDocumentSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&d.stored); err != nil {
		return d, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return d, errors.New("want exactly one JSON value")
	}
	if d.stored.Revision == 0 {
		return d, errors.New("revision: want a whole number from 1")
	}
	if d.stored.ChangeID == "" {
		return d, errors.New("change-id: missing")
	}
	if d.stored.Deleted != (len(d.stored.Contract) == 0) {
		return d, errors.New("want either contract or deleted")
	}
	if d.stored.Deleted {
		return d, nil
	}
	return d.withContract()
}

func (d Document) withContract() (Document, error) {
	parsed, err := Parse(d.stored.Contract)
	if err != nil {
		return d, fmt.Errorf("contract: %w", err)
	}
	if parsed.Customer() != d.customer {
		return d, fmt.Errorf("contract: customer: %q is not %q", parsed.Customer(), d.customer)
	}
	return NewDocument(parsed, d.stored.Revision, d.stored.ChangeID)
}

// Customer returns the name of the customer.
func (d Document) Customer() string { return d.customer }

// Revision returns the revision. It starts at 1 and grows by one with each
// change.
func (d Document) Revision() uint64 { return d.stored.Revision }

// ChangeID returns the identifier of the change that wrote the document.
func (d Document) ChangeID() string { return d.stored.ChangeID }

// WithRevision returns a copy of d with another revision.
func (d Document) WithRevision(revision uint64) Document {
	d.stored.Revision = revision
	return d
}

// Deleted reports whether the document is a tombstone.
func (d Document) Deleted() bool { return d.stored.Deleted }

// Contract returns the contract, and false if it is deleted.
func (d Document) Contract() (Contract, bool) { return d.contract, !d.stored.Deleted }

// Encode returns the JSON form of d that the platform stores.
func (d Document) Encode() ([]byte, error) {
	return json.Marshal(d.stored)
}
