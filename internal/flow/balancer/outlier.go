package balancer

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
)

// observeFailures passes the failures in a sidecar's report on. A sidecar that accepts no new
// flows does not count among those of its service, so that the others are not ejected if it
// would have to take their flows.
func (b *Balancer) observeFailures(now clock.Millis, from netip.AddrPort, r relay.Report) {
	switch {
	case b.config.Outliers == nil:
	case r.Accepting && !r.Departed && r.Work.Known:
		b.config.Outliers.Observe(now, r.Service, from, r.Work.Failed, r.Work.Ended)
	default:
		b.config.Outliers.Leave(now, from)
	}
}
