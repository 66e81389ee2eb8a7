package balancer

import (
	"bytes"
	"cmp"
	"container/heap"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/identity"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// maxOpeningLife is how long clients wait at most for a flow to open.
const maxOpeningLife clock.Millis = 1400

// copyTimes are the times at which clients send the copies of a request for a flow.
var copyTimes = [...]clock.Millis{0, 200, 600}

// opening is a new flow that no upstream has accepted yet.
type opening struct {
	key     segment.Key
	service identity.ServiceID
	packet  []byte
	// copies is the highest copy of the client's request seen; 0 is the first one.
	copies uint32
	// began is when the client sent its first copy, as far as is known.
	began clock.Millis
	// goal is the latency goal of the route, and life how long the client waits for the
	// flow to open.
	goal, life clock.Millis
	tried      []netip.AddrPort
	// unanswered counts the sidecars that were asked and have not answered, so that
	// their upstreams may have accepted the flow.
	unanswered int
	// asked is when the last sidecar was asked, and deadline until when it may answer.
	asked, deadline clock.Millis
	// waiting tells that no sidecar can be asked now, and waited that this was so before.
	waiting, waited bool
}

// late reports whether the client has waited longer than the latency goal.
func (o *opening) late(now clock.Millis) bool { return o.goal > 0 && now-o.began > o.goal }

// expired reports whether the client has given the flow up.
func (o *opening) expired(now clock.Millis) bool { return now-o.began > o.life }

// attempt is a request to one sidecar. It is obsolete when its opening has another
// deadline.
type attempt struct {
	opening  *opening
	deadline clock.Millis
}

// attempts is a heap of attempts in order of their deadlines.
type attempts []attempt

func (a attempts) Len() int { return len(a) }

func (a attempts) Less(i, j int) bool { return a[i].deadline < a[j].deadline }

func (a attempts) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an attempt.
func (a *attempts) Push(x any) { *a = append(*a, x.(attempt)) }

// Pop removes the last attempt.
func (a *attempts) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = attempt{}
	*a = (*a)[:last]
	return x
}

// handleRequest handles a client's request for a new flow.
func (b *Balancer) handleRequest(now clock.Millis, f *flow, s segment.Segment, packet []byte) {
	copies := s.Acknowledged
	if f != nil && copies > 0 && f.accepted {
		// The upstream repeats its answer, which was lost.
		f.seen = now
		b.forward(f.owner, relay.KindForward, f.service, packet)
		b.counts[OutcomeForwarded]++
		return
	}
	r, ok := b.table.Lookup(s.Key.Service())
	if !ok {
		b.refuse(s.Key, copies, Event{Outcome: OutcomeNoRoute, Key: s.Key, Version: b.table.Version()})
		return
	}
	if f == nil || f.opening == nil || copies == 0 {
		f = b.remember(now, s.Key)
		f.owner, f.accepted = netip.AddrPort{}, false
		f.service, f.bulk = r.Service(s.Key), r.Bulk
		f.opening = &opening{
			key: s.Key, service: f.service, packet: bytes.Clone(packet), began: now - copyAge(copies),
			goal: r.LatencyGoal, life: openingLife(r.Timeout),
		}
	}
	f.opening.copies = max(f.opening.copies, copies)
	if !f.opening.waiting {
		b.ask(now, f, f.opening, 0)
	}
}

// ask sends the request to the best sidecar that has not been asked. If there is
// none, the client gets a refusal, unless some upstream may have accepted the flow.
func (b *Balancer) ask(now clock.Millis, f *flow, o *opening, reason relay.Reason) {
	if len(o.tried) == 0 && f.bulk && b.bulkFull(now) {
		b.waitForLink(now, f, o)
		return
	}
	c, full := b.pick(now, o)
	if len(o.tried) < maxAttempts {
		if c != nil {
			outcome := OutcomePlaced
			if len(o.tried) > 0 {
				outcome = OutcomeMovedOn
			}
			o.tried = append(o.tried, c.address)
			o.unanswered++
			o.asked, o.deadline = now, now+b.answers.timeout()
			heap.Push(&b.openings, attempt{opening: o, deadline: o.deadline})
			c.placed++
			f.owner = c.address
			b.sendTo(c.address, relay.Message{
				Kind: relay.KindForward, Service: o.service, LatencyGoal: o.goal, PastGoal: o.late(now), Packet: o.packet,
			})
			b.count(Event{
				Outcome: outcome, Key: o.key, Sidecar: c.address, Reason: reason,
				Version: b.table.Version(), StateAge: now - c.heard, Attempt: len(o.tried),
			})
			return
		}
	}
	if o.unanswered > 0 {
		return
	}
	if full || (len(o.tried) == 0 && now-o.began < b.patience()) {
		b.wait(now, o)
		return
	}
	b.giveUp(o, Event{Outcome: OutcomeNoSidecar, Reason: reason})
}

// giveUp refuses a request that was given to no upstream.
func (b *Balancer) giveUp(o *opening, e Event) {
	delete(b.flows, o.key)
	e.Key, e.Version, e.Attempt = o.key, b.table.Version(), len(o.tried)
	b.refuse(o.key, o.copies, e)
}

