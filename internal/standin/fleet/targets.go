package fleet

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/platform"
)

// configurationGracePeriod is how long after a change a new flow may still open at a
// service that only an older configuration allows.
const configurationGracePeriod = 3 * clock.Second

// targets holds the services to which the operator sends the new flows of each route.
type targets struct {
	// byRoute holds the target services of each route. A dropped route has none.
	byRoute [][]int
	// removedAt is when a service ceased to be a target of a route, by route and service.
	removedAt map[[2]int]clock.Millis
}

// newTargets returns targets by which each route leads to the service of the same number.
func newTargets(services int) targets {
	t := targets{removedAt: map[[2]int]clock.Millis{}}
	for s := range services {
		t.byRoute = append(t.byRoute, []int{s})
	}
	return t
}

// routes returns the routes of the current configuration.
func (t *targets) routes() []route.Route {
	var routes []route.Route
	for r, services := range t.byRoute {
		if len(services) == 0 {
			continue
		}
		current := route.Route{Address: serviceAddress(r), LatencyGoal: latencyGoal, Timeout: responseTimeout, Repeatable: repeatableRoute(r)}
		for _, service := range services {
			current.Targets = append(current.Targets, route.Target{Service: platform.ServiceID(serviceName(service)), Weight: 1})
		}
		routes = append(routes, current)
	}
	return routes
}

// repeatableRoute reports whether the requests of a route may be repeated.
func repeatableRoute(route int) bool { return route%2 == 1 }

// indexOf returns the route of an address, or -1 if there is none.
func (t *targets) indexOf(address netip.AddrPort) int {
	for r := range t.byRoute {
		if serviceAddress(r) == address {
			return r
		}
	}
	return -1
}

// Retarget sends the new flows of a route to the given services from now on. Without
// services, it drops the route. The new configuration reaches each balancer after a delay
// of its own.
func (c *Cluster) Retarget(route int, services ...int) {
	for _, old := range c.targets.byRoute[route] {
		if !slices.Contains(services, old) {
			c.targets.removedAt[[2]int{route, old}] = c.now
		}
	}
	c.targets.byRoute[route] = services
	c.Reconfigure()
}

// Targets returns the services to which the new flows of a route go.
func (c *Cluster) Targets(route int) []int { return c.targets.byRoute[route] }

// allowed reports whether a new flow of an address may open at a service now.
func (c *Cluster) allowed(address netip.AddrPort, service int) bool {
	r := c.targets.indexOf(address)
	if r < 0 {
		return false
	}
	if slices.Contains(c.targets.byRoute[r], service) {
		return true
	}
	removedAt, wasTarget := c.targets.removedAt[[2]int{r, service}]
	// Faults of the store can delay a configuration without limit.
	return wasTarget && (c.config.Remote != nil || c.config.Store || c.now-removedAt <= configurationGracePeriod)
}
