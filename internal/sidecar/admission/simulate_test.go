package admission_test

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
)

// load is a series of requests of one kind at regular intervals.
type load struct {
	kind admission.Kind
	// period is the time between two requests.
	period      clock.Millis
	serviceTime clock.Millis
	// deadline is the time from the arrival of a request to its deadline.
	deadline clock.Millis
}

// tally counts the outcomes of the requests of one load.
type tally struct {
	offered, completed, refused int
	// pastDeadline counts requests that started but completed after their deadline.
	pastDeadline int
	slotTime     clock.Millis
}

type simulation struct {
	controller  *admission.Controller
	loads       []load
	tallies     []tally
	loadIndexes map[admission.ID]int
	deadlines   map[admission.ID]clock.Millis
	completions map[clock.Millis][]admission.ID
	lastID      admission.ID
}

// simulate offers the loads to one upstream from time 0 until duration.
func simulate(slots int, loads []load, duration clock.Millis) []tally {
	config := admission.Config{Slots: slots}
	for _, l := range loads {
		config.Kinds = append(config.Kinds, l.kind)
	}
	return simulateWith(config, loads, duration)
}

// simulateWith is simulate for loads that may share a kind.
func simulateWith(config admission.Config, loads []load, duration clock.Millis) []tally {
	s := &simulation{
		controller: admission.New(config, 0), loads: loads, tallies: make([]tally, len(loads)),
		loadIndexes: map[admission.ID]int{}, deadlines: map[admission.ID]clock.Millis{},
		completions: map[clock.Millis][]admission.ID{},
	}
	for now := clock.Millis(0); now < duration; now++ {
		s.step(now, duration)
	}
	return s.tallies
}

func (s *simulation) step(now, duration clock.Millis) {
	for _, id := range s.completions[now] {
		s.tallies[s.loadIndexes[id]].completed++
		s.apply(s.controller.Complete(id, now), now, duration)
	}
	delete(s.completions, now)
	if now%20 == 0 {
		s.apply(s.controller.Tick(now), now, duration)
	}
	for i, l := range s.loads {
		if now%l.period != 0 {
			continue
		}
		s.lastID++
		s.loadIndexes[s.lastID], s.deadlines[s.lastID] = i, now+l.deadline
		s.tallies[i].offered++
		r := admission.Request{ID: s.lastID, Kind: l.kind.Name, Deadline: now + l.deadline}
		s.apply(s.controller.Admit(r, now), now, duration)
	}
}

func (s *simulation) apply(actions []admission.Action, now, duration clock.Millis) {
	for _, action := range actions {
		i := s.loadIndexes[action.ID]
		serviceTime := s.loads[i].serviceTime
		switch action.Type {
		case admission.Start:
			s.completions[now+serviceTime] = append(s.completions[now+serviceTime], action.ID)
			s.tallies[i].slotTime += min(serviceTime, duration-now)
			if now+serviceTime > s.deadlines[action.ID] {
				s.tallies[i].pastDeadline++
			}
		case admission.Refuse:
			s.tallies[i].refused++
		}
	}
}
