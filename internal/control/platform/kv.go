package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// pair is one key as the API returns it. encoding/json decodes Value from
// base64.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// operation is one step of a transaction.
type operation struct {
	KV kvOperation
}

type kvOperation struct {
	Verb  string
	Key   string
	Value []byte `json:",omitempty"`
	// Index is the modification index that the key must have. 0 means that the
	// key must not exist.
	Index uint64 `json:",omitempty"`
}

func compareAndSet(key string, index uint64, value []byte) operation {
	return operation{KV: kvOperation{Verb: "cas", Key: key, Value: value, Index: index}}
}

func compareAndDelete(key string, index uint64) operation {
	return operation{KV: kvOperation{Verb: "delete-cas", Key: key, Index: index}}
}

func checkIndex(key string, index uint64) operation {
	return operation{KV: kvOperation{Verb: "check-index", Key: key, Index: index}}
}

// get reads a key with full consistency. It returns false if the key does not
// exist.
func (c *Client) get(ctx context.Context, key string) (pair, bool, error) {
	pairs, _, err := c.read(ctx, key, url.Values{"consistent": {""}}, 0)
	if err != nil || len(pairs) == 0 {
		return pair{}, false, err
	}
	return pairs[0], true, nil
}

// list reads all keys under a prefix with full consistency.
func (c *Client) list(ctx context.Context, prefix string) ([]pair, error) {
	pairs, _, err := c.read(ctx, prefix, url.Values{"recurse": {""}, "consistent": {""}}, 0)
	return pairs, err
}

// watch reads a key when its index exceeds lastIndex, or when WatchWait has
// passed. If lastIndex is 0, it reads the key at once.
func (c *Client) watch(ctx context.Context, key string, lastIndex uint64) ([]pair, uint64, error) {
	if lastIndex == 0 {
		return c.read(ctx, key, nil, 0)
	}
	query := url.Values{
		"index": {strconv.FormatUint(lastIndex, 10)},
		"wait":  {c.config.WatchWait.Duration().String()},
	}
	// Consul adds up to 1/16 to the wait.
	return c.read(ctx, key, query, c.config.WatchWait+c.config.WatchWait/16)
}

func (c *Client) read(ctx context.Context, key string, query url.Values, extra clock.Millis) ([]pair, uint64, error) {
	path := "/v1/kv/" + key
	resp, err := c.call(ctx, http.MethodGet, path, query, nil, extra)
	if err != nil {
		return nil, 0, err
	}
	if resp.status == http.StatusNotFound {
		return nil, resp.index, nil
	}
	var pairs []pair
	if err := json.Unmarshal(resp.body, &pairs); err != nil {
		return nil, 0, &callError{method: http.MethodGet, path: path, cause: err}
	}
	return pairs, resp.index, nil
}

// transact runs all operations or none. If one of them fails, it returns false
// and nothing has changed.
func (c *Client) transact(ctx context.Context, operations []operation) (bool, error) {
	const path = "/v1/txn"
	body, err := json.Marshal(operations)
	if err != nil {
		return false, err
	}
	resp, err := c.call(ctx, http.MethodPut, path, nil, body, 0)
	if err != nil {
		return false, err
	}
	if resp.status == http.StatusNotFound {
		err := fmt.Errorf("status %d", resp.status)
		return false, &callError{method: http.MethodPut, path: path, cause: err, notApplied: true, permanent: true}
	}
	return resp.status == http.StatusOK, nil
}

// retry repeats a read until it succeeds or fails permanently, until ctx ends,
// or until Attempts are used up.
func (c *Client) retry(ctx context.Context, read func() error) error {
	err := read()
	for attempt := 1; err != nil && !isPermanent(err) && attempt < c.config.Attempts; attempt++ {
		if c.backoff(ctx, attempt) != nil {
			return err
		}
		err = read()
	}
	return err
}
