package request

import (
	"context"
	"sync"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
	"github.com/orioledyke/orioledyke/internal/sidecar/sibling"
)

// gate makes the goroutines of requests wait for the decisions of the admission
// controller. It is safe for concurrent use.
type gate struct {
	clock  clock.Clock
	random func() float64

	mutex      sync.Mutex
	controller *admission.Controller
	waiting    map[admission.ID]chan admission.Action
	lastID     admission.ID
}

func newGate(config Config) *gate {
	return &gate{
		clock:      config.Clock,
		random:     config.Random,
		controller: admission.New(admissionConfig(config.Service), config.Clock.Now()),
		waiting:    map[admission.ID]chan admission.Action{},
	}
}

func admissionConfig(service contract.Service) admission.Config {
	config := admission.Config{Slots: service.Slots(), Streams: service.Flows()}
	for _, k := range service.Kinds() {
		config.Kinds = append(config.Kinds, admission.Kind{
			Name: k.Name(), Urgency: k.Urgency(), GuaranteedShare: k.GuaranteedShare(),
			Ceiling: k.Ceiling(), Stream: k.Stream(),
		})
	}
	return config
}

// acquire waits for the decision about a request, which is Start, HandOff or Refuse.
// After Start, the caller must call complete or abandon with the ID of the action. The
// error is the cause for which ctx has ended.
func (g *gate) acquire(ctx context.Context, r admission.Request) (admission.Action, error) {
	r.Random = g.random()
	g.mutex.Lock()
	g.lastID++
	r.ID = g.lastID
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

// complete releases the slot of a request that has run to its end.
func (g *gate) complete(id admission.ID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.controller.Complete(id, g.clock.Now()))
}

// abandon releases the slot of a request that did not run or was interrupted, or
// removes a request from its queue.
func (g *gate) abandon(id admission.ID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, id)
	g.notify(g.controller.Abandon(id, g.clock.Now()))
}

func (g *gate) tick() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.controller.Tick(g.clock.Now()))
}

// drain refuses all queued requests.
func (g *gate) drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.controller.Drain(g.clock.Now()))
}

func (g *gate) configure(service contract.Service) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.notify(g.controller.Configure(admissionConfig(service), g.clock.Now()))
}

func (g *gate) load() sibling.Load {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return sibling.Load{
		Flows: g.controller.Streams(), InUse: g.controller.InUse(),
		Slots: g.controller.Slots(), Queued: g.controller.Queued(),
	}
}

// notify passes decisions to the goroutines that wait for them.
func (g *gate) notify(actions []admission.Action) {
	for _, action := range actions {
		if decided, ok := g.waiting[action.ID]; ok {
			delete(g.waiting, action.ID)
			decided <- action
		}
	}
}
