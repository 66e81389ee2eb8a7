// Package route holds the operator's configuration as balancers apply it: which
// service a new flow enters, by the address that the client called.
package route

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Target is a service that new flows of a route enter.
type Target struct {
	Service identity.ServiceID
	// Weight is the share of the route's new flows, relative to the other targets.
	Weight int
}

// Route tells where the new flows of one address go.
type Route struct {
	Address netip.AddrPort
	Targets []Target
	// Priority of the requests in the flows; 0 is the highest.
	Priority int
	// Bulk tells that requests are long and responses short, as in uploads.
	Bulk bool
	// LatencyGoal is the time in which a request should be answered, and Timeout the
	// time after which its client gives up; 0 means not known.
	LatencyGoal, Timeout clock.Millis
}

// Config configures a Table.
type Config struct {
	// Version rises with each configuration.
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may be idle before it may be forgotten.
	IdleTimeout clock.Millis
	// Document is the configuration as the operator wrote it, for peers.
	Document []byte
}

// Table is an immutable configuration.
type Table struct {
	config Config
	routes map[netip.AddrPort]Route
}

// NewTable returns a table. A later route of the same address replaces an earlier
// one.
func NewTable(config Config) *Table {
	t := &Table{config: config, routes: make(map[netip.AddrPort]Route, len(config.Routes))}
	for _, r := range config.Routes {
		t.routes[r.Address] = r
	}
	return t
}

// Version returns the version, 0 for a nil table.
func (t *Table) Version() uint64 {
	if t == nil {
		return 0
	}
	return t.config.Version
}

// IdleTimeout returns how long a flow may be idle; 0 means no limit was given.
func (t *Table) IdleTimeout() clock.Millis {
	if t == nil {
		return 0
	}
	return t.config.IdleTimeout
}

// Document returns the configuration as the operator wrote it.
func (t *Table) Document() []byte {
	if t == nil {
		return nil
	}
	return t.config.Document
}

// Len returns the number of routes.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// Lookup returns the route of an address. It returns false if there is none.
func (t *Table) Lookup(address netip.AddrPort) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	r, ok := t.routes[address]
	return r, ok
}

// Service returns the service that a new flow enters. Every balancer with the
// same table returns the same one.
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
