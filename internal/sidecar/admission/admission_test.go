package admission_test

import (
	"math"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"pgregory.net/rapid"
)

type requestState uint8

const (
	stateQueued requestState = iota + 1
	stateRunning
	stateEnded
)

// model records only the state of each request.
type model struct {
	config     admission.Config
	controller *admission.Controller
	now        clock.Millis
	requests   map[admission.ID]admission.Request
	states     map[admission.ID]requestState
	lastID     admission.ID
}

func (m *model) count(kind string, state requestState) int {
	n := 0
	for id, r := range m.requests {
		if r.Kind == kind && m.states[id] == state {
			n++
		}
	}
	return n
}

func (m *model) ceiling(k admission.Kind) int {
	return max(1, int(math.Floor(k.Ceiling*float64(m.config.Slots)+1e-6)))
}

// apply checks every action against the state of its request.
func (m *model) apply(t *rapid.T, actions []admission.Action) {
	for _, a := range actions {
		r, state := m.requests[a.ID], m.states[a.ID]
		if state == stateRunning || state == stateEnded {
			t.Fatalf("action %+v for a request that is running or has ended", a)
		}
		switch a.Type {
		case admission.Start:
			if !m.isStream(r.Kind) && m.now > r.Deadline {
				t.Fatalf("%+v started after its deadline", r)
			}
			m.states[a.ID] = stateRunning
		case admission.Queue:
			if state != 0 || r.NoQueue || r.CanHandOff {
				t.Fatalf("%+v queued", r)
			}
			m.states[a.ID] = stateQueued
		case admission.HandOff:
			if state != 0 || !r.CanHandOff {
				t.Fatalf("%+v handed off", r)
			}
			m.states[a.ID] = stateEnded
		case admission.Refuse:
			if a.RetryAfter < clock.Second || a.RetryAfter > clock.Minute {
				t.Fatalf("retry after %d ms", a.RetryAfter)
			}
			m.states[a.ID] = stateEnded
		}
	}
}

func (m *model) isStream(kind string) bool {
	return slices.ContainsFunc(m.config.Kinds, func(k admission.Kind) bool { return k.Name == kind && k.Stream })
}

