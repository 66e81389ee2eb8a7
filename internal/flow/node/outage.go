package node

import (
	"math/rand/v2"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"go.uber.org/zap"
)

const (
	// maxKnownOutages is the number of announced outages that a process remembers. Each of
	// 500 balancers announces the same outage under a number of its own.
	maxKnownOutages = 16
	// outageVerifyInterval is the shortest time between two checks of the process's own entry
	// for announced outages. It exceeds the time for which a balancer announces one.
	outageVerifyInterval = 6 * clock.Second
	// silenceLimit is the shortest time without a message of any balancer after which a
	// sidecar looks for balancers in the directory, and missedDigests is the number of
	// digests that would have come in that time.
	silenceLimit  = 2 * clock.Second
	missedDigests = 4
)

// handleVerify handles the announcement of a balancer that the store works again after an
// outage. Announcements are not authenticated, so that this process only asks the store, and
// not often.
func (b *base) handleVerify(now clock.Millis, outage uint64) {
	if slices.Contains(b.outages, outage) {
		return
	}
	b.outages = append(b.outages, outage)
	b.outages = b.outages[max(len(b.outages)-maxKnownOutages, 0):]
	if b.outageVerifiedAt > 0 && now-b.outageVerifiedAt < outageVerifyInterval {
		return
	}
	b.outageVerifiedAt = now
	b.directory.verifySoon()
}

// startAnnouncingOutage begins to announce that the store works again.
func (d *digests) startAnnouncingOutage(now clock.Millis) {
	d.outage, d.outageUntil = rand.Uint64(), now+epochAnnounceTime
	d.announceTurn = d.randomTurn(now)
}

// announcement returns what is to be announced to hosts in this round, or false if nothing
// is. The announcement of an epoch makes hosts check their entries as well.
func (d *digests) announcement(now clock.Millis) (relay.Message, bool) {
	switch {
	case now < d.announceUntil:
		return relay.Message{Kind: relay.KindEpoch, Epoch: d.node.storeEpoch}, true
	case now < d.outageUntil:
		return relay.Message{Kind: relay.KindVerify, Outage: d.outage}, true
	default:
		return relay.Message{}, false
	}
}

// silence finds out that a sidecar hears no balancer.
type silence struct {
	lastHeard clock.Millis
	// limit is the silence that is longer than usual.
	limit clock.Millis
	// noticed is set from the end of the limit until the next message.
	noticed bool
}

// heard records a digest of a balancer that sends its next one after interval. live is the
// number of live balancers.
func (s *silence) heard(now, interval clock.Millis, live int) {
	s.lastHeard, s.noticed = now, false
	s.limit = max(silenceLimit, missedDigests*interval/clock.Millis(max(live, 1)))
}

// begins reports, once for each silence, that no balancer was heard for too long.
func (s *silence) begins(now clock.Millis) bool {
	if s.noticed || now-s.lastHeard < max(s.limit, silenceLimit) {
		return false
	}
	s.noticed = true
	return true
}

// findBalancers looks for balancers in the directory, and for this process's own entry, if no
// balancer is heard. All of them may have been replaced by others, which know this process
// only by its entry.
func (n *sidecarNode) findBalancers(now clock.Millis) {
	if n.silence.begins(now) {
		n.logger.Warn("balancers-silent", zap.Int64("silent-ms", int64(now-n.silence.lastHeard)))
		n.directory.lookSoon()
	}
}

// doubtDrains makes a process that has just started wait for two heartbeats of the upstream
// after the announcement of a restore. The restore may have lost the record of a drain while
// no process ran here that could write it again. The wait ends with the next heartbeat.
func (n *sidecarNode) doubtDrains(now clock.Millis) {
	if now-n.startedAt < epochAnnounceTime {
		n.registration.RequireTwo()
		n.applyRegistration(now)
	}
}
