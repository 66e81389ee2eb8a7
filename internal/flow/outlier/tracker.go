// Package outlier finds upstreams that fail while the others of their service do not, and
// derives how much new work each should get. It addresses faults that heartbeats do not show:
// error responses, silence and dropped flows, which attract work because they end soon. The
// package does no input or output of its own. Each balancer feeds it the same reports of
// sidecars and so derives about the same weights; nothing is exchanged for it.
package outlier

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// window is the time that the counts of a report cover.
	window = 2 * clock.Second
	// recentTime is the time for which failures are also counted alone, because the served
	// requests of the whole window would hide a fault that has just begun. With reports every
	// 230 ms, historySize of them reach back so far. The counts of maxRecentTime or more do
	// not.
	recentTime    clock.Millis = 450
	maxRecentTime              = clock.Second
	historySize                = 4
	// An upstream is ejected if confirmations reports in a row justify it. Between two of
	// them, the siblings have reported as well, so that a fault behind the service shows. If
	// the siblings fail at a share above quietBaseline, such a fault may just begin, and
	// unquietConfirmations reports are needed.
	confirmations        = 2
	unquietConfirmations = 4
	quietBaseline        = 0.1
	// settleTime is added to window until the counts after an ejection contain no requests
	// from before it. Silence counts as a failure only after some time.
	settleTime clock.Millis = 500
	// pastShare is the share of the earlier counts that is kept when those of a further
	// window are added. The sum covers about 7 s, so that failures are also found at a few
	// requests a second.
	pastShare = 0.7
	// baseHold is the minimum time of the first ejection. Each further one doubles it, up to
	// maxHold.
	baseHold = 2 * clock.Second
	maxHold  = 64 * clock.Second
	maxLevel = 6
	// forgetTime is how long an upstream must serve well after its return until the next
	// ejection is one level shorter.
	forgetTime = 60 * clock.Second
	// idleHolds is the number of holds after which an upstream returns although too few trial
	// flows have shown how it works, if none of them has failed.
	idleHolds = 3
	// minTrials is the number of ended requests that the first return takes; each further
	// ejection doubles it, up to maxTrials.
	minTrials = 3
	maxTrials = 12
	// trialMargin is the share of failures, above that of the siblings, with which trial
	// flows allow a return.
	trialMargin = 0.1
	// minWeight is the least weight of an upstream that is not ejected, and the one with
	// which it returns.
	minWeight = 0.1
	// staleGaps is the number of missing reports after which a sidecar is not counted as a
	// member of its service, if that is longer than window. It is forgotten after memberTTL
	// or forgottenGaps missing reports.
	staleGaps     = 4
	forgottenGaps = 10
	memberTTL     = 2 * clock.Minute
	// replaceMargin is how much worse than an ejected upstream another one must be to be
	// ejected in its place.
	replaceMargin = 0.1
)

// Cause is why an upstream was ejected or has returned.
type Cause string

// Causes of ejections and returns.
const (
	// CauseFailures means that the upstream fails more than its siblings.
	CauseFailures Cause = "failures"
	// CauseTrials means that trial flows were served well.
	CauseTrials Cause = "trial-flows"
	// CauseIdle means that few trial flows came, and none of them failed.
	CauseIdle Cause = "few-trial-flows"
	// CauseSiblings means that the siblings turned out to fail alike.
	CauseSiblings Cause = "siblings-fail-alike"
	// CauseLimit means that the service has become smaller, or that a sibling fails more.
	CauseLimit Cause = "limit"
)

// Change is the ejection or the return of an upstream.
type Change struct {
	Sidecar netip.AddrPort
	Service identity.ServiceID
	Ejected bool
	Cause   Cause
	// Failed and Ended are the counts behind the decision, and Baseline is the share of
	// failures of the siblings.
	Failed, Ended int
	Baseline      float64
	// Hold is the minimum time of an ejection.
	Hold clock.Millis
}

// Config configures a Tracker.
type Config struct {
	// MaxEjectedShare is the largest share of the upstreams of a service that may be ejected
	// at a time, at most 1/3. With 0, none is.
	MaxEjectedShare float64
	// Changed is called for each ejection and return. It may be nil.
	Changed func(Change)
}

// Tracker derives weights of upstreams from reports. It is not safe for concurrent use.
type Tracker struct {
	config   Config
	members  map[netip.AddrPort]*member
	services map[identity.ServiceID]*service
	// ejected is the number of ejected members, and ejections the number of ejections.
	ejected   int
	ejections uint64
	lastSweep clock.Millis
}

