package configuration

import (
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// fetchDelay is how long the store may take to deliver a version that a peer has,
	// before the version is fetched from a peer.
	fetchDelay clock.Millis = 250
	// startGrace is how long after its start a process does not wait for the store if a peer
	// has a newer version. A store that has been restored from an older copy may lack it,
	// and the peers report theirs within this time.
	startGrace = clock.Second
	// failedPeerDelay is how long a peer that has not delivered what it reported is asked
	// only if no other peer has a newer version.
	failedPeerDelay = 2 * clock.Second
	// storeGrace is how long the store may take for a version that a peer has delivered,
	// before its silence counts as a failure. It has room for a large configuration on a
	// slow link.
	storeGrace = 2 * clock.Second
)

// Peers decides when a process fetches the configuration from a peer, and from which one.
// The peers report their versions; the store may not serve this process at all. It is not
// safe for concurrent use.
type Peers struct {
	// current is the version in effect.
	current uint64
	// unconfirmedUntil is the end of startGrace after the store has delivered the first
	// version of this process. It is 0 before, and after the next version.
	unconfirmedUntil clock.Millis
	// reports holds the peers with a newer version.
	reports map[netip.Addr]report
	// behindSince is the time since which a peer has had a newer version while the version
	// in effect has not changed. It is not valid while reports is empty.
	behindSince clock.Millis
	// storeRespondedAt is the time of the store's last response about the configuration.
	storeRespondedAt clock.Millis
	// overtaken is set from the time overtakenAt, at which a peer has delivered a version
	// before the store, until the store responds.
	overtaken   bool
	overtakenAt clock.Millis
}

// report is the newest version that a peer has reported.
type report struct {
	version uint64
	// reportedAt is the time of the first report of the version.
	reportedAt clock.Millis
	// failedUntil is the end of failedPeerDelay after the last failed fetch; 0 means none.
	failedUntil clock.Millis
}

// NewPeers returns a Peers without reports, for a process without a configuration.
func NewPeers() *Peers { return &Peers{reports: map[netip.Addr]report{}} }

// Report records the version that a peer has in effect. A peer that has started anew may
// report an older version than before.
func (p *Peers) Report(now clock.Millis, peer netip.Addr, version uint64) {
	known, ok := p.reports[peer]
	switch {
	case version <= p.current:
		delete(p.reports, peer)
	case !ok || known.version != version:
		if len(p.reports) == 0 {
			p.behindSince = now
		}
		p.reports[peer] = report{version: version, reportedAt: now, failedUntil: known.failedUntil}
	}
}

// StoreResponded records a response of the store about the configuration.
func (p *Peers) StoreResponded(now clock.Millis) { p.storeRespondedAt, p.overtaken = now, false }

// StoreSilence returns the time since the store's last response.
func (p *Peers) StoreSilence(now clock.Millis) clock.Millis { return now - p.storeRespondedAt }

// StoreOverdue reports whether the store has not responded for storeGrace after a peer
// delivered a newer version. A watch in progress then waits on a connection that has gone
// silent, or the store has stopped to serve it.
func (p *Peers) StoreOverdue(now clock.Millis) bool {
	return p.overtaken && now-p.overtakenAt >= storeGrace
}

// Applied records that a version is in effect that the store has delivered or, if fromPeer
// is set, a peer.
func (p *Peers) Applied(now clock.Millis, version uint64, fromPeer bool) {
	if fromPeer && !p.overtaken {
		p.overtaken, p.overtakenAt = true, now
	}
	p.unconfirmedUntil = 0
	if p.current == 0 && !fromPeer {
		p.unconfirmedUntil = now + startGrace
	}
	p.current = version
	for peer, known := range p.reports {
		if known.version <= version {
			delete(p.reports, peer)
		}
	}
	p.behindSince = now
}

// Fetch is a fetch of the configuration from a peer that has reported a version.
type Fetch struct {
	Peer    netip.Addr
	Version uint64
}

// Ended records that a fetch has ended. It has failed if the version in effect is still
// older than what the peer had reported.
func (p *Peers) Ended(now clock.Millis, f Fetch) {
	known, ok := p.reports[f.Peer]
	if ok && p.current < f.Version {
		known.failedUntil = now + failedPeerDelay
		p.reports[f.Peer] = known
	}
}

// Next returns the fetch that is due, or false if none is. Without a configuration a fetch
// is due at once, and also during startGrace. Further versions do not defer a fetch, because
// a series of them may last longer than a version may take.
func (p *Peers) Next(now clock.Millis) (Fetch, bool) {
	delayed := p.current > 0 && now >= p.unconfirmedUntil
	if len(p.reports) == 0 || (delayed && now-p.behindSince < fetchDelay) {
		return Fetch{}, false
	}
	var best netip.Addr
	for peer, known := range p.reports {
		if !best.IsValid() || p.preferred(now, peer, known, best) {
			best = peer
		}
	}
	return Fetch{Peer: best, Version: p.reports[best].version}, true
}

// preferred reports whether a peer is a better source than another one: it has not failed
// recently, it has a newer version, or it was the first to report the same version.
func (p *Peers) preferred(now clock.Millis, peer netip.Addr, known report, other netip.Addr) bool {
	compared := p.reports[other]
	if failed, otherFailed := now < known.failedUntil, now < compared.failedUntil; failed != otherFailed {
		return otherFailed
	}
	if known.version != compared.version {
		return known.version > compared.version
	}
	if known.reportedAt != compared.reportedAt {
		return known.reportedAt < compared.reportedAt
	}
	return peer.Less(other)
}

// Behind returns the newest version that a peer has reported, and for how long a newer
// version than the one in effect has been known while that has not changed. It returns
// false if no peer has a newer version.
func (p *Peers) Behind(now clock.Millis) (newest uint64, since clock.Millis, behind bool) {
	for _, known := range p.reports {
		newest = max(newest, known.version)
	}
	return newest, now - p.behindSince, len(p.reports) > 0
}

// BehindAny reports whether one of the given peers has reported a newer version than the one
// in effect.
func (p *Peers) BehindAny(peers []netip.Addr) bool {
	if len(p.reports) == 0 {
		return false
	}
	return slices.ContainsFunc(peers, func(peer netip.Addr) bool {
		_, behind := p.reports[peer]
		return behind
	})
}
