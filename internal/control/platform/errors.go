package platform

import (
	"fmt"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

// ConflictError reports that the contract is not at the expected revision,
// because another operator changed it. Nothing was written.
type ConflictError struct {
	expected uint64
	current  *contract.Document
	proposed contract.Document
}

// Expected returns the revision on which the change was based. 0 means that the
// customer had never had a contract.
func (e *ConflictError) Expected() uint64 { return e.expected }

// Current returns the stored document, and false if there is none.
func (e *ConflictError) Current() (contract.Document, bool) {
	if e.current == nil {
		return contract.Document{}, false
	}
	return *e.current, true
}

// Proposed returns the document that was not written.
func (e *ConflictError) Proposed() contract.Document { return e.proposed }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: the contract of %q has revision %d, not %d; nothing was written",
		e.proposed.Customer(), revisionOf(e.current), e.expected)
}

// PortClaimedError reports that a port of the contract belongs to another
// customer. Nothing was written.
type PortClaimedError struct {
	port  uint16
	owner string
}

// Port returns the port that is already claimed.
func (e *PortClaimedError) Port() uint16 { return e.port }

// Owner returns the customer to which the port belongs.
func (e *PortClaimedError) Owner() string { return e.owner }

func (e *PortClaimedError) Error() string {
	return fmt.Sprintf("port %d belongs to customer %q; nothing was written", e.port, e.owner)
}

// NotFoundError reports that a customer has no contract.
type NotFoundError struct {
	customer string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("customer %q has no contract", e.customer)
}

// NotWrittenError reports that a change failed, usually because the platform
// was unavailable. Nothing was written.
type NotWrittenError struct {
	cause error
}

func (e *NotWrittenError) Error() string { return fmt.Sprintf("nothing was written: %v", e.cause) }

func (e *NotWrittenError) Unwrap() error { return e.cause }

// UncertainError reports that it is unknown whether a change was written. A
// response was lost. Either reading back could not determine the outcome, or
// the transaction may still take effect.
type UncertainError struct {
	proposed contract.Document
	cause    error
}

// Proposed returns the document that may have been written.
func (e *UncertainError) Proposed() contract.Document { return e.proposed }

func (e *UncertainError) Error() string {
	return fmt.Sprintf("revision %d of %q with change-id %s may have been written: %v",
		e.proposed.Revision(), e.proposed.Customer(), e.proposed.ChangeID(), e.cause)
}

func (e *UncertainError) Unwrap() error { return e.cause }

func revisionOf(d *contract.Document) uint64 {
	if d == nil {
		return 0
	}
	return d.Revision()
}
