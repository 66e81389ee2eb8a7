package worktime

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// maxAddresses bounds the memory for distributions to 32 KB. Requests to further
	// addresses count as average ones.
	maxAddresses = 64
	// addressTTL is how long an address keeps its distribution without a request while
	// others have none.
	addressTTL = clock.Minute
	// defaultWorkTimeShare is the share of a latency goal that is assumed as the work time
	// until one has been measured, and defaultWorkTime is the time without a goal, in
	// milliseconds.
	defaultWorkTimeShare = 0.25
	defaultWorkTime      = 30
	// The speed of an upstream has changed if changeCount of the last recentCount samples
	// exceed, or fall below, all but changeTail of what their addresses usually take, and
	// differ from the median by changeRatio. Without a change this happens by chance once in
	// 280,000 samples, and costs changeCount samples.
	recentCount = 9
	changeCount = 7
	changeTail  = 0.1
	changeRatio = 1.5
	// minCompared is the weight of the samples of an address from which on further ones are
	// compared with them. It is below shiftedWeight, so that a change can be followed by
	// another one.
	minCompared = 7
)

// Cost is what has been learned of one address.
type Cost struct {
	Address netip.AddrPort
	// WorkTime is the mean work time of a request in milliseconds.
	WorkTime float64
}

// learner learns the work times of requests by address.
type learner struct {
	// all holds the samples of all addresses.
	all       distribution
	addresses map[netip.AddrPort]*addressTimes
	// goal is the latency goal of the last new flow with one, 0 before.
	goal clock.Millis
	// recent holds the last samples, the newest last.
	recent []recentSample
	// changedAt is when a change of speed was last noticed. untold is the factor by which work
	// times have changed since the last call of TakeChange, 0 if they have not.
	changedAt clock.Millis
	untold    float64
}

// addressTimes are the work times of the requests to one address.
type addressTimes struct {
	distribution
	lastUsed clock.Millis
}

// recentSample compares a sample with what was known of its address before.
type recentSample struct {
	address netip.AddrPort
	// times is what is known of the address, nil if nothing is.
	times *addressTimes
	// sample is in milliseconds. ratio is the sample divided by the median of earlier ones.
	sample, ratio float64
	// unusual is set if few earlier samples were as long, or as short. Such a sample counts
	// for means only until it is no longer recent, so that a change of speed does not become
	// usual before it is noticed.
	unusual bool
}

// prior returns the mean work time in milliseconds that is assumed without samples.
func (l *learner) prior() float64 {
	if l.goal > 0 {
		return clampSample(defaultWorkTimeShare * float64(l.goal))
	}
	return defaultWorkTime
}

// serviceTime returns the expected time of one more request in milliseconds.
func (l *learner) serviceTime() float64 { return l.all.mean(l.prior()) }

// workTime returns the expected time of a request to an address in milliseconds.
func (l *learner) workTime(address netip.AddrPort) float64 {
	d, prior := l.known(address)
	return d.mean(prior)
}

// remaining returns the expected remaining time of a request to an address that has run for
// a time, in milliseconds.
func (l *learner) remaining(address netip.AddrPort, age clock.Millis) float64 {
	d, prior := l.known(address)
	return d.remaining(max(float64(age), 0), prior)
}

// known returns the distribution of an address, or that of all if the address has none, with
// the mean that is assumed without samples.
func (l *learner) known(address netip.AddrPort) (d *distribution, prior float64) {
	if times := l.addresses[address]; times != nil {
		return &times.distribution, l.serviceTime()
	}
	return &l.all, l.prior()
}

