package platform

import (
	"context"
	"strings"

	"github.com/orioledyke/orioledyke/internal/control/contract"
)

// Contract reads the document of a customer, which may be a tombstone. The
// error is a *NotFoundError if the customer never had a contract.
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

// Contracts reads all documents, including tombstones, ordered by customer.
// Documents that cannot be parsed are reported and left out.
func (c *Client) Contracts(ctx context.Context) ([]contract.Document, error) {
	var pairs []pair
	err := c.retry(ctx, func() (err error) {
		pairs, err = c.list(ctx, contractPrefix)
		return err
	})
	if err != nil {
		return nil, err
	}
	return c.documents(pairs), nil
}

// documents parses stored contracts. An invalid one must not keep the others
// from taking effect.
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
