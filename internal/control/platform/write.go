package platform

import (
	"context"
	"errors"
	"slices"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

const (
	contractPrefix = "contracts/"
	addressPrefix  = "addresses/"
)

var errConcurrentChanges = errors.New("every attempt conflicted with another change")

// change is one write of an operator and its progress.
type change struct {
	client   *Client
	customer string
	// contract is nil for a deletion.
	contract *contract.Contract
	id       string
	// expected is the revision that the change replaces. It is nil until it is
	// known.
	expected *uint64
	// uncertain is set if a transaction was sent whose outcome is unknown.
	uncertain bool
	proposed  contract.Document
}

// state is the part of the platform's data that concerns a change.
type state struct {
	document *contract.Document
	// index is the modification index of the contract's key. It is 0 if the key
	// does not exist.
	index    uint64
	log      changeLog
	logIndex uint64
	// claims holds the claims that exist for the ports of the old and the new
	// contract.
	claims map[uint16]claim
}

type claim struct {
	owner string
	index uint64
}

// PutContract writes a contract as the next revision and claims its ports. With
// expectedRevision it replaces only that revision. Revision 0 means that the
// customer must never have had a contract.
//
// If the error is a *ConflictError, a *PortClaimedError or a *NotWrittenError,
// nothing was written. If it is an *UncertainError, the contract may have been
// written, even if the error wraps a *ConflictError.
func (c *Client) PutContract(ctx context.Context, next contract.Contract, expectedRevision *uint64) (contract.Document, error) {
	return c.write(ctx, &change{customer: next.Customer(), contract: &next, expected: expectedRevision})
}

// DeleteContract writes a tombstone as the next revision and releases the
// ports. It returns the errors of PutContract, and a *NotFoundError if there is
// no contract.
func (c *Client) DeleteContract(ctx context.Context, customer string, expectedRevision *uint64) (contract.Document, error) {
	return c.write(ctx, &change{customer: customer, expected: expectedRevision})
}

func (c *Client) write(ctx context.Context, ch *change) (contract.Document, error) {
	ch.client = c
	ch.id = c.config.NewChangeID()
	cause := errConcurrentChanges
	for attempt := range c.config.Attempts {
		// The second attempt follows without a delay, because a read usually
		// shows whether a transaction whose response was lost was applied.
		if attempt > 1 && c.backoff(ctx, attempt-1) != nil {
			break
		}
		written, err := ch.attempt(ctx)
		var call *callError
		switch {
		case err == nil && written:
			return ch.proposed, nil
		case errors.As(err, &call):
			cause = err
		case err != nil:
			return contract.Document{}, err
		}
		if isPermanent(err) {
			break
		}
	}
	if ch.uncertain {
		return contract.Document{}, &UncertainError{proposed: ch.proposed, cause: cause}
	}
	return contract.Document{}, &NotWrittenError{cause: cause}
}

// attempt reads the state and returns true if an earlier attempt succeeded.
// Otherwise it sends the transaction and reports whether the transaction was
// applied. Another attempt may succeed after a *callError that is not
// permanent, and after false without an error, which means that the state
// changed after it was read.
func (ch *change) attempt(ctx context.Context) (bool, error) {
	held, err := ch.read(ctx)
	if err != nil {
		return false, ch.keepUncertain(err)
	}
	if held.document != nil && held.document.ChangeID() == ch.id {
		ch.proposed = *held.document
		return true, nil
	}
	if err := ch.checkState(held); err != nil {
		return false, err
	}
	operations, err := ch.operations(held)
	if err != nil {
		return false, ch.keepUncertain(err)
	}
	applied, err := ch.client.transact(ctx, operations)
	var call *callError
	if errors.As(err, &call) && !call.notApplied {
		ch.uncertain = true
	}
	return applied, err
}

// keepUncertain returns an UncertainError if the outcome of an earlier
// transaction is unknown, so that err is not reported as "nothing was written".
// A *callError is returned unchanged, because write makes the same distinction
// for it.
func (ch *change) keepUncertain(err error) error {
	var call *callError
	if !ch.uncertain || errors.As(err, &call) {
		return err
	}
	return &UncertainError{proposed: ch.proposed, cause: err}
}

func (ch *change) read(ctx context.Context) (state, error) {
	held := state{claims: make(map[uint16]claim)}
	// The change log is read first. A change that is written after this read
	// then makes the transaction fail, whatever the other reads return.
	log, _, err := ch.client.get(ctx, changeLogKey)
	if err != nil {
		return held, err
	}
	held.logIndex = log.ModifyIndex
	if held.log, err = parseChangeLog(log.Value); err != nil {
		ch.client.config.Report(err)
	}
	stored, ok, err := ch.client.get(ctx, contractPrefix+ch.customer)
	if err != nil {
		return held, err
	}
	if ok {
		document, err := contract.ParseDocument(ch.customer, stored.Value)
		if err != nil {
			return held, err
		}
		held.document = &document
		held.index = stored.ModifyIndex
	}
	for _, port := range append(ch.newPorts(), held.ports()...) {
		entry, ok, err := ch.client.get(ctx, addressKey(port))
		if err != nil {
			return held, err
		}
		if ok {
			held.claims[port] = claim{owner: string(entry.Value), index: entry.ModifyIndex}
		}
	}
	return held, nil
}

// checkState sets the expected revision and the proposed document, and returns
// an error if the change cannot be written to the state held. If the state
// differs from that of an earlier attempt, another change was written. A
// delayed transaction of that attempt then fails because of the change log.
func (ch *change) checkState(held state) error {
	revision := revisionOf(held.document)
	if ch.expected == nil {
		ch.expected = &revision
	}
	if err := ch.propose(); err != nil {
		return err
	}
	if revision != *ch.expected {
		conflict := &ConflictError{expected: *ch.expected, current: held.document, proposed: ch.proposed}
		// If only the next revision was written, it is another operator's
		// change, and this one was not written. If several revisions were
		// written, one that is no longer visible may be this change.
		if revision == *ch.expected+1 {
			return conflict
		}
		return ch.keepUncertain(conflict)
	}
	if ch.contract == nil && (held.document == nil || held.document.Deleted()) {
		return &NotFoundError{customer: ch.customer}
	}
	for _, port := range ch.newPorts() {
		if owner := held.claims[port].owner; owner != "" && owner != ch.customer {
			return &PortClaimedError{port: port, owner: owner}
		}
	}
	return nil
}

func (ch *change) propose() error {
	revision := *ch.expected + 1
	if ch.contract == nil {
		ch.proposed = contract.NewTombstone(ch.customer, revision, ch.id)
		return nil
	}
	var err error
	ch.proposed, err = contract.NewDocument(*ch.contract, revision, ch.id)
	return err
}

// operations returns the transaction. It writes the document and the change log
// at the indices that were read, claims the new ports, checks the claims of the
// ports that are kept, and releases the ports that are no longer used.
func (ch *change) operations(held state) ([]operation, error) {
	encoded, err := ch.proposed.Encode()
	if err != nil {
		return nil, err
	}
	log, err := held.log.with(ch.customer, ch.id).encode()
	if err != nil {
		return nil, err
	}
	operations := []operation{
		compareAndSet(contractPrefix+ch.customer, held.index, encoded),
		compareAndSet(changeLogKey, held.logIndex, log),
	}
	next := ch.newPorts()
	for _, port := range next {
		portClaim := held.claims[port]
		if portClaim.index == 0 {
			operations = append(operations, compareAndSet(addressKey(port), 0, []byte(ch.customer)))
			continue
		}
		operations = append(operations, checkIndex(addressKey(port), portClaim.index))
	}
	for _, port := range held.ports() {
		portClaim := held.claims[port]
		if portClaim.owner == ch.customer && !slices.Contains(next, port) {
			operations = append(operations, compareAndDelete(addressKey(port), portClaim.index))
		}
	}
	return operations, nil
}

func (ch *change) newPorts() []uint16 {
	if ch.contract == nil {
		return nil
	}
	return ch.contract.Ports()
}

// ports returns the ports of the stored contract.
func (s state) ports() []uint16 {
	if s.document == nil {
		return nil
	}
	held, ok := s.document.Contract()
	if !ok {
		return nil
	}
	return held.Ports()
}

func addressKey(port uint16) string {
	return addressPrefix + strconv.Itoa(int(port))
}