// waitForLink keeps a new bulk flow back until others have ended. After that the
// client is refused, whose next try may reach a balancer with a faster link.
func (b *Balancer) waitForLink(now clock.Millis, f *flow, o *opening) {
	if now-o.began >= bulkPatience {
		b.giveUp(o, Event{Outcome: OutcomeLinkFull})
		return
	}
	f.seen = now
	b.keep(now, o)
}

// patience is how long a request waits for a sidecar that can be asked.
func (b *Balancer) patience() clock.Millis {
	if b.config.AllReported() {
		return waitTime
	}
	return startWaitTime
}

// openingLife returns how long a client waits for a flow to open, when it gives a
// request up after a timeout; 0 means not known.
func openingLife(timeout clock.Millis) clock.Millis {
	if timeout <= 0 {
		return maxOpeningLife
	}
	return min(timeout, maxOpeningLife)
}

// copyAge returns how long ago a client has sent its first request for a flow, when
// this is a later copy.
func copyAge(copies uint32) clock.Millis {
	return copyTimes[min(int(copies), len(copyTimes)-1)]
}

// wait keeps a request until a sidecar reports or until its patience ends.
func (b *Balancer) wait(now clock.Millis, o *opening) {
	if !o.waited {
		b.count(Event{Outcome: OutcomeWaiting, Key: o.key, Version: b.table.Version()})
	}
	o.waited = true
	b.keep(now, o)
}

// keep adds a request to those that wait.
func (b *Balancer) keep(now clock.Millis, o *opening) {
	if len(b.waiting) == 0 {
		b.nextPoll = now + waitPoll
	}
	o.waiting, o.deadline = true, 0
	b.waiting = append(b.waiting, o)
}

// resume asks sidecars for the requests that wait. The newest goes first, because the
// others have missed their goals or are closer to missing them.
func (b *Balancer) resume(now clock.Millis) {
	waiting := b.waiting
	b.waiting = nil
	slices.SortStableFunc(waiting, func(x, y *opening) int { return cmp.Compare(y.began, x.began) })
	for _, o := range waiting {
		f := b.flows[o.key]
		o.waiting = false
		switch {
		case f == nil || f.opening != o || f.accepted:
		case o.expired(now):
			delete(b.flows, o.key)
			b.count(Event{Outcome: OutcomeExpired, Key: o.key, Version: b.table.Version()})
		default:
			b.ask(now, f, o, 0)
		}
	}
}

// refuse answers a request for a flow that was given to no upstream. Only the
// first copy is refused: a later one may follow a copy that another balancer
// placed.
func (b *Balancer) refuse(key segment.Key, copies uint32, e Event) {
	b.count(e)
	if copies > 0 || b.table == nil {
		return
	}
	e.Outcome = OutcomeReset
	b.count(e)
	b.config.ToClient(key.Client().Addr(), b.config.Reset(key, 0))
}

func (b *Balancer) handleAccepted(now clock.Millis, from netip.AddrPort, key segment.Key) {
	f := b.flows[key]
	if f == nil || f.accepted {
		return
	}
	f.seen = now
	f.owner, f.accepted = from, true
	if o := f.opening; o != nil && len(o.tried) == 1 {
		// With more than one sidecar asked, the time from which to count is not known.
		b.answers.observe(now - o.asked)
	}
	f.opening = nil
	b.count(Event{Outcome: OutcomeAccepted, Key: key, Sidecar: from})
}

func (b *Balancer) handleRefused(now clock.Millis, from netip.AddrPort, m relay.Message) {
	f := b.flows[m.Key]
	if f == nil || f.opening == nil || f.accepted {
		return
	}
	o := f.opening
	if !slices.Contains(o.tried, from) {
		return
	}
	o.unanswered--
	if c := b.sidecars[from]; c != nil && m.Reason == relay.ReasonBusy {
		// It may be asked again later.
		c.busy(now, o.late(now))
		o.tried = slices.DeleteFunc(o.tried, func(a netip.AddrPort) bool { return a == from })
	}
	b.ask(now, f, o, m.Reason)
}

// expireOpenings asks another sidecar for each flow whose answer is late, and again for
// the flows that wait.
func (b *Balancer) expireOpenings(now clock.Millis) {
	if len(b.waiting) > 0 && now >= b.nextPoll {
		b.resume(now)
	}
	for len(b.openings) > 0 {
		a := b.openings[0]
		o := a.opening
		f := b.flows[o.key]
		current := f != nil && f.opening == o && a.deadline == o.deadline
		if current && a.deadline > now {
			return
		}
		heap.Pop(&b.openings)
		if !current {
			continue
		}
		if o.expired(now) {
			f.opening = nil
			continue
		}
		last := o.tried[len(o.tried)-1]
		if c := b.sidecars[last]; c != nil {
			c.late(now)
		}
		b.count(Event{Outcome: OutcomeTimedOut, Key: o.key, Sidecar: last, Attempt: len(o.tried)})
		b.ask(now, f, o, 0)
	}
}
