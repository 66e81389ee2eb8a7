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
	// seedTTL is the TTL of the session that holds a seed entry. It is the
	// shortest TTL that Consul allows.
	seedTTL = 10 * clock.Second
	// seedRenewal allows two more attempts before the session expires.
	seedRenewal = seedTTL / 3
)

// Seed is the control address of a balancer to which new processes connect. The
// balancer may no longer run.
type Seed struct {
	dataCentre string
	id         identity.OwnerID
	address    netip.AddrPort
}

// DataCentre returns the data centre of the balancer.
func (s Seed) DataCentre() string { return s.dataCentre }

// ID returns the ID of the balancer, which identifies one incarnation.
func (s Seed) ID() identity.OwnerID { return s.id }

// Address returns the control address of the balancer.
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

// RegisterSeed maintains the seed entry of a balancer until ctx ends, and then
// removes it. After an outage or an expired session it registers the entry
// again.
func (c *Client) RegisterSeed(ctx context.Context, dataCentre string, id identity.OwnerID, address netip.AddrPort) error {
	key := seedPrefix + dataCentre + "/" + id.String()
	var session string
	for failures := 0; ctx.Err() == nil; {
		next, err := c.refreshSeed(ctx, session, key, address)
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
		// If this fails, the session expires.
		_, _ = c.call(context.WithoutCancel(ctx), http.MethodPut, "/v1/session/destroy/"+session, nil, nil, 0)
	}
	return ctx.Err()
}

// refreshSeed renews or creates the session, and writes the entry under it. It
// writes every time, because the entry may have been removed without the
// session. It returns the ID of the session, or "" if there is none.
func (c *Client) refreshSeed(ctx context.Context, session, key string, address netip.AddrPort) (string, error) {
	if session != "" {
		resp, err := c.call(ctx, http.MethodPut, "/v1/session/renew/"+session, nil, nil, 0)
		if err != nil {
			return session, err
		}
		if resp.status == http.StatusNotFound {
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
	resp, err := c.call(ctx, http.MethodPut, "/v1/kv/"+key, query, []byte(address.String()), 0)
	if err != nil {
		return session, err
	}
	if strings.TrimSpace(string(resp.body)) != "true" {
		return session, fmt.Errorf("seed %q is held by another session", key)
	}
	return session, nil
}

func (c *Client) createSession(ctx context.Context) (string, error) {
	const path = "/v1/session/create"
	// Without a lock delay, a balancer whose session expired can register at
	// once.
	body, err := json.Marshal(map[string]string{
		"Name": "orioledyke-seed", "TTL": seedTTL.Duration().String(), "Behavior": "delete", "LockDelay": "0s",
	})
	if err != nil {
		return "", err
	}
	resp, err := c.call(ctx, http.MethodPut, path, nil, body, 0)
	if err != nil {
		return "", err
	}
	var created struct{ ID string }
	if err := json.Unmarshal(resp.body, &created); err != nil || created.ID == "" {
		return "", &callError{method: http.MethodPut, path: path, cause: fmt.Errorf("no session identifier in the response")}
	}
	return created.ID, nil
}
