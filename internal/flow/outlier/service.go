package outlier

import (
	"cmp"
	"math"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
)

const (
	// confidence is the number of standard deviations by which the share of failures is
	// reduced to what it surely is: 95% with a normal distribution.
	confidence = 1.64
	// An upstream fails more than its siblings if its share of failures is surely above
	// baselineFactor times theirs plus baselineMargin. With 0.3 or more, upstreams of a service
	// that fails alike differ by less.
	baselineFactor = 1.5
	baselineMargin = 0.05
	// ejectionExcess is the share above this at which the weight reaches 0.
	ejectionExcess = 0.1
	// maxBaseline is the share of failures of the median sibling from which on the fault is
	// assumed to lie behind the service.
	maxBaseline = 0.5
	// minFailures is the number of failures below which an upstream is not judged.
	minFailures = 3
	// minSiblingRequests is the number of requests of siblings below which nothing is known
	// of them, and maxSiblingRequests the number from which on further ones of the same
	// sibling have no more influence.
	minSiblingRequests = 5
	maxSiblingRequests = 20
	// fewRequests is the number of requests below which the share of failures of one report
	// says little.
	fewRequests = 10
	// sortInterval is the minimum time between two evaluations of all members of a service
	// with more than smallService of them.
	sortInterval clock.Millis = 200
	smallService              = 16
	// limitTolerance is added to the number of upstreams that may be ejected before it is
	// rounded down, so that a share of 0.33 allows one of three.
	limitTolerance = 0.05
	maxLimitShare  = 3
)

// counts are requests that have failed, and all that have ended.
type counts struct{ failed, ended float64 }

func (c counts) share() float64 {
	if c.ended <= 0 {
		return 0
	}
	return c.failed / c.ended
}

// lowerBound returns the share of failures that the counts surely show, the lower end of
// the Wilson score interval.
func (c counts) lowerBound() float64 {
	if c.ended <= 0 {
		return 0
	}
	const z2 = confidence * confidence
	n, p := c.ended, c.share()
	centre := p + z2/(2*n)
	spread := confidence * math.Sqrt(p*(1-p)/n+z2/(4*n*n))
	return max((centre-spread)/(1+z2/n), 0)
}

// excess returns by how much the share of failures surely exceeds what the share of the
// siblings allows, 0 if it does not.
func (c counts) excess(baseline float64) float64 {
	if c.failed < minFailures || baseline > maxBaseline {
		return 0
	}
	return max(c.lowerBound()-(baselineFactor*baseline+baselineMargin), 0)
}

// verdict is the comparison of a member with its siblings.
type verdict struct {
	// excess is by how much the member surely fails more than the siblings allow.
	excess float64
	// counts are those of the member, and baseline is the share of failures of the siblings.
	counts   counts
	baseline float64
}

// judge returns the verdict with the largest excess by the recent, latest and earlier counts
// of a member.
func (s *service) judge(now clock.Millis, m *member) verdict {
	worst := verdict{baseline: 1}
	baseline, known := s.baseline(now, m)
	if !known {
		return worst
	}
	for _, c := range []counts{m.recent, m.latest, m.past} {
		if excess := c.excess(baseline); excess >= worst.excess {
			worst = verdict{excess: excess, counts: c, baseline: baseline}
		}
	}
	return worst
}

// baseline returns the larger share of failures of the siblings of a member by their recent
// and by their other counts. The recent ones show a fault behind the service before it looks
// like one of the member that first reports it. known is false if too little is known of the
// siblings.
func (s *service) baseline(now clock.Millis, m *member) (share float64, known bool) {
	s.evaluate(now)
	share, known = median(s.sorted, m)
	if recent, recentKnown := median(s.sortedRecent, m); recentKnown {
		share = max(share, recent)
	}
	return share, known
}

// best returns the latest counts or, if they are few, the earlier ones if these are more.
// Earlier ones would hide for seconds that the siblings fail alike.
func (m *member) best() counts {
	if m.latest.ended < fewRequests && m.past.ended > m.latest.ended {
		return m.past
	}
	return m.latest
}

// counted reports whether the sidecar is a member of its service that may take new flows.
func (m *member) counted(now clock.Millis) bool {
	return m.present && now-m.lastSeen <= max(window, staleGaps*m.gap)
}

// service holds the members of one service.
type service struct {
	id      identity.ServiceID
	members []*member
	// sorted and sortedRecent hold the counted members as of sortedAt by the share of their
	// failures, in all and recently.
	sorted, sortedRecent []judged
	sortedAt             clock.Millis
}

// judged is a member with the share of its failures and the number of requests behind it.
type judged struct {
	member          *member
	share, requests float64
}

func (s *service) remove(m *member) {
	s.members = slices.DeleteFunc(s.members, func(other *member) bool { return other == m })
	s.sorted, s.sortedRecent, s.sortedAt = nil, nil, 0
}

// ejected returns the ejected members.
func (s *service) ejected() []*member {
	var ejected []*member
	for _, m := range s.members {
		if m.ejected {
			ejected = append(ejected, m)
		}
	}
	return ejected
}

// limit returns how many members may be ejected: at most a third, and so never all.
func (s *service) limit(now clock.Millis, share float64) int {
	count := 0
	for _, m := range s.members {
		if m.counted(now) {
			count++
		}
	}
	return min(int(float64(count)*share+limitTolerance), count/maxLimitShare)
}

// median returns the share of failures of the median sibling of a member, weighted by
// requests. Unlike the mean, it does not follow a third of the members that fail. known is
// false if too little is known of the siblings.
func median(sorted []judged, m *member) (share float64, known bool) {
	total := 0.0
	for _, j := range sorted {
		if j.member != m {
			total += j.requests
		}
	}
	if total < minSiblingRequests {
		return 0, false
	}
	below := 0.0
	for _, j := range sorted {
		if j.member == m {
			continue
		}
		share = j.share
		if below += j.requests; below > total/2 {
			break
		}
	}
	return share, true
}

// evaluate sorts the members that take part in comparisons, in a large service at most once
// in sortInterval.
func (s *service) evaluate(now clock.Millis) {
	if len(s.members) > smallService && s.sortedAt != 0 && now-s.sortedAt < sortInterval {
		return
	}
	s.sortedAt = now
	s.sorted, s.sortedRecent = s.sorted[:0], s.sortedRecent[:0]
	for _, m := range s.members {
		if m.ejected || !m.counted(now) {
			continue
		}
		s.sorted = appendJudged(s.sorted, m, m.best())
		s.sortedRecent = appendJudged(s.sortedRecent, m, m.recent)
	}
	slices.SortFunc(s.sorted, judged.compare)
	slices.SortFunc(s.sortedRecent, judged.compare)
}

func appendJudged(to []judged, m *member, c counts) []judged {
	if c.ended <= 0 {
		return to
	}
	return append(to, judged{member: m, share: c.share(), requests: min(c.ended, maxSiblingRequests)})
}

// compare orders members by the share of their failures and then by address.
func (j judged) compare(other judged) int {
	return cmp.Or(cmp.Compare(j.share, other.share), j.member.address.Compare(other.member.address))
}
