package balancer

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/placement"
)

const (
	// windowSize is the number of sidecars of a service that are considered together. It
	// bounds the time of a decision for services with thousands of sidecars. Most services
	// have fewer than 64.
	windowSize = 64
	// trialIntervals is the number of report intervals between two trial flows to a sidecar
	// of weight 0. Sidecars report to each of n balancers every 10*n ms, so that with 20
	// balancers or more a sidecar gets 5 trial flows a second from all of them.
	trialIntervals = 20
)

// selectSidecar selects a sidecar for a new flow among the usable ones that were not
// attempted yet and are neither full nor paced. The first attempt takes the cheaper of two
// random sidecars, of which one is in this data centre, if any is, or a sidecar that is due
// for a trial. Later attempts take the cheapest. Sidecars of weight 0 are candidates only if
// there is no other usable one. If there is no sidecar to select, best is nil, and full
// reports whether a usable sidecar that was not attempted yet is full or paced; roomAt is
// then when one is expected to have room.
func (b *Balancer) selectSidecar(now clock.Millis, p *pendingFlow) (best *sidecar, full bool) {
	b.roomAt = now + waitPollInterval
	best, full = b.selectWeighted(now, p, false)
	if best == nil && !full {
		best, full = b.selectWeighted(now, p, true)
	}
	return best, full
}

// selectWeighted selects among the sidecars of weight above 0, or among those of weight 0
// if ejected is set. In services of more than windowSize sidecars, only a random part is
// considered unless none of it can be selected.
func (b *Balancer) selectWeighted(now clock.Millis, p *pendingFlow, ejected bool) (best *sidecar, full bool) {
	members := b.services[p.service]
	start := 0
	if len(members) > windowSize {
		start = b.config.Random(len(members))
	}
	waiting, pastGoal := p.admissionFlow(), p.pastGoal(now)
	urgent := p.owed || p.priority <= p.queue.mostUrgent
	for seen := 0; seen < len(members); {
		b.choice.Reset()
		for end := min(seen+windowSize, len(members)); seen < end; seen++ {
			index := start + seen
			if index >= len(members) {
				index -= len(members)
			}
			sc := members[index]
			switch {
			case !sc.usable(now) || slices.Contains(p.attempted, sc.address):
			case (sc.weight == 0) != ejected:
				if b.takesTrial(now, p, sc) {
					return sc, false
				}
			case b.paced(now, sc):
				full = true
			default:
				limit := waiting.Limit(now, urgent, sc.report.Slots, sc.backlog.StatedTime())
				if at := sc.roomAt(now, limit, pastGoal); at > now {
					full = true
					b.roomAt = min(b.roomAt, at)
				} else {
					b.choice.Add(sc, sc.report.DataCentre == b.config.DataCentre)
				}
			}
		}
		if b.choice.Len() > 0 {
			return b.choose(now, p), false
		}
	}
	return nil, full
}

// choose returns the best of the candidates for a new flow.
func (b *Balancer) choose(now clock.Millis, p *pendingFlow) *sidecar {
	cost := func(sc *sidecar) float64 { return sc.cost(now, b.config.DataCentre) }
	if len(p.attempted) > 0 {
		return b.choice.OfAll(cost)
	}
	return b.choice.OfTwo(cost)
}

// setWeight records the weight of a sidecar. The time of its first trial is random, so that
// balancers that eject a sidecar at the same time do not send it their trial flows together.
func (b *Balancer) setWeight(now clock.Millis, sc *sidecar, weight float64) {
	ejected := weight <= 0
	if ejected && (sc.weight > 0 || sc.nextTrial == 0) {
		sc.nextTrial = now + 1 + clock.Millis(b.config.Random(int(sc.trialInterval())))
	}
	sc.weight = min(max(weight, 0), 1)
}

// trialInterval returns the time between two trial flows to a sidecar of weight 0.
func (sc *sidecar) trialInterval() clock.Millis {
	return trialIntervals * max(sc.report.Interval, defaultReportInterval)
}

// takesTrial reports whether a new flow goes to a sidecar of weight 0 as a trial, and counts
// it. A flow whose request must not be repeated is used only if no other one has come for a
// further interval.
func (b *Balancer) takesTrial(now clock.Millis, p *pendingFlow, sc *sidecar) bool {
	due := sc.nextTrial
	if !p.repeatable {
		due += sc.trialInterval()
	}
	if sc.weight > 0 || len(p.attempted) > 0 || now < due {
		return false
	}
	sc.nextTrial = now + sc.trialInterval()
	return true
}

// placementOf returns what is known of the sidecars of a service together.
func (b *Balancer) placementOf(service identity.ServiceID) *placement.Service {
	s := b.placements[service]
	if s == nil {
		s = &placement.Service{}
		b.placements[service] = s
	}
	return s
}
