package admission_test

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
)

// load is the work of one kind in a simulation.
type load struct {
	kind admission.Kind
	// every is the time between two requests.
	every    clock.Millis
	service  clock.Millis
	deadline clock.Millis
}

// tally is what became of the work of one kind.
type tally struct {
	offered, completed, refused int
	// late counts requests that started too late to end before their deadline.
	late     int
	slotTime clock.Millis
}

type simulation struct {
	controller *admission.Controller
	loads      []load
	tallies    []tally
	owners     map[admission.ID]int
	deadlines  map[admission.ID]clock.Millis
	ends       map[clock.Millis][]admission.ID
	last       admission.ID
}

// simulate offers the loads to one upstream from time 0 until duration.
func simulate(slots int, loads []load, duration clock.Millis) []tally {
	config := admission.Config{Slots: slots}
	for _, l := range loads {
		config.Kinds = append(config.Kinds, l.kind)
	}
	return simulateWith(config, loads, duration)
}

// simulateWith is simulate for loads that share kinds.
func simulateWith(config admission.Config, loads []load, duration clock.Millis) []tally {
	s := &simulation{
		controller: admission.New(config, 0), loads: loads, tallies: make([]tally, len(loads)),
		owners: map[admission.ID]int{}, deadlines: map[admission.ID]clock.Millis{},
		ends: map[clock.Millis][]admission.ID{},
	}
	for now := clock.Millis(0); now < duration; now++ {
		s.step(now, duration)
	}
	return s.tallies
}

func (s *simulation) step(now, duration clock.Millis) {
	for _, id := range s.ends[now] {
		s.tallies[s.owners[id]].completed++
		s.apply(s.controller.Complete(id, now), now, duration)
	}
	delete(s.ends, now)
	if now%20 == 0 {
		s.apply(s.controller.Tick(now), now, duration)
	}
	for i, l := range s.loads {
		if now%l.every != 0 {
			continue
		}
		s.last++
		s.owners[s.last], s.deadlines[s.last] = i, now+l.deadline
		s.tallies[i].offered++
		r := admission.Request{ID: s.last, Kind: l.kind.Name, Deadline: now + l.deadline}
		s.apply(s.controller.Admit(r, now), now, duration)
	}
}

func (s *simulation) apply(actions []admission.Action, now, duration clock.Millis) {
	for _, action := range actions {
		i := s.owners[action.ID]
		service := s.loads[i].service
		switch action.Type {
		case admission.Start:
			s.ends[now+service] = append(s.ends[now+service], action.ID)
			s.tallies[i].slotTime += min(service, duration-now)
			if now+service > s.deadlines[action.ID] {
				s.tallies[i].late++
			}
		case admission.Refuse:
			s.tallies[i].refused++
		}
	}
}
