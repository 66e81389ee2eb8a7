package platform

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

var errNoIndex = errors.New("platform: watch: no index in the response")

// maxKnownChanges is how many identifiers of changes a watch remembers. A store
// is restored from a copy that is some seconds old.
const maxKnownChanges = 64

// contractWatch is the state of one WatchContracts call.
type contractWatch struct {
	client  *Client
	held    func(customer string) (contract.Document, bool)
	deliver func(contract.Document)
	// delivered holds the newest document delivered for each customer.
	delivered map[string]contract.Document
	// index is the platform's modification index in the last successful poll,
	// after which the next poll continues. With 0, the next poll reads all
	// contracts.
	index uint64
	// position is that of the newest change in the last response, and known
	// holds the identifiers of the changes in all responses.
	position logPosition
	known    []string
}

// ContractWatch configures WatchContracts.
type ContractWatch struct {
	// Held returns the document of a customer that is in effect, and false if
	// there is none.
	Held func(customer string) (contract.Document, bool)
	// Deliver is called with each document that is newer than the one before.
	Deliver func(contract.Document)
}

// WatchContracts delivers every document, including tombstones, and then each
// change, until ctx ends. It reconnects after errors. The revisions delivered
// for a customer always increase, but some may be skipped.
//
// A change that an operator makes after the platform was restored from an older
// copy may get a revision that had been given out before. WatchContracts then
// writes it again with a revision above the one in effect.
func (c *Client) WatchContracts(ctx context.Context, config ContractWatch) error {
	w := &contractWatch{client: c, held: config.Held, deliver: config.Deliver, delivered: map[string]contract.Document{}}
	failures := 0
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		c.config.Report(err)
		failures++
		if c.backoff(ctx, failures) != nil {
			break
		}
	}
	return ctx.Err()
}

// poll watches the change log and reads the contracts that have changed. It
// reads all contracts at the start, when the store was restored or replaced,
// and when the log does not reach back far enough. After an error, the next
// poll starts from the same index.
func (w *contractWatch) poll(ctx context.Context) error {
	pairs, index, err := w.client.watch(ctx, changeLogKey, w.index)
	if err != nil {
		return err
	}
	if index == 0 {
		// A watch with index 0 would not block, so the loop would not pause.
		return errNoIndex
	}
	var stored pair
	if len(pairs) > 0 {
		stored = pairs[0]
	}
	log, err := parseChangeLog(stored.Value)
	if err != nil {
		w.client.config.Report(err)
	}
	changed, ok := log.since(w.position)
	// A lower index means that the platform's store was restored or replaced.
	all := w.index == 0 || index < w.index || !ok
	if all {
		changed = log.sinceKnown(w.known)
		pairs, err = w.client.list(ctx, contractPrefix)
	} else {
		pairs, err = w.read(ctx, changed)
	}
	if err != nil {
		return err
	}
	outranked := w.deliverNewer(pairs)
	for _, customer := range changed {
		if p, ok := outranked[customer]; ok {
			return w.raise(ctx, p, log, stored.ModifyIndex)
		}
	}
	w.index = index
	w.position = log.last()
	w.remember(log.ChangeIDs)
	return nil
}

func (w *contractWatch) read(ctx context.Context, customers []string) ([]pair, error) {
	var pairs []pair
	for _, customer := range customers {
		stored, ok, err := w.client.get(ctx, contractPrefix+customer)
		if err != nil {
			return nil, err
		}
		if ok {
			pairs = append(pairs, stored)
		}
	}
	return pairs, nil
}

// deliverNewer delivers the documents that are newer than those in effect. It
// returns the others by customer, unless they are in effect themselves.
func (w *contractWatch) deliverNewer(pairs []pair) map[string]pair {
	outranked := map[string]pair{}
	for _, p := range pairs {
		for _, d := range w.client.documents([]pair{p}) {
			current := w.current(d.Customer())
			switch {
			case d.Revision() > current.Revision():
				w.delivered[d.Customer()] = d
				w.deliver(d)
			case d.ChangeID() != current.ChangeID():
				outranked[d.Customer()] = p
			}
		}
	}
	return outranked
}

// current returns the newest document that was delivered or is in effect.
func (w *contractWatch) current(customer string) contract.Document {
	held, _ := w.held(customer)
	if delivered := w.delivered[customer]; delivered.Revision() >= held.Revision() {
		return delivered
	}
	return held
}

// raise writes a document again with a revision above the one in effect. If it
// is no longer the stored one, nothing is written, and the next poll shows what
// is. log is the change log and logIndex its index.
func (w *contractWatch) raise(ctx context.Context, stored pair, log changeLog, logIndex uint64) error {
	d, err := contract.ParseDocument(strings.TrimPrefix(stored.Key, contractPrefix), stored.Value)
	if err != nil {
		return err
	}
	raised, err := d.WithRevision(w.current(d.Customer()).Revision() + 1).Encode()
	if err != nil {
		return err
	}
	extended, err := log.with(d.Customer(), d.ChangeID()).encode()
	if err != nil {
		return err
	}
	_, err = w.client.transact(ctx, []operation{
		compareAndSet(stored.Key, stored.ModifyIndex, raised), compareAndSet(changeLogKey, logIndex, extended),
	})
	return err
}

// remember adds identifiers of changes to the known ones.
func (w *contractWatch) remember(changeIDs []string) {
	for _, id := range changeIDs {
		if !slices.Contains(w.known, id) {
			w.known = append(w.known, id)
		}
	}
	w.known = w.known[max(len(w.known)-maxKnownChanges, 0):]
}
