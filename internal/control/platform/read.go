package platform

import (
	"context"
	"slices"
	"strings"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

// Contract reads the document of a customer, which may be a tombstone. The error
// is a *NotFoundError if the customer never had a contract.
func (c *Client) Contract(ctx context.Context, customer string) (contract.Document, error) {
	var stored pair
	var ok bool
	err := c.retry(ctx, func() (err error) {
		stored, ok, err = c.get(ctx, contractPrefix+customer)
		return err
	})
	if err != nil {
		return contract.Document{}, err
	}
	if !ok {
		return contract.Document{}, &NotFoundError{customer: customer}
	}
	return contract.ParseDocument(customer, stored.Value)
}

// Contracts reads all documents, tombstones included, ordered by customer.
// Documents that cannot be parsed are reported and left out.
func (c *Client) Contracts(ctx context.Context) ([]contract.Document, error) {
	var pairs []pair
	err := c.retry(ctx, func() (err error) {
		pairs, _, err = c.list(ctx, contractPrefix)
		return err
	})
	return c.documents(pairs), err
}

// documents parses stored contracts. One that cannot be parsed must not keep the
// others from taking effect.
func (c *Client) documents(pairs []pair) []contract.Document {
	documents := make([]contract.Document, 0, len(pairs))
	for _, p := range pairs {
		d, err := contract.ParseDocument(strings.TrimPrefix(p.Key, contractPrefix), p.Value)
		if err != nil {
			c.config.Report(err)
			continue
		}
		documents = append(documents, d)
	}
	return documents
}

// WatchContracts delivers every document, tombstones included, and then each
// change, until ctx ends. It reconnects after faults. For a customer it delivers
// rising revisions only, but may skip some.
func (c *Client) WatchContracts(ctx context.Context, deliver func(contract.Document)) error {
	delivered := contract.NewStore()
	var index uint64
	for failures := 0; ctx.Err() == nil; {
		pairs, next, err := c.watch(ctx, contractPrefix, index)
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			c.config.Report(err)
			failures++
			if c.backoff(ctx, failures) != nil {
				break
			}
			continue
		}
		failures = 0
		if next < index {
			// The service was restored or replaced: its indices start again.
			index = 0
		}
		for _, d := range c.documents(changedAfter(pairs, index)) {
			if delivered.Apply(d) {
				deliver(d)
			}
		}
		index = next
	}
	return ctx.Err()
}

// changedAfter returns the pairs that changed after index. Parsing all contracts
// at each response would take a good part of a core.
func changedAfter(pairs []pair, index uint64) []pair {
	return slices.DeleteFunc(pairs, func(p pair) bool { return p.ModifyIndex <= index })
}
