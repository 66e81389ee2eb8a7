// Package admission decides whether a request to a sidecar starts now, waits in a
// queue, is handed off to a sibling or is refused. It uses no socket, goroutine or
// clock: callers pass the current time.
package admission

import (
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// Controller divides the slots of one upstream among the kinds of a service. It is
// not safe for concurrent use.
type Controller struct {
	config      Config
	kinds       []*kind
	requests    map[ID]*entry
	inUse       int
	queued      int
	streams     int
	lastArrival uint64
	accruedAt   clock.Millis
}

// Config holds the limits of one upstream.
type Config struct {
	Slots int
	// Streams is the maximum number of open streams.
	Streams int
	Kinds   []Kind
}

// Kind holds the limits of one kind of work.
type Kind struct {
	Name string
	// Urgency decides which kind starts first where the guaranteed shares do not
	// decide it. A kind with a higher Urgency precedes the others.
	Urgency int
	// GuaranteedShare is the fraction of the slots, from 0 to 1, that the kind gets
	// whenever it needs them.
	GuaranteedShare float64
	// Ceiling is the fraction of the slots, from 0 to 1, that the kind may use at
	// most. One slot is always permitted.
	Ceiling float64
	// Stream is true if the requests of the kind are streams. They use no slots and
	// are limited by Config.Streams only.
	Stream bool
}

// ID identifies a request. It is unique within a Controller.
type ID uint64

// Request is a request for a slot.
type Request struct {
	ID   ID
	Kind string
	// Deadline is when the client stops waiting.
	Deadline clock.Millis
	// CanHandOff is true if a sibling has a free slot.
	CanHandOff bool
	// NoQueue makes the Controller refuse a request that cannot start at once.
	NoQueue bool
	// Random is a number in [0, 1). It adds jitter to the RetryAfter of a refusal.
	Random float64
}

// Action is what the caller has to do with a request.
type Action struct {
	Type ActionType
	ID   ID
	// RetryAfter is set only for Refuse.
	RetryAfter clock.Millis
}

// ActionType is the decision about a request.
type ActionType uint8

// Decisions about a request. A queued request gets a Start or Refuse later.
const (
	Start ActionType = iota + 1
	Queue
	HandOff
	Refuse
)

const (
	// maxQueued limits the memory of the queues. The deadlines usually keep the
	// queues far shorter.
	maxQueued = 1024
	// maxCredit limits the credit or debt of a kind, as time at its guaranteed share.
	// Without it, the credits built up during a stall of the upstream would override
	// the urgencies for a long time after the upstream recovers.
	maxCredit = clock.Minute
	// maxIdleCredit limits the credit of a kind with an empty queue, as time at its
	// guaranteed share. Arrivals are uneven: a kind that kept no credit would get
	// less than its share whenever its queue is empty for a moment.
	maxIdleCredit = 3 * clock.Second
	// initialServiceTime is the estimate for a kind that has not been measured yet.
	initialServiceTime = clock.Millis(100)
	// serviceTimeWeight is the weight of a new sample in the mean service time.
	serviceTimeWeight = 1.0 / 8
	minRetryAfter     = clock.Second
	maxRetryAfter     = 30 * clock.Second
	// epsilon absorbs rounding errors in products such as 0.1 * 3 * 10.
	epsilon = 1e-6
)

type kind struct {
	Kind
	running int
	queue   []*entry
	// credit is the slot time in milliseconds that the kind is owed, or a debt if it
	// is negative. The guaranteed share adds to it, and running requests consume it.
	// In this way, a share can also be a fraction of a slot.
	credit          float64
	meanServiceTime float64
}

type entry struct {
	request   Request
	kind      *kind
	arrival   uint64
	running   bool
	startedAt clock.Millis
	// latestStart is the last time at which the request may start. According to the
	// mean service time, a request that starts later would miss its deadline.
	latestStart clock.Millis
}

// New returns a Controller with all slots free.
func New(config Config, now clock.Millis) *Controller {
	c := &Controller{requests: map[ID]*entry{}, accruedAt: now}
	c.Configure(config, now)
	return c
}

// Configure replaces the limits. Running requests keep their slots. Queued requests
// of a kind that no longer exists are refused.
func (c *Controller) Configure(config Config, now clock.Millis) []Action {
	c.accrue(now)
	previous := c.kinds
	c.config = config
	c.kinds = nil
	for _, k := range config.Kinds {
		c.kinds = append(c.kinds, c.updateKind(k, previous))
	}
	var actions []Action
	for _, old := range previous {
		if !slices.Contains(c.kinds, old) {
			actions = append(actions, c.refuseQueue(old)...)
		}
	}
	return append(actions, c.dispatch(now)...)
}

func (c *Controller) updateKind(k Kind, previous []*kind) *kind {
	for _, old := range previous {
		if old.Name == k.Name && old.Stream == k.Stream {
			old.Kind = k
			return old
		}
	}
	return &kind{Kind: k, meanServiceTime: float64(initialServiceTime)}
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

// Admit decides about a new request. The first action is for this request.
func (c *Controller) Admit(r Request, now clock.Millis) []Action {
	c.accrue(now)
	k := c.findKind(r.Kind)
	if k == nil || c.requests[r.ID] != nil {
		return []Action{c.refuse(r, 0)}
	}
	c.lastArrival++
	e := &entry{request: r, kind: k, arrival: c.lastArrival}
	e.latestStart = c.latestStart(k, r.Deadline, now)
	if k.Stream {
		return []Action{c.admitStream(e, now)}
	}
	if len(k.queue) == 0 && c.canStart(k) && now <= e.latestStart {
		// Nothing is overtaken: while a slot is free, the other kinds have empty
		// queues or have reached their ceilings.
		return []Action{c.start(e, now)}
	}
	if r.CanHandOff {
		return []Action{{Type: HandOff, ID: r.ID}}
	}
	wait := c.estimateWait(k)
	// A request that finds an empty queue is queued whatever the estimated wait is. A
	// kind of which no request starts would never be measured again.
	tooLate := len(k.queue) > 0 && now+wait > e.latestStart
	if r.NoQueue || c.queued >= maxQueued || tooLate || now > e.latestStart {
		return []Action{c.refuse(r, now+wait-e.latestStart)}
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

// Complete releases the slot of a request that has run to its end. It does nothing
// for an unknown request.
func (c *Controller) Complete(id ID, now clock.Millis) []Action {
	return c.release(id, true, now)
}

// Abandon releases the slot of a request that did not run or was interrupted, or
// removes a request from its queue. It does nothing for an unknown request.
func (c *Controller) Abandon(id ID, now clock.Millis) []Action {
	return c.release(id, false, now)
}

func (c *Controller) release(id ID, finished bool, now clock.Millis) []Action {
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
		e.kind.recordServiceTime(float64(now-e.startedAt), finished)
	}
	return c.dispatch(now)
}

// Drain refuses all queued requests. It is used when the upstream gets no new work.
func (c *Controller) Drain(now clock.Millis) []Action {
	c.accrue(now)
	var actions []Action
	for _, k := range c.kinds {
		actions = append(actions, c.refuseQueue(k)...)
	}
	return actions
}

// Tick refuses queued requests that would probably miss their deadline.
func (c *Controller) Tick(now clock.Millis) []Action {
	c.accrue(now)
	return c.dispatch(now)
}

// Slots returns the configured number of slots.
func (c *Controller) Slots() int { return c.config.Slots }

// InUse returns the number of slots in use, without streams.
func (c *Controller) InUse() int { return c.inUse }

// Queued returns the number of queued requests of all kinds.
func (c *Controller) Queued() int { return c.queued }

// Streams returns the number of open streams.
func (c *Controller) Streams() int { return c.streams }

// recordServiceTime adds a sample to the mean service time. A request that did not
// complete would have taken at least the elapsed time, so it can only raise the
// mean.
func (k *kind) recordServiceTime(elapsed float64, finished bool) {
	if finished || elapsed > k.meanServiceTime {
		k.meanServiceTime += (elapsed - k.meanServiceTime) * serviceTimeWeight
	}
}

func (c *Controller) findKind(name string) *kind {
	for _, k := range c.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

func (c *Controller) start(e *entry, now clock.Millis) Action {
	e.running = true
	e.startedAt = now
	c.requests[e.request.ID] = e
	if e.kind.Stream {
		c.streams++
	} else {
		e.kind.running++
		c.inUse++
	}
	return Action{Type: Start, ID: e.request.ID}
}

// refuse returns a refusal. Its RetryAfter is delay, limited to the range from
// minRetryAfter to maxRetryAfter, plus a jitter of up to 100%. Because of the jitter,
// clients that are refused in one overload do not return at the same time.
func (c *Controller) refuse(r Request, delay clock.Millis) Action {
	base := min(max(delay, minRetryAfter), maxRetryAfter)
	return Action{Type: Refuse, ID: r.ID, RetryAfter: base + clock.Millis(float64(base)*r.Random)}
}
