package measure

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

// requestHandler handles the requests of one sidecar. It makes decisions in the same
// order as package internal/sidecar/request.
type requestHandler struct {
	gate    admissionGate
	lastID  admission.ID
	pending map[admission.ID]*pendingRequest
}

// pendingRequest is a request that this sidecar has neither started, refused nor handed
// off.
type pendingRequest struct {
	request *request
	// onRefused is called if the admission gate refuses the request.
	onRefused func()
}

func newRequestHandler(p admissionPolicy, offered []workload) requestHandler {
	return requestHandler{gate: newAdmissionGate(p, offered), pending: map[admission.ID]*pendingRequest{}}
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

// stopsNewWork reports whether the sidecar has been leaving for leavingGrace, after which
// it starts no new work.
func (s *sidecar) stopsNewWork() bool {
	return s.leaving && s.sim.time-s.leavingSince >= fromMillis(leavingGrace)
}

// admitOrHandOff requests a slot of this sidecar, or hands the request off to a
// sibling.
func (s *sidecar) admitOrHandOff(r *request) {
	if s.stopsNewWork() {
		s.handOffOrDrop(r)
		return
	}
	to, free := s.freeSibling()
	onRefused := func() {
		if s.stopsNewWork() {
			s.handOffOrDrop(r)
		}
	}
	if s.requestSlot(r, free, false, onRefused) == admission.HandOff {
		s.handOff(r, to, func() { s.requestSlot(r, false, false, onRefused) })
	}
}

// handOffOrDrop hands a request off to a free sibling. If there is none, the request is
// dropped.
func (s *sidecar) handOffOrDrop(r *request) {
	if to, free := s.freeSibling(); free {
		s.handOff(r, to, func() {})
	}
}

// freeSibling returns the sibling with the most free slots, if one has any. Only the
// product's own policy hands off requests.
func (s *sidecar) freeSibling() (sibling.Sibling, bool) {
	if s.sim.policy.admission != admitReal {
		return sibling.Sibling{}, false
	}
	return s.loadExchange.MostFree(s.sim.now())
}

// requestSlot passes a request to the admission gate and returns the decision of the
// gate. onRefused is called if the gate refuses the request, at once or later.
func (s *sidecar) requestSlot(r *request, canHandOff, noQueue bool, onRefused func()) admission.ActionType {
	s.lastID++
	id := s.lastID
	s.pending[id] = &pendingRequest{request: r, onRefused: onRefused}
	actions := s.gate.admit(admission.Request{
		ID: id, Kind: s.sim.deployment.workloads[r.kindIndex].kind.Name, Deadline: admissionDeadline(r),
		CanHandOff: canHandOff, NoQueue: noQueue, Random: 0,
	}, s.sim.now())
	s.apply(actions)
	return actions[0].Type
}

// handOff passes a request to a sibling. If the sibling has exited, is leaving or has no
// free slot, the request is not run and onRefused is called after the return latency.
func (s *sidecar) handOff(r *request, to sibling.Sibling, onRefused func()) {
	sim := s.sim
	sim.handOffs++
	s.loadExchange.RecordHandOff(to.Owner)
	target := sim.byOwner[to.Owner]
	hopLatency := sim.latency(s.dataCentre, target.dataCentre)
	respondRefused := func() {
		sim.handOffsRefused++
		sim.after(hopLatency, func() { s.whenResumed(onRefused) })
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
			p.onRefused()
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
	fullDuration := s.serviceTime(r)
	duration := max(min(fullDuration, r.deadline-sim.time), 0)
	s.addUsage(duration)
	s.slotsInUse++
	startTime := sim.time
	sim.after(duration, func() {
		s.slotsInUse--
		s.whenResumed(func() {
			r.done = duration == fullDuration
			if r.done {
				s.health.Record(sim.deployment.workloads[r.kindIndex].kind.Name, upstream.Responded, sim.now()-clock.Millis(startTime/millisecond), sim.now())
			}
			ended(r.done)
		})
	})
}

// serviceTime returns how long the upstream takes for a request that starts now.
// While the upstream is cold, the time is longer by a share that declines linearly with
// the age of the upstream.
func (s *sidecar) serviceTime(r *request) micros {
	age := s.sim.time - s.startedAt
	if age >= coldTime {
		return r.warmServiceTime
	}
	cold := 1 - float64(age)/float64(coldTime)
	return micros(float64(r.warmServiceTime) * (1 + coldSlowdown*cold))
}

// addUsage adds slot time that begins now to the usage windows in which it falls.
func (s *sidecar) addUsage(duration micros) {
	for from, end := s.sim.time, s.sim.time+duration; from < end; {
		window := from / usageWindow
		until := min((window+1)*usageWindow, end)
		s.usage[window] += until - from
		from = until
	}
}

func admissionDeadline(r *request) clock.Millis { return clock.Millis(r.deadline / millisecond) }

func (s *sidecar) currentUsage() micros { return s.usage[s.sim.time/usageWindow] }
