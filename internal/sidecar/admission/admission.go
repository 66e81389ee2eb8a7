// Package admission decides which requests of a sidecar run now, wait, go to a
// sibling or are refused. It holds no socket, goroutine or clock.
package admission

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Controller shares the slots of one upstream among the kinds of a service. It
// is not safe for concurrent use.
type Controller struct {
	config   Config
	kinds    []*kind
	requests map[ID]*entry
	inUse    int
	queued   int
	streams  int
	arrivals uint64
	updated  clock.Millis
}

// Config holds the limits of one upstream.
type Config struct {
	Slots int
	// Streams limits the open streams.
	Streams int
	Kinds   []Kind
}

// Kind holds the limits of one kind of work. GuaranteedShare and Ceiling are
// fractions of the slots from 0 to 1.
type Kind struct {
	Name            string
	Urgency         int
	GuaranteedShare float64
	Ceiling         float64
	Stream          bool
}

// ID identifies a request within a Controller.
type ID uint64

// Request asks for a slot.
type Request struct {
	ID   ID
	Kind string
	// Deadline is the time at which the client stops waiting.
	Deadline clock.Millis
	// CanHandOff tells that a sibling has a free slot.
	CanHandOff bool
	// NoQueue refuses the request if it cannot start at once.
	NoQueue bool
	// Random is a number in [0, 1) that spreads the Retry-After of a refusal.
	Random float64
}

// Action tells what happens to a request.
type Action struct {
	Type ActionType
	ID   ID
	// RetryAfter is set for Refuse.
	RetryAfter clock.Millis
}

// ActionType is the decision about a request.
type ActionType uint8

// Decisions. A queued request later gets Start or Refuse.
const (
	Start ActionType = iota + 1
	Queue
	HandOff
	Refuse
)

const (
	// maxQueued limits the memory of the queues; the deadlines usually keep them
	// far shorter.
	maxQueued = 1024
	// maxCredit limits the slot time that a kind can be owed, so that a stalled
	// upstream does not displace urgency for long after it recovers.
	maxCredit = clock.Minute
	// maxSaved limits the share that a kind without demand saves for its next
	// requests. Arrivals are uneven, so a kind that saved nothing would get less
	// than its share whenever its queue was empty for a moment.
	maxSaved = 3 * clock.Second
	// initialServiceTime stands in until a kind has been measured.
	initialServiceTime = clock.Millis(100)
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 1.0 / 8
	minRetryAfter     = clock.Second
	maxRetryAfter     = 30 * clock.Second
	// epsilon hides rounding in products such as 0.1 * 3 * 10.
	epsilon = 1e-6
)

type kind struct {
	Kind
	running int
	queue   []*entry
	// credit is the slot time in milliseconds that the kind is owed. Its
	// guaranteed share adds to it and its running requests consume it, which
	// also yields shares that are a fraction of a slot.
	credit float64
	mean   float64
}

type entry struct {
	request Request
	kind    *kind
	arrival uint64
	running bool
	started clock.Millis
	// latest is the last time at which the request can start and still finish
	// before its deadline, judged by the mean service time.
	latest clock.Millis
}

// New returns a Controller with all slots free.
func New(config Config, now clock.Millis) *Controller {
	c := &Controller{requests: map[ID]*entry{}, updated: now}
	c.Configure(config, now)
	return c
}

// Configure replaces the limits. Running requests keep their slots; queued
// requests of a kind that no longer exists are refused.
func (c *Controller) Configure(config Config, now clock.Millis) []Action {
	c.accrue(now)
	previous := c.kinds
	c.config = config
	c.kinds = nil
	for _, k := range config.Kinds {
		c.kinds = append(c.kinds, c.renew(k, previous))
	}
	var actions []Action
	for _, old := range previous {
		if !slices.Contains(c.kinds, old) {
			actions = append(actions, c.refuseQueue(old)...)
		}
	}
	return append(actions, c.dispatch(now)...)
}

func (c *Controller) renew(k Kind, previous []*kind) *kind {
	for _, old := range previous {
		if old.Name == k.Name && old.Stream == k.Stream {
			old.Kind = k
			return old
		}
	}
	return &kind{Kind: k, mean: float64(initialServiceTime)}
}

func (c *Controller) refuseQueue(k *kind) []Action {
	var actions []Action
	for _, e := range k.queue {
		actions = append(actions, c.refuse(e.request, 0))
		delete(c.requests, e.request.ID)
	}
	c.queued -= len(k.queue)
	k.queue = nil
	return actions
}

