package soak

import (
	"fmt"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopies is the number
	// that is kept.
	copyInterval = clock.Second
	maxCopies    = 15
	// maxOutage is the longest time for which the store is away before a restore, and
	// maxRewriteDelay the longest time after it until the operator has written the
	// configuration again.
	maxOutage       = 2 * clock.Second
	maxRewriteDelay = clock.Second
	// directoryPrefix is the prefix of the entries of hosts in the store.
	directoryPrefix = "orioledyke/hosts/"
)

// keepCopy takes a copy of the store if copyInterval has passed.
func (s *System) keepCopy(now clock.Millis) {
	if now-s.lastCopy < copyInterval {
		return
	}
	s.lastCopy = now
	s.store.Update(func(state *metadata.Store) { s.copies = append(s.copies, state.Copy()) })
	s.copies = s.copies[max(len(s.copies)-maxCopies, 0):]
}

// restoreStore restores the store from a random copy, at once or after an outage. The
// operator writes the configuration again later.
func (s *System) restoreStore() string {
	if len(s.copies) == 0 {
		return "nothing"
	}
	age := s.cluster.RandomInt(len(s.copies))
	from := s.copies[len(s.copies)-1-age]
	var outage clock.Millis
	if s.cluster.RandomInt(2) == 0 {
		outage = clock.Millis(s.cluster.RandomInt(int(maxOutage)))
		s.store.SetFault(metadata.Hangs)
	}
	rewriteDelay := clock.Millis(s.cluster.RandomInt(int(maxRewriteDelay)))
	s.postAt(s.now()+outage, func() {
		s.store.Update(func(state *metadata.Store) { state.Restore(from) })
		s.store.SetFault(metadata.Works)
	})
	s.postAt(s.now()+outage+rewriteDelay, s.writeConfiguration)
	return fmt.Sprintf("restore of the store from copy %d after %d ms", age, outage)
}

// postAt makes the goroutine that calls Run execute work at a time.
func (s *System) postAt(time clock.Millis, work func()) {
	var attempt func()
	attempt = func() {
		if s.now() < time {
			s.postLater(attempt)
			return
		}
		work()
	}
	attempt()
}

// checkDirectory records a failure for each running host without an entry in the store.
func (s *System) checkDirectory() {
	s.store.Update(func(state *metadata.Store) {
		check := func(h *host, list string, address netip.AddrPort) {
			if _, ok := state.Get(directoryPrefix + list + "/" + address.Addr().String()); !ok && h.steady() && !h.retired {
				s.recordFailure("%s has no entry in the directory", h.name)
			}
		}
		for i, h := range s.balancers {
			check(h, "balancers", s.address(1, i, relayPort))
		}
		for i, h := range s.sidecars {
			check(h, "sidecars", s.address(2, i, relayPort))
		}
	})
}
