package admission

import (
	"math"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// Each acceptance raises the rate of offers by paceIncrease times the rate of arrivals,
	// and each refusal lowers it by the share paceDecrease. At the balance of the two, about
	// a tenth of the offers is refused at an overload of 2, and the balancers share the
	// capacity in proportion to their arrivals, whatever the ages of their reports.
	paceIncrease = 0.02
	paceDecrease = 0.2
	// refusalWeight is the weight of an offer in the share of refused offers. The rate of
	// offers is limited from maxRefusedShare on until the share is below minRefusedShare.
	refusalWeight   = 1. / 16
	maxRefusedShare = 0.8
	minRefusedShare = 0.02
	// minRate is the lowest rate of offers per millisecond. At 500 balancers, all of them
	// together then offer 2,500 flows a second to a service without a report of room.
	minRate = 1. / 200
	// maxBurst is the time for which unused offers are kept.
	maxBurst clock.Millis = 20
	// rateWindow is the time constant of the measured rates.
	rateWindow = 500
)

// rate measures a rate of events per millisecond as an exponential moving average.
type rate struct {
	value float64
	at    clock.Millis
}

func (r *rate) add(now clock.Millis) {
	r.value = r.current(now) + 1./rateWindow
	r.at = max(now, r.at)
}

func (r *rate) current(now clock.Millis) float64 {
	if now <= r.at {
		return r.value
	}
	return r.value * math.Exp(-float64(max(now-r.at, 0))/rateWindow)
}

// pace limits the rate at which waiting flows are offered, by the refusals of sidecars. It
// keeps the number of useless messages bounded when many balancers see the same room.
type pace struct {
	acceptances rate
	// limited is set while the rate is limited to perMilli offers per millisecond.
	limited      bool
	perMilli     float64
	offers       float64
	at           clock.Millis
	refusedShare float64
}

// accepted records that a sidecar has accepted an offer. arrivals is the rate of new flows.
func (p *pace) accepted(now clock.Millis, arrivals *rate) {
	p.refusedShare -= refusalWeight * p.refusedShare
	p.acceptances.add(now)
	if p.limited {
		p.accrue(now)
		p.perMilli += paceIncrease * arrivals.current(now)
		p.limited = p.refusedShare > minRefusedShare
	}
}

// refused records that a sidecar was too busy for an offer.
func (p *pace) refused(now clock.Millis) {
	p.refusedShare += refusalWeight * (1 - p.refusedShare)
	if p.limited {
		p.accrue(now)
		p.perMilli = max(p.perMilli*(1-paceDecrease), minRate)
	} else if p.refusedShare > maxRefusedShare {
		p.limited, p.at, p.offers = true, now, 0
		p.perMilli = max(p.acceptances.current(now), minRate)
	}
}

// allows reports whether a waiting flow may be offered now.
func (p *pace) allows(now clock.Millis) bool {
	if !p.limited {
		return true
	}
	p.accrue(now)
	return p.offers >= 1
}

// spend counts an offer.
func (p *pace) spend(now clock.Millis) {
	if p.limited {
		p.accrue(now)
		p.offers = max(p.offers-1, -p.burst())
	}
}

// grant allows one offer because a report shows room.
func (p *pace) grant(now clock.Millis) {
	p.accrue(now)
	p.offers = max(p.offers, 1)
}

// next returns when a waiting flow may be offered.
func (p *pace) next(now clock.Millis) clock.Millis {
	if p.allows(now) {
		return now
	}
	return now + clock.Millis(math.Ceil((1-p.offers)/p.perMilli))
}

// release ends the limit, because no flow waits any more.
func (p *pace) release() { p.limited, p.refusedShare = false, 0 }

func (p *pace) burst() float64 { return max(p.perMilli*float64(maxBurst), 1) }

func (p *pace) accrue(now clock.Millis) {
	if now > p.at {
		p.offers = min(p.offers+p.perMilli*float64(now-p.at), p.burst())
		p.at = now
	}
}
