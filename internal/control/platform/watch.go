package platform

import (
	"context"
	"errors"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

var errNoIndex = errors.New("platform: watch: no index in the response")

// contractWatch is the state of one WatchContracts call.
type contractWatch struct {
	client  *Client
	deliver func(contract.Document)
	// revisions holds the newest revision delivered for each customer.
	revisions map[string]uint64
	// index is the platform's modification index in the last successful poll,
	// after which the next poll continues. With 0, the next poll reads all
	// contracts.
	index uint64
	// position is that of the newest change in the last response.
	position logPosition
}

// WatchContracts delivers every document, including tombstones, and then each
// change, until ctx ends. It reconnects after errors. The revisions delivered
// for a customer always increase, but some may be skipped.
func (c *Client) WatchContracts(ctx context.Context, deliver func(contract.Document)) error {
	w := &contractWatch{client: c, deliver: deliver, revisions: make(map[string]uint64)}
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
	var data []byte
	if len(pairs) > 0 {
		data = pairs[0].Value
	}
	log, err := parseChangeLog(data)
	if err != nil {
		w.client.config.Report(err)
	}
	customers, ok := log.since(w.position)
	// A lower index means that the platform's store was restored or replaced.
	if w.index == 0 || index < w.index || !ok {
		err = w.readAll(ctx)
	} else {
		err = w.readChanged(ctx, customers)
	}
	if err != nil {
		return err
	}
	w.index = index
	w.position = log.last()
	return nil
}

func (w *contractWatch) readAll(ctx context.Context) error {
	pairs, err := w.client.list(ctx, contractPrefix)
	if err != nil {
		return err
	}
	w.deliverNewer(pairs)
	return nil
}

func (w *contractWatch) readChanged(ctx context.Context, customers []string) error {
	for _, customer := range customers {
		stored, ok, err := w.client.get(ctx, contractPrefix+customer)
		if err != nil {
			return err
		}
		if ok {
			w.deliverNewer([]pair{stored})
		}
	}
	return nil
}

func (w *contractWatch) deliverNewer(pairs []pair) {
	for _, d := range w.client.documents(pairs) {
		if d.Revision() > w.revisions[d.Customer()] {
			w.revisions[d.Customer()] = d.Revision()
			w.deliver(d)
		}
	}
}
