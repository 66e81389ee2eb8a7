package placement

import "github.com/orioledyke/orioledyke/internal/flow/relay"

const (
	// maxDeviation is the largest factor between the stated service time of a sidecar and
	// the mean of its service that counts. Upstreams of one service differ by up to 2.4
	// times and change their speed by up to 7 times; a larger difference is a wrong
	// estimate.
	maxDeviation = 8
	// serviceTimeWeight is the weight of a report in the mean service time. A service has
	// 3 to 50 sidecars, so the mean follows a change of all of them within two reports of
	// each.
	serviceTimeWeight = 1. / 16
	// defaultGoalShare is the share of the goal that is assumed as service time while no
	// sidecar of the service states one. Sidecars assume the same.
	defaultGoalShare = 0.25
	// defaultServiceTime in milliseconds is assumed for a service without goal.
	defaultServiceTime = 50
)

// Service holds what the sidecars of one service have in common.
type Service struct {
	// mean is the mean of the stated service times in milliseconds; 0 means that none is
	// known.
	mean float64
}

// Learn adds the work that a report states.
func (s *Service) Learn(work relay.Work) {
	switch {
	case !work.Known || work.ServiceTime <= 0:
	case s.mean == 0:
		s.mean = work.ServiceTime
	default:
		s.mean += serviceTimeWeight * (min(work.ServiceTime, maxDeviation*s.mean) - s.mean)
	}
}

// limit returns a stated time in milliseconds, limited to a factor of maxDeviation from the
// mean.
func (s *Service) limit(stated float64) float64 {
	return min(max(stated, s.mean/maxDeviation), s.mean*maxDeviation)
}

// usual returns the usual time in milliseconds of one request. goal is the longest latency
// goal of the service in milliseconds, 0 if there is none.
func (s *Service) usual(goal float64) float64 {
	switch {
	case s.mean > 0:
		return s.mean
	case goal > 0:
		return defaultGoalShare * goal
	default:
		return defaultServiceTime
	}
}
