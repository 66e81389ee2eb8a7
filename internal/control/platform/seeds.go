package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	seedPrefix = "seeds/"
	// seedTTL is the lease of a seed entry: the shortest that Consul allows.
	seedTTL = 10 * clock.Second
	// seedRenewal leaves two more attempts before the lease ends.
	seedRenewal = seedTTL / 3
)

// Seed is the control address of a balancer that new processes connect to. It is
// a hint: the balancer may be gone.
type Seed struct {
	dataCentre string
	id         identity.OwnerID
	address    netip.AddrPort
}

// DataCentre returns the data centre of the balancer.
func (s Seed) DataCentre() string { return s.dataCentre }

// ID returns the incarnation of the balancer.
func (s Seed) ID() identity.OwnerID { return s.id }

// Address returns the control address.
func (s Seed) Address() netip.AddrPort { return s.address }

// Seeds reads the seeds of all data centres, ordered by data centre and ID.
// Entries that cannot be parsed are reported and left out.
func (c *Client) Seeds(ctx context.Context) ([]Seed, error) {
	var pairs []pair
	err := c.retry(ctx, func() (err error) {
		pairs, err = c.list(ctx, seedPrefix)
		return err
	})
	if err != nil {
		return nil, err
	}
	seeds := make([]Seed, 0, len(pairs))
	for _, p := range pairs {
		seed, err := parseSeed(p)
		if err != nil {
			c.config.Report(err)
			continue
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func parseSeed(p pair) (Seed, error) {
	dataCentre, name, ok := strings.Cut(strings.TrimPrefix(p.Key, seedPrefix), "/")
	if !ok {
		return Seed{}, fmt.Errorf("seed %q: want the key seeds/<data-centre>/<id>", p.Key)
	}
	id, err := identity.ParseOwnerID(name)
	if err != nil {
		return Seed{}, fmt.Errorf("seed %q: %w", p.Key, err)
	}
	address, err := netip.ParseAddrPort(string(p.Value))
	if err != nil {
		return Seed{}, fmt.Errorf("seed %q: %w", p.Key, err)
	}
	return Seed{dataCentre: dataCentre, id: id, address: address}, nil
}

// RegisterSeed keeps the seed entry of a balancer until ctx ends, and then
// removes it. After an outage or a lost lease it registers again.
func (c *Client) RegisterSeed(ctx context.Context, dataCentre string, id identity.OwnerID, address netip.AddrPort) error {
	key := seedPrefix + dataCentre + "/" + id.String()
	var session string
	for failures := 0; ctx.Err() == nil; {
		next, err := c.keepSeed(ctx, session, key, address)
		session = next
		if err == nil {
			failures = 0
			err = c.config.Sleep(ctx, seedRenewal)
		} else if ctx.Err() == nil {
			c.config.Report(err)
			failures++
			err = c.backoff(ctx, failures)
		}
		if err != nil {
			break
		}
	}
	if session != "" {
		// The lease ends on its own if this fails.
		_, _ = c.call(context.WithoutCancel(ctx), http.MethodPut, "/v1/session/destroy/"+session, nil, nil, 0)
	}
	return ctx.Err()
}

// keepSeed renews the session, or creates one, and writes the entry under it. It
// writes each time, because the entry may have been removed without the session.
// It returns the session, or "" if there is none any more.
func (c *Client) keepSeed(ctx context.Context, session, key string, address netip.AddrPort) (string, error) {
	if session != "" {
		answer, err := c.call(ctx, http.MethodPut, "/v1/session/renew/"+session, nil, nil, 0)
		if err != nil {
			return session, err
		}
		if answer.status == http.StatusNotFound {
			session = ""
		}
	}
	if session == "" {
		created, err := c.createSession(ctx)
		if err != nil {
			return "", err
		}
		session = created
	}
	query := url.Values{"acquire": {session}}
	answer, err := c.call(ctx, http.MethodPut, "/v1/kv/"+key, query, []byte(address.String()), 0)
	if err != nil {
		return session, err
	}
	if strings.TrimSpace(string(answer.body)) != "true" {
		return session, fmt.Errorf("seed %q is held by another lease", key)
	}
	return session, nil
}

func (c *Client) createSession(ctx context.Context) (string, error) {
	const path = "/v1/session/create"
	// Without the lock delay, a balancer whose lease expired registers at once.
	body, err := json.Marshal(map[string]string{
		"Name": "orioledyke-seed", "TTL": seedTTL.Duration().String(), "Behavior": "delete", "LockDelay": "0s",
	})
	if err != nil {
		return "", err
	}
	answer, err := c.call(ctx, http.MethodPut, path, nil, body, 0)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(answer.body, &created); err != nil || created.ID == "" {
		return "", &callError{method: http.MethodPut, path: path, cause: fmt.Errorf("no session identifier in the response")}
	}
	return created.ID, nil
}
