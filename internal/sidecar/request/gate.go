package request

import (
	"context"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
)

// gate lets requests wait for the decisions of the admission. It is safe for
// concurrent use.
type gate struct {
	clock  clock.Clock
	random func() float64

	mutex      sync.Mutex
	controller *admission.Controller
	waiting    map[admission.ID]chan admission.Action
	last       admission.ID
}

func newGate(config Config) *gate {
	return &gate{
		clock:      config.Clock,
		random:     config.Random,
		controller: admission.New(limits(config.Service), config.Clock.Now()),
		waiting:    map[admission.ID]chan admission.Action{},
	}
}

func limits(service contract.Service) admission.Config {
	config := admission.Config{Slots: service.Slots(), Streams: service.Flows()}
	for _, k := range service.Kinds() {
		config.Kinds = append(config.Kinds, admission.Kind{
			Name: k.Name(), Urgency: k.Urgency(), GuaranteedShare: k.GuaranteedShare(),
			Ceiling: k.Ceiling(), Stream: k.Stream(),
		})
	}
	return config
}

// acquire waits for the decision about a request: Start, HandOff or Refuse. After
// Start the caller must complete or abandon the ID. The error is the cause of the end of ctx.
func (g *gate) acquire(ctx context.Context, r admission.Request) (admission.Action, error) {
	r.Random = g.random()
	g.mutex.Lock()
	g.last++
	r.ID = g.last
	now := g.clock.Now()
	action := g.controller.Admit(r, now)[0]
	if action.Type != admission.Queue {
		g.mutex.Unlock()
		return action, nil
	}
	decided := make(chan admission.Action, 1)
	g.waiting[r.ID] = decided
	g.mutex.Unlock()
	select {
	case action = <-decided:
		return action, nil
	case <-ctx.Done():
		g.abandon(r.ID)
		return admission.Action{}, context.Cause(ctx)
	}
}

// complete frees the slot of a request whose work is done.
func (g *gate) complete(id admission.ID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.controller.Complete(id, g.clock.Now()))
}

// abandon frees the slot or the place in the queue of a request whose work did not
// start or was cut short.
func (g *gate) abandon(id admission.ID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, id)
	g.deliver(g.controller.Abandon(id, g.clock.Now()))
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.controller.Tick(g.clock.Now()))
}

// drain refuses all queued requests.
func (g *gate) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.controller.Drain(g.clock.Now()))
}

func (g *gate) configure(service contract.Service) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.deliver(g.controller.Configure(limits(service), g.clock.Now()))
}

func (g *gate) load() sibling.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return sibling.Load{
		Flows: g.controller.Streams(), InUse: g.controller.InUse(),
		Slots: g.controller.Slots(), Queued: g.controller.Queued(),
	}
}

func (g *gate) deliver(actions []admission.Action) {
	for _, action := range actions {
		if decided, ok := g.waiting[action.ID]; ok {
			delete(g.waiting, action.ID)
			decided <- action
		}
	}
}
