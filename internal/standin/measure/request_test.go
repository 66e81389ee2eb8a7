package measure

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

// requests handles the requests of one sidecar. It makes decisions in the same order
// as package internal/sidecar/request.
type requests struct {
	gate    admissionGate
	lastID  admission.ID
	pending map[admission.ID]*pendingRequest
}

// pendingRequest is a request whose admission by this sidecar is not decided yet.
type pendingRequest struct {
	request *request
	// refused is called if the request is refused.
	refused func()
}

func newRequests(p admissionPolicy, kinds []workload) requests {
	return requests{gate: newAdmissionGate(p, kinds), pending: map[admission.ID]*pendingRequest{}}
}

// receive handles a request from a client.
func (s *sidecar) receive(r *request) {
	s.whenResumed(func() {
		r.received = s.sim.time
		if s.sim.policy.admission == admitCentral {
			s.sim.central.receive(r)
			return
		}
		s.admitOrHandOff(r)
	})
}

// stopsNewWork reports whether the sidecar is leaving and starts no new work.
func (s *sidecar) stopsNewWork() bool {
	return s.leaving && s.sim.time-s.leavingSince >= fromMillis(leavingGrace)
}

// admitOrHandOff requests a slot of this sidecar, or hands the request off to a
// sibling.
func (s *sidecar) admitOrHandOff(r *request) {
	if s.stopsNewWork() {
		s.passOn(r)
		return
	}
	to, free := s.freeSibling()
	onRefused := func() {
		if s.stopsNewWork() {
			s.passOn(r)
		}
	}
	if s.requestSlot(r, free, false, onRefused) == admission.HandOff {
		s.handOff(r, to, func() { s.requestSlot(r, false, false, onRefused) })
	}
}

// passOn hands a request off to a free sibling. If there is none, the request is
// dropped.
func (s *sidecar) passOn(r *request) {
	if to, free := s.freeSibling(); free {
		s.handOff(r, to, func() {})
	}
}

// freeSibling returns the sibling with the most free slots. Only the product's own
// policy hands off requests.
func (s *sidecar) freeSibling() (sibling.Sibling, bool) {
	if s.sim.policy.admission != admitReal {
		return sibling.Sibling{}, false
	}
	return s.loadExchange.MostFree(s.sim.now())
}

// requestSlot passes a request to the admission gate and returns its decision. refused
// is called if the gate refuses the request, at once or later.
func (s *sidecar) requestSlot(r *request, canHandOff, noQueue bool, refused func()) admission.ActionType {
	s.lastID++
	id := s.lastID
	s.pending[id] = &pendingRequest{request: r, refused: refused}
	actions := s.gate.admit(admission.Request{
		ID: id, Kind: s.sim.deployment.workloads[r.kind].kind.Name, Deadline: admissionDeadline(r),
		CanHandOff: canHandOff, NoQueue: noQueue, Random: 0,
	}, s.sim.now())
	s.apply(actions)
	return actions[0].Type
}

// handOff passes a request to a sibling. If no slot is free there, the sibling responds
// that the request was not run, and refused is called.
func (s *sidecar) handOff(r *request, to sibling.Sibling, refused func()) {
	sim := s.sim
	sim.handOffs++
	s.loadExchange.RecordHandOff(to.Owner)
	target := sim.byOwner[to.Owner]
	hopLatency := sim.latency(s.dataCentre, target.dataCentre)
	respondRefused := func() {
		sim.handOffsRefused++
		sim.after(hopLatency, func() { s.whenResumed(refused) })
	}
	sim.after(hopLatency, func() {
		if target.exited {
			respondRefused()
			return
		}
		target.whenResumed(func() {
			if target.leaving {
				respondRefused()
				return
			}
			target.requestSlot(r, false, true, respondRefused)
		})
	})
}

// apply carries out the decisions of the admission gate.
func (s *sidecar) apply(actions []admission.Action) {
	for _, action := range actions {
		p := s.pending[action.ID]
		switch action.Type {
		case admission.Start:
			delete(s.pending, action.ID)
			s.start(action.ID, p.request)
		case admission.Refuse:
			delete(s.pending, action.ID)
			p.refused()
		case admission.HandOff:
			delete(s.pending, action.ID)
		}
	}
}

func (s *sidecar) start(id admission.ID, r *request) {
	s.serve(r, func(done bool) {
		now := s.sim.now()
		if done {
			s.apply(s.gate.complete(id, now))
		} else {
			s.apply(s.gate.abandon(id, now))
		}
	})
}

// serve runs a request on the upstream until it completes or its deadline passes.
func (s *sidecar) serve(r *request, ended func(done bool)) {
	sim := s.sim
	if s.leaving {
		s.countLateWork()
	}
	sim.recordWait(r)
	service := s.serviceTime(r)
	elapsed := max(min(service, r.deadline-sim.time), 0)
	s.addUsage(elapsed)
	s.running++
	startTime := sim.time
	sim.after(elapsed, func() {
		s.running--
		s.whenResumed(func() {
			r.done = elapsed == service
			if r.done {
				s.health.Record(sim.deployment.workloads[r.kind].kind.Name, upstream.Responded, sim.now()-clock.Millis(startTime/millisecond), sim.now())
			}
			ended(r.done)
		})
	})
}

// serviceTime returns how long the upstream takes for a request. While the upstream is
// cold, the time is longer by a share that declines linearly with its age.
func (s *sidecar) serviceTime(r *request) micros {
	age := s.sim.time - s.startedAt
	if age >= coldTime {
		return r.service
	}
	cold := 1 - float64(age)/float64(coldTime)
	return micros(float64(r.service) * (1 + coldSlowdown*cold))
}

// addUsage adds slot time that begins now to the usage windows that it overlaps.
func (s *sidecar) addUsage(elapsed micros) {
	for from, end := s.sim.time, s.sim.time+elapsed; from < end; {
		window := from / usageWindow
		until := min((window+1)*usageWindow, end)
		s.usage[window] += until - from
		from = until
	}
}

func admissionDeadline(r *request) clock.Millis { return clock.Millis(r.deadline / millisecond) }

func (s *sidecar) currentUsage() micros { return s.usage[s.sim.time/usageWindow] }
