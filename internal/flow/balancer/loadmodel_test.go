package balancer_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// Delays of the model in ms, and the shares of responses that are lost or late.
const (
	hopDelay        clock.Millis = 1
	clientRoundTrip clock.Millis = 4
	lateDelay       clock.Millis = 60
	lostShare                    = 0.01
	lateShare                    = 0.02
	clientAttempts               = 3
	clientOpenTime  clock.Millis = 1400
	retryDelay      clock.Millis = 10
	expectationTime clock.Millis = 40
	upstreamQueue                = 15
	// deadUpstreamTime is the time after which clients of a failed upstream get a reset.
	deadUpstreamTime clock.Millis = 1200
)

// demand is one kind of request.
type demand struct {
	name               string
	address            netip.AddrPort
	priority           int
	repeatable         bool
	goal, deadline     clock.Millis
	work               float64
	costlyShare        float64
	costlyFactor       float64
	rate               func(now clock.Millis) float64
	clients            []*loadClient
	workInTime, worked float64
}

// loadClient is a client with one request.
type loadClient struct {
	demand             *demand
	number             uint32
	arrivedAt, endedAt clock.Millis
	attempts           int
	current            *attemptedFlow
	offered            bool
	refused            bool
	served             bool
}

// attemptedFlow is one attempt of a client.
type attemptedFlow struct {
	client   *loadClient
	key      segment.Key
	balancer int
	opened   bool
	ended    bool
}

// modelUpstream is an upstream with its sidecar.
type modelUpstream struct {
	model    *loadModel
	index    int
	address  netip.AddrPort
	speed    float64
	slots    int
	up       bool
	running  int
	queue    []*attemptedFlow
	expected map[*attemptedFlow]bool
	workTime float64
	latency  float64
	// offers counts the messages that offer a new flow.
	offers int
	// busyTime is the time that the slots have worked until the end of the burst.
	busyTime float64
}

// loadPolicy is one balancer of the model.
type loadPolicy struct {
	open    func(f *attemptedFlow, retransmissions uint32)
	respond func(upstream int, f *attemptedFlow, accepted bool, load relay.Load)
	report  func(upstream int, r relay.Report, latency float64)
}

type loadEvent struct {
	at     clock.Millis
	number int
	run    func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }

func (e loadEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].number < e[j].number)
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadModel plays clients, balancers, sidecars and upstreams on a virtual clock.
type loadModel struct {
	now       clock.Millis
	events    loadEvents
	count     int
	random    *rand.Rand
	upstreams []*modelUpstream
	balancers []*loadPolicy
	flows     map[segment.Key]*attemptedFlow
	demands   []*demand
	// downUntil is the time until which all hosts are down.
	downUntil clock.Millis
	// statesWork is set if reports state the work of the upstream. interval is the time
	// between two reports of a sidecar.
	statesWork bool
	interval   clock.Millis
	flowCount  uint32
	// messages counts the messages about new flows.
	messages int
	end      clock.Millis
}

func (m *loadModel) after(d clock.Millis, run func()) {
	m.count++
	heap.Push(&m.events, loadEvent{at: m.now + max(d, 0), number: m.count, run: run})
}

func (m *loadModel) run(until clock.Millis) {
	for _, u := range m.upstreams {
		m.after(m.downUntil+clock.Millis(m.random.IntN(int(m.interval))), u.sendReports)
	}
	for _, d := range m.demands {
		m.after(0, func() { m.arrive(d) })
	}
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(loadEvent)
		m.now = e.at
		e.run()
	}
}

// arrive lets the clients of one millisecond arrive.
func (m *loadModel) arrive(d *demand) {
	for rate := d.rate(m.now) / 1000; rate > m.random.Float64(); rate-- {
		c := &loadClient{demand: d, arrivedAt: m.now, number: uint32(len(d.clients))}
		d.clients = append(d.clients, c)
		m.after(0, func() { m.attempt(c) })
		m.after(d.deadline, func() { m.finish(c, false) })
	}
	if m.now < m.end {
		m.after(1, func() { m.arrive(d) })
	}
}

func (m *loadModel) finish(c *loadClient, served bool) {
	if c.endedAt != 0 {
		return
	}
	c.endedAt, c.served = m.now, served
	if c.current != nil {
		c.current.ended = true
	}
}

// attempt lets a client open a flow from a new port.
func (m *loadModel) attempt(c *loadClient) {
	if c.endedAt != 0 {
		return
	}
	if c.attempts == clientAttempts {
		m.finish(c, false)
		return
	}
	c.attempts++
	m.flowCount++
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(c.number>>16), byte(c.number >> 8), byte(c.number)}), uint16(20000+m.flowCount%40000))
	f := &attemptedFlow{client: c, key: segment.NewKey(from, c.demand.address), balancer: m.random.IntN(len(m.balancers))}
	c.current = f
	m.flows[f.key] = f
	for i, at := range []clock.Millis{0, 200, 600} {
		m.after(at+hopDelay, func() {
			if !f.opened && !f.ended && m.now >= m.downUntil {
				m.balancers[f.balancer].open(f, uint32(i))
			}
		})
	}
	m.after(clientOpenTime, func() {
		if !f.opened && !f.ended {
			m.endAttempt(f)
		}
	})
}

