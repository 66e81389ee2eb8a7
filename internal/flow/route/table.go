// Package route holds the operator's configuration in the form that balancers apply. It
// determines the service of a new flow from the address that the client connected to.
package route

import (
	"iter"
	"maps"
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
	// Priority is the priority of the requests in the route's flows; 0 is the highest.
	Priority int
	// Bulk is set if requests are long and responses short, as in uploads.
	Bulk bool
	// Repeatable is set if a request may be sent again after it may have been executed.
	Repeatable bool
	// LatencyGoal is the time in which a request should get its response. Timeout is the
	// time after which the client of a request stops waiting. Either is 0 if unknown.
	LatencyGoal, Timeout clock.Millis
}

// Service holds the settings of a service.
type Service struct {
	ID identity.ServiceID
	// WarmupRate is the rate in requests a second to which an upstream of the service is
	// limited while it is cold. 0 means no limit.
	WarmupRate float64
}

// Config configures a Table.
type Config struct {
	// Version is higher than that of every earlier configuration.
	Version uint64
	Routes  []Route
	// Services are the services that have settings.
	Services []Service
	// IdleTimeout is how long a flow may be idle before balancers may remove its entry.
	IdleTimeout clock.Millis
	// Document is the configuration as the operator wrote it. Balancers send it to each
	// other.
	Document []byte
}

// Table is an immutable configuration. The methods of a nil Table return zero values.
type Table struct {
	config Config
	routes map[netip.AddrPort]Route
	// warmupRates holds the limits by service, in requests a second. Services without a
	// limit have no entry.
	warmupRates map[identity.ServiceID]float64
}

// NewTable returns a table of config. A later route of the same address, or a later entry
// of the same service, replaces an earlier one.
func NewTable(config Config) *Table {
	t := &Table{
		config: config, routes: make(map[netip.AddrPort]Route, len(config.Routes)),
		warmupRates: map[identity.ServiceID]float64{},
	}
	for _, r := range config.Routes {
		t.routes[r.Address] = r
	}
	for _, s := range config.Services {
		delete(t.warmupRates, s.ID)
		if s.WarmupRate > 0 {
			t.warmupRates[s.ID] = s.WarmupRate
		}
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

// Len returns the number of routes, without those that a later route replaced.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// Routes returns all routes, in no particular order.
func (t *Table) Routes() iter.Seq[Route] {
	if t == nil {
		return func(func(Route) bool) {}
	}
	return maps.Values(t.routes)
}

// Lookup returns the route of an address, and false if there is none.
func (t *Table) Lookup(address netip.AddrPort) (Route, bool) {
	if t == nil {
		return Route{}, false
	}
	r, ok := t.routes[address]
	return r, ok
}

// WarmupRate returns the rate in requests a second to which a cold upstream of a service
// is limited. 0 means no limit.
func (t *Table) WarmupRate(service identity.ServiceID) float64 {
	if t == nil {
		return 0
	}
	return t.warmupRates[service]
}

// Service selects the service of a new flow, in proportion to the weights of the targets.
// The result depends only on the route and the key, so that every balancer with the same
// table selects the same service. The route must have a target.
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