// Admit decides about a new request. The first action is the one for it.
func (c *Controller) Admit(r Request, now clock.Millis) []Action {
	c.accrue(now)
	k := c.find(r.Kind)
	if k == nil || c.requests[r.ID] != nil {
		return []Action{c.refuse(r, 0)}
	}
	c.arrivals++
	e := &entry{request: r, kind: k, arrival: c.arrivals}
	e.latest = c.latestStart(k, r.Deadline, now)
	if k.Stream {
		return []Action{c.admitStream(e, now)}
	}
	if len(k.queue) == 0 && c.startable(k) && now <= e.latest {
		// Other queues are empty or at their ceilings while a slot is free.
		return []Action{c.start(e, now)}
	}
	if r.CanHandOff {
		return []Action{{Type: HandOff, ID: r.ID}}
	}
	wait := c.wait(k)
	// The first request of a queue is kept whatever the estimate says, because a
	// kind that never starts is never measured again.
	late := len(k.queue) > 0 && now+wait > e.latest
	if r.NoQueue || c.queued >= maxQueued || late || now > e.latest {
		return []Action{c.refuse(r, now+wait-e.latest)}
	}
	c.requests[r.ID] = e
	k.queue = append(k.queue, e)
	c.queued++
	return []Action{{Type: Queue, ID: r.ID}}
}

func (c *Controller) admitStream(e *entry, now clock.Millis) Action {
	if c.streams >= c.config.Streams {
		return c.refuse(e.request, 0)
	}
	return c.start(e, now)
}

// Complete releases the slot of a request whose work is done. It does nothing for
// an unknown request.
func (c *Controller) Complete(id ID, now clock.Millis) []Action {
	return c.release(id, true, now)
}

// Abandon releases the slot of a request whose work did not start or was cut
// short, or removes a request from its queue. It does nothing for an unknown
// request.
func (c *Controller) Abandon(id ID, now clock.Millis) []Action {
	return c.release(id, false, now)
}

func (c *Controller) release(id ID, done bool, now clock.Millis) []Action {
	c.accrue(now)
	e := c.requests[id]
	if e == nil {
		return nil
	}
	delete(c.requests, id)
	switch {
	case !e.running:
		e.kind.queue = slices.DeleteFunc(e.kind.queue, func(q *entry) bool { return q == e })
		c.queued--
	case e.kind.Stream:
		c.streams--
	default:
		e.kind.running--
		c.inUse--
		e.kind.measure(float64(now-e.started), done)
	}
	return c.dispatch(now)
}

// Drain refuses all queued requests, because the upstream gets no new work.
func (c *Controller) Drain(now clock.Millis) []Action {
	c.accrue(now)
	var actions []Action
	for _, k := range c.kinds {
		actions = append(actions, c.refuseQueue(k)...)
	}
	return actions
}

// Tick refuses queued requests that can no longer meet their deadline.
func (c *Controller) Tick(now clock.Millis) []Action {
	c.accrue(now)
	return c.dispatch(now)
}

// Slots returns the number of slots.
func (c *Controller) Slots() int { return c.config.Slots }

// InUse returns the number of slots in use.
func (c *Controller) InUse() int { return c.inUse }

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queued }

// Streams returns the number of open streams.
func (c *Controller) Streams() int { return c.streams }

// measure adds a service time to the mean. Work that was not done would have taken
// at least the given time, so it can only raise the mean.
func (k *kind) measure(elapsed float64, done bool) {
	if done || elapsed > k.mean {
		k.mean += (elapsed - k.mean) * serviceTimeWeight
	}
}

func (c *Controller) find(name string) *kind {
	for _, k := range c.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

func (c *Controller) start(e *entry, now clock.Millis) Action {
	e.running = true
	e.started = now
	c.requests[e.request.ID] = e
	if e.kind.Stream {
		c.streams++
	} else {
		e.kind.running++
		c.inUse++
	}
	return Action{Type: Start, ID: e.request.ID}
}

// refuse spreads the clients of one overload over an interval as long as the
// shortest wait.
func (c *Controller) refuse(r Request, excess clock.Millis) Action {
	base := min(max(excess, minRetryAfter), maxRetryAfter)
	return Action{Type: Refuse, ID: r.ID, RetryAfter: base + clock.Millis(float64(base)*r.Random)}
}