// member is what is known of one upstream. It takes 256 bytes.
type member struct {
	address netip.AddrPort
	service *service
	// present is set while the sidecar reports that it accepts new flows.
	present bool
	// lastSeen is the time of the last report, and gap the time between two, at least three
	// quarters of the one before.
	lastSeen, gap clock.Millis
	// latest are the counts of the last report. past sums earlier ones that do not overlap,
	// up to pastAt, with less weight for older ones.
	latest, past counts
	pastAt       clock.Millis
	// recent estimates the counts of the last recentTime or somewhat more, if reports are that
	// frequent. history holds the failed requests of the last reports, from which it follows.
	recent  counts
	history [historySize]observation
	// weight is the weight by the last counts, without the ramp after a return.
	weight float64
	// suspected is the number of reports in a row that would justify an ejection.
	suspected int
	// ejected is set while the upstream is ejected, and ejectedAt is since when, or when trial
	// flows last failed. reason holds the counts for which it was ejected.
	ejected   bool
	ejectedAt clock.Millis
	reason    counts
	// level counts the ejections that are not forgotten yet. returnedAt is the time of the
	// last return, from which the weight rises over hold. healthySince is from when on
	// forgetTime is counted.
	level                    int
	returnedAt, healthySince clock.Millis
}

// observation is the number of failed requests that a report has stated.
type observation struct {
	at     clock.Millis
	failed float64
}

// New returns a Tracker that knows no upstreams.
func New(config Config) *Tracker {
	if config.Changed == nil {
		config.Changed = func(Change) {}
	}
	return &Tracker{config: config, members: map[netip.AddrPort]*member{}, services: map[identity.ServiceID]*service{}}
}

// Members returns the number of known sidecars.
func (t *Tracker) Members() int { return len(t.members) }

// Ejected returns the number of ejected upstreams.
func (t *Tracker) Ejected() int { return t.ejected }

// Ejections returns how often an upstream has been ejected.
func (t *Tracker) Ejections() uint64 { return t.ejections }

// Observe records a report of a sidecar that accepts new flows. failed and ended are the
// requests that have failed, and all that have ended, in the last 2 s.
func (t *Tracker) Observe(now clock.Millis, id identity.ServiceID, sidecar netip.AddrPort, failed, ended int) {
	t.sweep(now)
	m := t.member(now, id, sidecar)
	m.gap, m.lastSeen = max(now-m.lastSeen, m.gap-m.gap/4), now
	m.latest = counts{failed: float64(max(failed, 0)), ended: float64(max(ended, failed, 0))}
	m.addRecent(now)
	if now-m.pastAt >= window {
		m.addPast(now)
	}
	if m.ejected {
		t.reviewEjected(now, m)
		return
	}
	t.review(now, m)
}

// addRecent estimates the counts since an earlier report. The failures since then are at least
// the increase of the number stated. The rate of requests is assumed to be constant.
func (m *member) addRecent(now clock.Millis) {
	m.recent = counts{}
	for _, o := range m.history {
		if age := now - o.at; o.at > 0 && age >= recentTime && age < maxRecentTime {
			failed := max(m.latest.failed-o.failed, 0)
			m.recent = counts{failed: failed, ended: max(m.latest.ended*float64(age)/float64(window), failed)}
		}
	}
	copy(m.history[:], m.history[1:])
	m.history[historySize-1] = observation{at: now, failed: m.latest.failed}
}

// addPast adds the latest counts to the earlier ones. Those of trial flows keep their weight
// until there are enough of them.
func (m *member) addPast(now clock.Millis) {
	keep := pastShare
	if m.ejected {
		keep = 1
	}
	m.past = counts{failed: keep*m.past.failed + m.latest.failed, ended: keep*m.past.ended + m.latest.ended}
	m.pastAt = now
}

// Leave records that a sidecar does not accept new flows. It no longer counts as a member of
// its service, and is not ejected. The next ejection takes longer nevertheless.
func (t *Tracker) Leave(now clock.Millis, sidecar netip.AddrPort) {
	m := t.members[sidecar]
	if m == nil {
		return
	}
	m.present, m.lastSeen = false, now
	m.latest, m.past, m.recent, m.history = counts{}, counts{}, counts{}, [historySize]observation{}
	m.weight = 1
	if m.ejected {
		m.ejected = false
		t.ejected--
	}
}

// Weight returns how much new work an upstream should get in comparison with its siblings,
// from 0 to 1. 0 means that it should get trial flows only. It is 1 for an unknown sidecar,
// and if t is nil.
func (t *Tracker) Weight(now clock.Millis, sidecar netip.AddrPort) float64 {
	if t == nil {
		return 1
	}
	m := t.members[sidecar]
	switch {
	case m == nil:
		return 1
	case m.ejected:
		return 0
	default:
		return min(m.weight, m.ramp(now))
	}
}

// ramp returns the weight that an upstream may have so soon after its return.
func (m *member) ramp(now clock.Millis) float64 {
	if m.level == 0 || m.returnedAt == 0 {
		return 1
	}
	share := float64(now-m.returnedAt) / float64(m.hold())
	return min(max(share, minWeight), 1)
}

// hold returns the minimum time of an ejection, and the time over which the weight rises
// after it.
func (m *member) hold() clock.Millis {
	return min(baseHold<<max(m.level-1, 0), maxHold)
}

// neededTrials returns the number of requests that must have ended for a return.
func (m *member) neededTrials() float64 {
	return float64(min(minTrials<<max(m.level-1, 0), maxTrials))
}