// learn adds the work time of a request that has ended now. Work that began before the last
// change of speed is of two speeds, and is left out.
func (l *learner) learn(now, startedAt clock.Millis, address netip.AddrPort) {
	if startedAt < l.changedAt {
		return
	}
	sample := clampSample(float64(now - startedAt))
	times := l.times(now, address)
	d := &l.all
	if times != nil {
		times.lastUsed = now
		d = &times.distribution
	}
	if d.weight < minCompared {
		l.add(times, sample)
		return
	}
	r := recentSample{address: address, times: times, sample: sample, ratio: sample / d.quantile(0.5)}
	below, above := d.ranks(sample)
	r.unusual = (below > 1-changeTail && r.ratio > changeRatio) || (above > 1-changeTail && r.ratio < 1/changeRatio)
	if r.unusual {
		l.each(times, func(d *distribution) { d.hold(sample) })
	} else {
		l.add(times, sample)
	}
	l.recent = append(l.recent, r)
	l.adapt(now, func(r recentSample) bool { return r.unusual && r.ratio > 1 })
	l.adapt(now, func(r recentSample) bool { return r.unusual && r.ratio < 1 })
	if len(l.recent) > recentCount {
		l.learnRecent(1)
	}
}

// add adds a sample to what is known of its address and of all.
func (l *learner) add(times *addressTimes, sample float64) {
	l.each(times, func(d *distribution) { d.add(sample) })
}

// each calls change for the distributions to which the samples of an address belong.
func (l *learner) each(times *addressTimes, change func(*distribution)) {
	change(&l.all)
	if times != nil {
		change(&times.distribution)
	}
}

// learnRecent removes a number of samples from the recent ones and adds those that have not
// been added.
func (l *learner) learnRecent(count int) {
	for _, r := range l.recent[:count] {
		if r.unusual {
			l.each(r.times, func(d *distribution) { d.release(r.sample) })
			l.add(r.times, r.sample)
		}
	}
	l.recent = slices.Delete(l.recent, 0, count)
}

// times returns the distribution of an address, or nil if there are maxAddresses others in
// use.
func (l *learner) times(now clock.Millis, address netip.AddrPort) *addressTimes {
	if times := l.addresses[address]; times != nil {
		return times
	}
	if len(l.addresses) >= maxAddresses {
		for other, times := range l.addresses {
			if now-times.lastUsed > addressTTL {
				delete(l.addresses, other)
			}
		}
		if len(l.addresses) >= maxAddresses {
			return nil
		}
	}
	if l.addresses == nil {
		l.addresses = map[netip.AddrPort]*addressTimes{}
	}
	times := &addressTimes{}
	l.addresses[address] = times
	return times
}

// adapt shifts the distributions if enough of the recent samples are changed ones. If these
// are of one address only, its requests may have changed and not the speed of the upstream,
// so that the other addresses are left as they are.
func (l *learner) adapt(now clock.Millis, changed func(recentSample) bool) {
	var logarithms []float64
	var addresses []netip.AddrPort
	for _, r := range l.recent {
		if changed(r) {
			logarithms = append(logarithms, math.Log2(r.ratio))
			addresses = append(addresses, r.address)
		}
	}
	if len(logarithms) < changeCount {
		return
	}
	slices.Sort(logarithms)
	factor := math.Exp2(logarithms[len(logarithms)/2])
	l.all.shift(factor)
	several := slices.ContainsFunc(addresses, func(a netip.AddrPort) bool { return a != addresses[0] })
	for address, times := range l.addresses {
		if several || address == addresses[0] {
			times.shift(factor)
		}
	}
	l.learnRecent(len(l.recent))
	l.changedAt = now
	l.untold = cmp.Or(l.untold, 1) * factor
}

// forget reduces the weight of all samples, because the next ones may be of another process
// of the upstream.
func (l *learner) forget() {
	l.all.limit(shiftedWeight)
	for _, times := range l.addresses {
		times.limit(shiftedWeight)
	}
	l.learnRecent(len(l.recent))
}

// costs returns what has been learned of each address, in order of address.
func (l *learner) costs() []Cost {
	costs := make([]Cost, 0, len(l.addresses))
	for address := range l.addresses {
		costs = append(costs, Cost{Address: address, WorkTime: l.workTime(address)})
	}
	slices.SortFunc(costs, func(x, y Cost) int { return x.Address.Compare(y.Address) })
	return costs
}
