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

type fate uint8

const (
	waiting fate = iota + 1
	running
	gone
)

// model keeps only what became of each request.
type model struct {
	config     admission.Config
	controller *admission.Controller
	now        clock.Millis
	requests   map[admission.ID]admission.Request
	fates      map[admission.ID]fate
	last       admission.ID
}

func (m *model) count(kind string, f fate) int {
	n := 0
	for id, r := range m.requests {
		if r.Kind == kind && m.fates[id] == f {
			n++
		}
	}
	return n
}

func (m *model) ceiling(k admission.Kind) int {
	return max(1, int(math.Floor(k.Ceiling*float64(m.config.Slots)+1e-6)))
}

// apply checks every action against the fate of its request.
func (m *model) apply(t *rapid.T, actions []admission.Action) {
	for _, a := range actions {
		r, f := m.requests[a.ID], m.fates[a.ID]
		if f == running || f == gone {
			t.Fatalf("action %+v for a request that is running or gone", a)
		}
		switch a.Type {
		case admission.Start:
			if !m.stream(r.Kind) && m.now > r.Deadline {
				t.Fatalf("%+v started after its deadline", r)
			}
			m.fates[a.ID] = running
		case admission.Queue:
			if f != 0 || r.NoQueue || r.CanHandOff {
				t.Fatalf("%+v queued", r)
			}
			m.fates[a.ID] = waiting
		case admission.HandOff:
			if f != 0 || !r.CanHandOff {
				t.Fatalf("%+v handed off", r)
			}
			m.fates[a.ID] = gone
		case admission.Refuse:
			if a.RetryAfter < clock.Second || a.RetryAfter > clock.Minute {
				t.Fatalf("retry after %d ms", a.RetryAfter)
			}
			m.fates[a.ID] = gone
		}
	}
}

func (m *model) stream(kind string) bool {
	return slices.ContainsFunc(m.config.Kinds, func(k admission.Kind) bool { return k.Name == kind && k.Stream })
}

func (m *model) draw(t *rapid.T, f fate) (admission.ID, bool) {
	var ids []admission.ID
	for id := range m.last {
		if m.fates[id+1] == f {
			ids = append(ids, id+1)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "id"), true
}

// check compares the counts, the ceilings and that no slot stays free while work
// waits that may take it.
func (m *model) check(t *rapid.T) {
	inUse, queued := 0, 0
	for _, k := range m.config.Kinds {
		n, w := m.count(k.Name, running), m.count(k.Name, waiting)
		if k.Stream {
			if n > m.config.Streams || n != m.controller.Streams() {
				t.Fatalf("%d streams, limit %d, reported %d", n, m.config.Streams, m.controller.Streams())
			}
			continue
		}
		if n > m.ceiling(k) {
			t.Fatalf("%s takes %d slots of at most %d", k.Name, n, m.ceiling(k))
		}
		inUse += n
		queued += w
	}
	if inUse > m.config.Slots || inUse != m.controller.InUse() || queued != m.controller.Queued() {
		t.Fatalf("%d of %d slots in use, %d queued; reported %d, %d", inUse, m.config.Slots, queued, m.controller.InUse(), m.controller.Queued())
	}
	for _, k := range m.config.Kinds {
		if !k.Stream && inUse < m.config.Slots && m.count(k.Name, running) < m.ceiling(k) && m.count(k.Name, waiting) > 0 {
			t.Fatalf("work of %s waits beside a free slot", k.Name)
		}
	}
}

// TestController guards against slots taken twice or beyond a ceiling, work that
// starts after it was refused, handed off or cancelled, and idle slots.
func TestController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{requests: map[admission.ID]admission.Request{}, fates: map[admission.ID]fate{}}
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
				m.last++
				r := admission.Request{
					ID: m.last, Kind: rapid.SampledFrom([]string{"a", "b", "c", "s"}).Draw(t, "kind"),
					Deadline:   m.now + clock.Millis(rapid.IntRange(0, 3000).Draw(t, "deadline")),
					CanHandOff: rapid.IntRange(0, 9).Draw(t, "hand off") == 0, NoQueue: rapid.IntRange(0, 9).Draw(t, "no queue") == 0,
					Random: rapid.Float64Range(0, 0.999).Draw(t, "random"),
				}
				m.requests[r.ID] = r
				m.apply(t, m.controller.Admit(r, m.now))
			},
			"complete": func(t *rapid.T) {
				if id, ok := m.draw(t, running); ok {
					m.fates[id] = gone
					m.apply(t, m.controller.Complete(id, m.now))
				}
			},
			"cancel": func(t *rapid.T) {
				if id, ok := m.draw(t, waiting); ok {
					m.fates[id] = gone
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

// TestConfigure guards against queued work that is forgotten when a revised
// contract no longer has its kind, and against a slot that is never released.
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

// TestAbandon guards against work that was not done and makes the kind look fast,
// which would queue more than can start in time.
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
	// 100 ms of service leave 19 of them within the deadline.
	c.Assert(queued, qt.Equals, 19)
}
