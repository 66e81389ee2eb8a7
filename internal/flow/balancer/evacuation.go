package balancer

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

// SetEvacuated sets the evacuated data centres. Their sidecars get no new flows. Pending
// flows are placed elsewhere when they are tried again.
func (b *Balancer) SetEvacuated(dataCentres []string) {
	b.evacuated = make(map[string]bool, len(dataCentres))
	for _, dataCentre := range dataCentres {
		b.evacuated[dataCentre] = true
	}
	for _, sc := range b.sidecars {
		sc.evacuated = sc.report.Evacuated || b.evacuated[sc.report.DataCentre]
	}
}

// allEvacuated reports whether a service has sidecars that only evacuations keep from new
// flows, and none that is usable. While sidecars have not reported yet, one of them may be
// usable. A sidecar that knows of the evacuation does not state whether its upstream
// accepts; it counts as if it did.
func (b *Balancer) allEvacuated(now clock.Millis, service identity.ServiceID) bool {
	found := false
	for _, sc := range b.services[service] {
		switch {
		case sc.usable(now):
			return false
		case sc.evacuated && sc.live(now) && (sc.report.Accepting || sc.report.Evacuated):
			found = true
		}
	}
	return found && b.config.AllReported()
}

// markEvacuated records that the sidecar has refused a flow because its data centre is
// evacuated. Its next report says the same, or that the evacuation has ended.
func (sc *sidecar) markEvacuated() {
	sc.report.Accepting, sc.report.Evacuated, sc.evacuated = false, true, true
}

// Service returns the service of a sidecar, or false if the sidecar is unknown.
func (b *Balancer) Service(address netip.AddrPort) (identity.ServiceID, bool) {
	sc := b.sidecars[address]
	if sc == nil {
		return 0, false
	}
	return sc.report.Service, true
}
