package measure

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
	"github.com/orioledyke/orioledyke/internal/sidecar/upstream"
)

// requests are the requests of one sidecar. The order of the decisions is that of
// the package request.
type requests struct {
	gate    gate
	last    admission.ID
	pending map[admission.ID]*pending
}

// pending is a request that this sidecar admits.
type pending struct {
	request *request
	// refused is called when it is not run.
	refused func()
}

func newRequests(p admissionPolicy, kinds []work) requests {
	return requests{gate: newGate(p, kinds), pending: map[admission.ID]*pending{}}
}

// receive takes a request from a client.
func (s *sidecar) receive(r *request) {
	s.whenAwake(func() {
		r.received = s.world.time
		if s.world.policy.admission == admitCentral {
			s.world.central.receive(r)
			return
		}
		s.attempt(r)
	})
}

// closed reports whether the sidecar starts no new work.
func (s *sidecar) closed() bool {
	return s.leaving && s.world.time-s.left >= fromMillis(leavingGrace)
}

func (s *sidecar) attempt(r *request) {
	if s.closed() {
		s.moveOn(r)
		return
	}
	to, free := s.freeSibling()
	moveOn := func() {
		if s.closed() {
			s.moveOn(r)
		}
	}
	if s.acquire(r, free, false, moveOn) == admission.HandOff {
		s.handOff(r, to, func() { s.acquire(r, false, false, moveOn) })
	}
}

// moveOn passes a request to a sibling or refuses it.
func (s *sidecar) moveOn(r *request) {
	if to, free := s.freeSibling(); free {
		s.handOff(r, to, func() {})
	}
}

func (s *sidecar) freeSibling() (sibling.Sibling, bool) {
	if s.world.policy.admission != admitReal {
		return sibling.Sibling{}, false
	}
	return s.exchange.MostFree(s.world.now())
}

func (s *sidecar) acquire(r *request, canHandOff, noQueue bool, refused func()) admission.ActionType {
	s.last++
	id := s.last
	s.pending[id] = &pending{request: r, refused: refused}
	actions := s.gate.admit(admission.Request{
		ID: id, Kind: s.world.deployment.kinds[r.kind].kind.Name, Deadline: admissionDeadline(r),
		CanHandOff: canHandOff, NoQueue: noQueue, Random: 0,
	}, s.world.now())
	s.apply(actions)
	return actions[0].Type
}

// handOff passes a request to a sibling, which answers that it was not run if no
// slot is free there.
func (s *sidecar) handOff(r *request, to sibling.Sibling, refused func()) {
	w := s.world
	w.handOffs++
	s.exchange.RecordHandOff(to.Owner)
	target := w.byOwner[to.Owner]
	hop := w.latency(s.dataCentre, target.dataCentre)
	back := func() {
		w.handOffsRefused++
		w.after(hop, func() { s.whenAwake(refused) })
	}
	w.after(hop, func() {
		if target.exited {
			back()
			return
		}
		target.whenAwake(func() {
			if target.leaving {
				back()
				return
			}
			target.acquire(r, false, true, back)
		})
	})
}

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
		now := s.world.now()
		if done {
			s.apply(s.gate.complete(id, now))
		} else {
			s.apply(s.gate.abandon(id, now))
		}
	})
}

// serve runs a request on the upstream until it ends or its deadline has come.
func (s *sidecar) serve(r *request, ended func(done bool)) {
	w := s.world
	if s.leaving {
		s.countLate()
	}
	w.waited(r)
	service := s.serviceTime(r)
	elapsed := max(min(service, r.deadline-w.time), 0)
	s.use(elapsed)
	s.running++
	begun := w.time
	w.after(elapsed, func() {
		s.running--
		s.whenAwake(func() {
			r.done = elapsed == service
			if r.done {
				s.health.Record(w.deployment.kinds[r.kind].kind.Name, upstream.Responded, w.now()-clock.Millis(begun/millisecond), w.now())
			}
			ended(r.done)
		})
	})
}

func (s *sidecar) serviceTime(r *request) micros {
	age := s.world.time - s.started
	if age >= coldTime {
		return r.service
	}
	cold := 1 - float64(age)/float64(coldTime)
	return micros(float64(r.service) * (1 + coldSlowdown*cold))
}

// use adds slot time from now on to the windows that it falls into.
func (s *sidecar) use(elapsed micros) {
	for from, end := s.world.time, s.world.time+elapsed; from < end; {
		window := from / usageWindow
		until := min((window+1)*usageWindow, end)
		s.usage[window] += until - from
		from = until
	}
}

func admissionDeadline(r *request) clock.Millis { return clock.Millis(r.deadline / millisecond) }

func (s *sidecar) usedNow() micros { return s.usage[s.world.time/usageWindow] }
