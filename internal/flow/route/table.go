// Package route holds the operator's configuration as balancers apply it: to which
// service a new flow goes, by the address that the client connected to.
package route

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Target is a service to which new flows of a route go.
type Target struct {
	Service identity.ServiceID
	// Weight is the target's share of the route's new flows, relative to the weights of
	// the other targets.
	Weight int
}

// Route determines where the new flows to one address go.
type Route struct {
	Address netip.AddrPort
	Targets []Target
	// Priority is that of the requests in the flows; 0 is the highest.
	Priority int
	// Bulk is set if requests are long and responses short, as in uploads.
	Bulk bool
	// LatencyGoal is the time in which a request should get its response. Timeout is the
	// time after which its client stops waiting. 0 means unknown.
	LatencyGoal, Timeout clock.Millis
}

// Config configures a Table.
type Config struct {
	// Version increases with each configuration.
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may be idle before balancers may remove its entry.
	IdleTimeout clock.Millis
	// Document is the configuration as the operator wrote it. Balancers send it to peers.
	Document []byte
}

// Table is an immutable configuration. The methods of a nil Table return zero values.
type Table struct {
	config Config
	routes map[netip.AddrPort]Route
}

// NewTable returns a table of config. A later route of the same address replaces an
// earlier one.
func NewTable(config Config) *Table {
	t := &Table{config: config, routes: make(map[netip.AddrPort]Route, len(config.Routes))}
	for _, r := range config.Routes {
		t.routes[r.Address] = r
	}
	return t
}

// Version returns the version of the configuration, 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.config.Version
}

// IdleTimeout returns how long a flow may be idle; 0 means that no limit is configured.
func (t *Table) IdleTimeout() clock.Millis {
	if t == nil {
		return 0
	}
	return t.config.IdleTimeout
}

// Document returns the configuration as the operator wrote it. Callers must not change
// it.
func (t *Table) Document() []byte {
	if t == nil {
		return nil
	}
	return t.config.Document
}

// Len returns the number of routes, without those that a later one replaced.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// Lookup returns the route of an address, and false if there is none.
func (t *Table) Lookup(address netip.AddrPort) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	r, ok := t.routes[address]
	return r, ok
}

// Service returns the service to which a new flow goes, by weight. It depends only on the
// route and the key, so that every balancer with the same table returns the same one.
// The route must have a target.
func (r Route) Service(key segment.Key) identity.ServiceID {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	point := int(key.Hash() % uint64(total))
	for _, target := range r.Targets {
		if point < target.Weight {
			return target.Service
		}
		point -= target.Weight
	}
	return r.Targets[0].Service
}