// endAttempt ends an attempt, after which the client tries again if it may.
func (m *loadModel) endAttempt(f *attemptedFlow) {
	if f.ended {
		return
	}
	f.ended = true
	if f.opened && !f.client.demand.repeatable {
		m.finish(f.client, false)
		return
	}
	m.after(retryDelay, func() { m.attempt(f.client) })
}

// refuse delivers a balancer's reset to the client.
func (m *loadModel) refuse(f *attemptedFlow) {
	m.after(hopDelay, func() {
		if !f.ended && !f.opened {
			f.client.refused = true
			m.endAttempt(f)
		}
	})
}

// offer delivers a balancer's offer to a sidecar.
func (m *loadModel) offer(from, upstream int, f *attemptedFlow, goal clock.Millis, pastGoal bool) {
	m.messages++
	m.after(hopDelay, func() { m.upstreams[upstream].offer(from, f, goal, pastGoal) })
}

func (u *modelUpstream) active() int { return u.running + len(u.queue) + len(u.expected) }

func (u *modelUpstream) load() relay.Load { return relay.Load{Active: uint16(u.active())} }

// offer decides as package sidecar does.
func (u *modelUpstream) offer(from int, f *attemptedFlow, goal clock.Millis, pastGoal bool) {
	m := u.model
	if !u.up {
		return
	}
	u.offers++
	limit := u.slots
	if !pastGoal {
		workTime := u.workTime
		if workTime == 0 {
			workTime = 0.25 * float64(goal)
		}
		limit = max(int(float64(u.slots)*0.5*float64(goal)/workTime), u.slots)
	}
	accepted := u.active() < limit
	if accepted {
		u.expected[f] = true
		m.after(expectationTime, func() { delete(u.expected, f) })
		m.after(clientRoundTrip, func() { u.receive(f) })
		f.client.offered = true
	}
	delay, load := hopDelay, u.load()
	switch draw := m.random.Float64(); {
	case draw < lostShare:
		return
	case draw < lostShare+lateShare:
		delay = lateDelay
	}
	m.messages++
	m.after(delay, func() { m.balancers[from].respond(u.index, f, accepted, load) })
}

// receive handles the request of a client that has got the upstream's acceptance.
func (u *modelUpstream) receive(f *attemptedFlow) {
	if !u.expected[f] || f.opened || f.ended || !u.up {
		return
	}
	delete(u.expected, f)
	f.opened = true
	if len(u.queue) >= upstreamQueue {
		u.model.endAttempt(f)
		return
	}
	u.queue = append(u.queue, f)
	u.start()
}

func (u *modelUpstream) start() {
	m := u.model
	for u.up && u.running < u.slots && len(u.queue) > 0 {
		f := u.queue[0]
		u.queue = u.queue[1:]
		d := f.client.demand
		work := d.work * (0.6 + 0.8*m.random.Float64())
		if m.random.Float64() < d.costlyShare {
			work *= d.costlyFactor
		}
		work /= u.speed
		u.running++
		startedAt := m.now
		m.after(clock.Millis(work+0.5), func() {
			if !u.up {
				return
			}
			u.running--
			spent := float64(m.now - startedAt)
			inBurst := m.now > loadStart && m.now <= loadStop
			if inBurst {
				u.busyTime += spent
			}
			if u.workTime == 0 {
				u.workTime = max(spent, 1)
			}
			u.workTime += 0.05 * (max(spent, 1) - u.workTime)
			if f.client.endedAt == 0 && !f.ended {
				u.latency += 0.1 * (float64(m.now-f.client.arrivedAt) - u.latency)
				if inBurst {
					d.workInTime += spent
				}
				m.finish(f.client, true)
			}
			u.start()
		})
	}
}

// fail ends the upstream and its sidecar.
func (u *modelUpstream) fail() {
	u.up = false
	for _, f := range u.model.flows {
		if u.expected[f] {
			delete(u.expected, f)
		}
	}
	queue := u.queue
	u.queue = nil
	for _, f := range queue {
		u.model.after(deadUpstreamTime, func() { u.model.endAttempt(f) })
	}
}

func (u *modelUpstream) sendReports() {
	m := u.model
	if !u.up {
		return
	}
	r := relay.Report{
		Incarnation: 1, Service: portal, DataCentre: dataCentreOf(u.index), Accepting: true, AllListed: true,
		Slots: u.slots, Interval: m.interval, Load: u.load(),
	}
	if m.statesWork && u.workTime > 0 {
		r.Work = relay.Work{Known: true, ServiceTime: u.workTime, Remaining: clock.Millis(float64(u.active()) * u.workTime)}
	}
	latency := u.latency
	for _, b := range m.balancers {
		m.after(hopDelay, func() { b.report(u.index, r, latency) })
	}
	m.after(m.interval, u.sendReports)
}

func dataCentreOf(index int) string { return []string{"dc-0", "dc-1", "dc-2"}[index%3] }