// member returns the entry of a sidecar, which it creates or moves to another service if
// needed.
func (t *Tracker) member(now clock.Millis, id identity.ServiceID, sidecar netip.AddrPort) *member {
	m := t.members[sidecar]
	if m != nil && m.service.id != id {
		t.forget(m)
		m = nil
	}
	if m == nil {
		s := t.services[id]
		if s == nil {
			s = &service{id: id}
			t.services[id] = s
		}
		m = &member{address: sidecar, service: s, weight: 1, lastSeen: now, pastAt: now - window, healthySince: now}
		t.members[sidecar] = m
		s.members = append(s.members, m)
		s.sortedAt = 0
	}
	m.present = true
	return m
}

// review derives the weight of an upstream that is not ejected, and ejects it if it fails in
// several reports in a row.
func (t *Tracker) review(now clock.Millis, m *member) {
	v := m.service.judge(now, m)
	m.weight = min(max(1-v.excess/ejectionExcess, minWeight), 1)
	if v.excess > 0 {
		m.healthySince = now
	} else if m.level > 0 && now-m.healthySince >= forgetTime {
		m.level--
		m.healthySince = now
	}
	if v.excess < ejectionExcess {
		m.suspected = 0
		return
	}
	m.suspected++
	needed := confirmations
	if v.baseline > quietBaseline {
		needed = unquietConfirmations
	}
	if m.suspected >= needed && t.makeRoom(now, m, v.excess) {
		t.eject(now, m, v)
	}
}

// makeRoom reports whether a further upstream of a service may be ejected. If the limit is
// reached, the ejected one that failed least returns for one that is clearly worse.
func (t *Tracker) makeRoom(now clock.Millis, m *member, excess float64) bool {
	limit, ejected := m.service.limit(now, t.config.MaxEjectedShare), m.service.ejected()
	if len(ejected) < limit {
		return true
	}
	if limit == 0 || len(ejected) == 0 {
		return false
	}
	baseline, _ := m.service.baseline(now, m)
	mildest := ejected[0]
	for _, other := range ejected[1:] {
		if other.reason.excess(baseline) < mildest.reason.excess(baseline) {
			mildest = other
		}
	}
	if excess <= mildest.reason.excess(baseline)+replaceMargin {
		return false
	}
	t.release(now, mildest, CauseLimit, baseline)
	return true
}

func (t *Tracker) eject(now clock.Millis, m *member, v verdict) {
	m.level = min(m.level+1, maxLevel)
	m.ejected, m.ejectedAt, m.reason, m.suspected = true, now, v.counts, 0
	// The counts from before the ejection do not show whether the upstream may return.
	m.past, m.pastAt = counts{}, now+settleTime
	t.ejected++
	t.ejections++
	t.report(m, CauseFailures, v.counts, v.baseline)
}

// reviewEjected returns an ejected upstream if its siblings turn out to fail alike, if trial
// flows are served well, or if few have come for long.
func (t *Tracker) reviewEjected(now clock.Millis, m *member) {
	baseline, _ := m.service.baseline(now, m)
	age := now - m.ejectedAt
	switch {
	case m.reason.excess(baseline) <= 0:
		// The ejection was a mistake, so that the next one is not longer.
		m.level--
		t.release(now, m, CauseSiblings, baseline)
		m.returnedAt = 0
	case len(m.service.ejected()) > m.service.limit(now, t.config.MaxEjectedShare):
		t.release(now, m, CauseLimit, baseline)
	case age < m.hold() || age < window+settleTime:
	case m.past.ended >= m.neededTrials():
		if m.past.share() > baseline+trialMargin {
			m.past, m.ejectedAt = counts{}, now
			return
		}
		t.release(now, m, CauseTrials, baseline)
	case age >= idleHolds*m.hold() && m.past.failed == 0:
		t.release(now, m, CauseIdle, baseline)
	}
}

// release ends the ejection of an upstream.
func (t *Tracker) release(now clock.Millis, m *member, cause Cause, baseline float64) {
	trials := m.past
	m.ejected, m.returnedAt, m.healthySince, m.weight = false, now, now, 1
	m.past, m.pastAt = counts{}, now
	t.ejected--
	t.report(m, cause, trials, baseline)
}

func (t *Tracker) report(m *member, cause Cause, c counts, baseline float64) {
	change := Change{
		Sidecar: m.address, Service: m.service.id, Ejected: m.ejected, Cause: cause,
		Failed: int(c.failed + 0.5), Ended: int(c.ended + 0.5), Baseline: baseline,
	}
	if m.ejected {
		change.Hold = m.hold()
	}
	t.config.Changed(change)
}

// sweep forgets the sidecars that have been silent for long, once a second.
func (t *Tracker) sweep(now clock.Millis) {
	if now-t.lastSweep < clock.Second {
		return
	}
	t.lastSweep = now
	for _, m := range t.members {
		if now-m.lastSeen > max(memberTTL, forgottenGaps*m.gap) {
			t.forget(m)
		}
	}
}

func (t *Tracker) forget(m *member) {
	if m.ejected {
		t.ejected--
	}
	delete(t.members, m.address)
	m.service.remove(m)
	if len(m.service.members) == 0 {
		delete(t.services, m.service.id)
	}
}