func (m *model) draw(t *rapid.T, state requestState) (admission.ID, bool) {
	var ids []admission.ID
	for id := range m.lastID {
		if m.states[id+1] == state {
			ids = append(ids, id+1)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// check compares the counts with the limits and with those of the controller. It
// also fails if a slot is free while a request that may use it is queued.
func (m *model) check(t *rapid.T) {
	inUse, queued := 0, 0
	for _, k := range m.config.Kinds {
		runningCount, queuedCount := m.count(k.Name, stateRunning), m.count(k.Name, stateQueued)
		if k.Stream {
			if runningCount > m.config.Streams || runningCount != m.controller.Streams() {
				t.Fatalf("%d streams, limit %d, reported %d", runningCount, m.config.Streams, m.controller.Streams())
			}
			continue
		}
		if runningCount > m.ceiling(k) {
			t.Fatalf("%s uses %d slots of at most %d", k.Name, runningCount, m.ceiling(k))
		}
		inUse += runningCount
		queued += queuedCount
	}
	if inUse > m.config.Slots || inUse != m.controller.InUse() || queued != m.controller.Queued() {
		t.Fatalf("%d of %d slots in use, %d queued; reported %d, %d", inUse, m.config.Slots, queued, m.controller.InUse(), m.controller.Queued())
	}
	for _, k := range m.config.Kinds {
		if !k.Stream && inUse < m.config.Slots && m.count(k.Name, stateRunning) < m.ceiling(k) && m.count(k.Name, stateQueued) > 0 {
			t.Fatalf("a request of kind %s is queued while a slot is free", k.Name)
		}
	}
}

// TestController guards against slots that are used twice or beyond a ceiling,
// requests that start after they were refused, handed off or cancelled, and slots
// that stay idle while requests are queued.
func TestController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{requests: map[admission.ID]admission.Request{}, states: map[admission.ID]requestState{}}
		m.config = admission.Config{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Streams: 2}
		for _, name := range []string{"a", "b", "c"} {
			m.config.Kinds = append(m.config.Kinds, admission.Kind{
				Name: name, Urgency: rapid.IntRange(0, 2).Draw(t, "urgency"),
				GuaranteedShare: rapid.Float64Range(0, 0.33).Draw(t, "share"), Ceiling: rapid.Float64Range(0, 1).Draw(t, "ceiling"),
			})
		}
		m.config.Kinds = append(m.config.Kinds, admission.Kind{Name: "s", Stream: true})
		m.controller = admission.New(m.config, 0)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"admit": func(t *rapid.T) {
				m.lastID++
				r := admission.Request{
					ID: m.lastID, Kind: rapid.SampledFrom([]string{"a", "b", "c", "s"}).Draw(t, "kind"),
					Deadline:   m.now + clock.Millis(rapid.IntRange(0, 3000).Draw(t, "deadline")),
					CanHandOff: rapid.IntRange(0, 9).Draw(t, "hand off") == 0, NoQueue: rapid.IntRange(0, 9).Draw(t, "no queue") == 0,
					Random: rapid.Float64Range(0, 0.999).Draw(t, "random"),
				}
				m.requests[r.ID] = r
				m.apply(t, m.controller.Admit(r, m.now))
			},
			"complete": func(t *rapid.T) {
				if id, ok := m.draw(t, stateRunning); ok {
					m.states[id] = stateEnded
					m.apply(t, m.controller.Complete(id, m.now))
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := m.draw(t, stateQueued); ok {
					m.states[id] = stateEnded
					m.apply(t, m.controller.Abandon(id, m.now))
				}
			},
			"advance": func(t *rapid.T) {
				m.now += clock.Millis(rapid.IntRange(0, 1000).Draw(t, "elapsed"))
				m.apply(t, m.controller.Tick(m.now))
			},
			"configure": func(t *rapid.T) {
				k := &m.config.Kinds[rapid.IntRange(0, 2).Draw(t, "kind")]
				k.Urgency = rapid.IntRange(0, 2).Draw(t, "urgency")
				m.apply(t, m.controller.Configure(m.config, m.now))
			},
		})
	})
}

// TestConfigure guards against queued requests that get no decision when a new
// revision of the contract lacks their kind, and against slots of running requests
// of that kind that are never released.
func TestConfigure(t *testing.T) {
	c := qt.New(t)
	kinds := []admission.Kind{{Name: "a", Ceiling: 1}, {Name: "b", Ceiling: 1}}
	a := admission.New(admission.Config{Slots: 1, Kinds: kinds}, 0)
	c.Assert(a.Admit(admission.Request{ID: 1, Kind: "a", Deadline: 1000}, 0)[0].Type, qt.Equals, admission.Start)
	c.Assert(a.Admit(admission.Request{ID: 2, Kind: "a", Deadline: 1000}, 0)[0].Type, qt.Equals, admission.Queue)
	actions := a.Configure(admission.Config{Slots: 1, Kinds: kinds[1:]}, 0)
	c.Assert(actions, qt.DeepEquals, []admission.Action{{Type: admission.Refuse, ID: 2, RetryAfter: clock.Second}})
	c.Assert(a.InUse(), qt.Equals, 1)
	c.Assert(a.Complete(1, 10), qt.HasLen, 0)
	c.Assert(a.InUse(), qt.Equals, 0)
}

// TestAbandon guards against abandoned requests that lower the mean service time of
// their kind, so that more requests are queued than can start in time.
func TestAbandon(t *testing.T) {
	c := qt.New(t)
	a := admission.New(admission.Config{Slots: 1, Kinds: []admission.Kind{{Name: "a", Ceiling: 1}}}, 0)
	now, id := clock.Millis(0), admission.ID(0)
	admit := func() admission.ActionType {
		id++
		return a.Admit(admission.Request{ID: id, Kind: "a", Deadline: now + 2000}, now)[0].Type
	}
	for range 20 {
		c.Assert(admit(), qt.Equals, admission.Start)
		a.Abandon(id, now)
	}
	c.Assert(admit(), qt.Equals, admission.Start)
	queued := 0
	for admit() == admission.Queue {
		queued++
	}
	// At a service time of 100 ms, 19 of them can meet the deadline.
	c.Assert(queued, qt.Equals, 19)
}
