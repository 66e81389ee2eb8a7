package balancer_test

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/balancer"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

// newRealPolicy returns a balancer of this package in the model.
func newRealPolicy(m *loadModel, index int) *loadPolicy {
	var b *balancer.Balancer
	byAddress := map[netip.AddrPort]int{}
	for _, u := range m.upstreams {
		byAddress[u.address] = u.index
	}
	tickAt := clock.Millis(0)
	var schedule func()
	schedule = func() {
		next := max(b.NextDeadline(), m.now+1)
		if b.NextDeadline() == 0 || (tickAt > m.now && tickAt <= next) {
			return
		}
		tickAt = next
		m.after(next-m.now, func() {
			if tickAt == m.now {
				b.Tick(m.now)
				schedule()
			}
		})
	}
	b = balancer.New(balancer.Config{
		DataCentre: dataCentreOf(index),
		Decode:     func(data []byte) (segment.Segment, error) { return platform.DecodeSegment(data, false) },
		Reset:      func(key segment.Key, _ uint32) []byte { m.refuse(m.flows[key]); return nil },
		ToSidecar: func(to netip.AddrPort, data []byte) {
			message, err := relay.Decode(data)
			if err != nil || message.Kind != relay.KindForward {
				return
			}
			s, err := platform.DecodeSegment(message.Packet, false)
			if err == nil {
				m.offer(index, byAddress[to], m.flows[s.Key], message.LatencyGoal, message.PastGoal)
			}
		},
		ToClient:    func(netip.Addr, []byte) {},
		Random:      m.random.IntN,
		AllReported: func() bool { return m.now > m.downUntil+300 },
	})
	var routes []route.Route
	for _, d := range m.demands {
		routes = append(routes, route.Route{
			Address: d.address, Targets: []route.Target{{Service: portal, Weight: 1}}, Priority: d.priority,
			Repeatable: d.repeatable, LatencyGoal: d.goal, Timeout: d.deadline,
		})
	}
	b.SetTable(0, route.NewTable(route.Config{Version: 1, Routes: routes}))
	return &loadPolicy{
		open: func(f *attemptedFlow, retransmissions uint32) {
			raw := platform.EncodeReset(segment.NewKey(f.key.Service(), f.key.Client()), 7)
			raw[0], raw[8] = openFlags, byte(retransmissions)
			b.HandleClient(m.now, raw)
			schedule()
		},
		respond: func(upstream int, f *attemptedFlow, accepted bool, load relay.Load) {
			message := relay.Message{Kind: relay.KindAccepted, Key: f.key, Load: load}
			if !accepted {
				message.Kind, message.Reason = relay.KindRefused, relay.ReasonBusy
			}
			b.HandleSidecar(m.now, m.upstreams[upstream].address, message)
			schedule()
		},
		report: func(upstream int, r relay.Report, _ float64) {
			b.HandleSidecar(m.now, m.upstreams[upstream].address, relay.Message{Kind: relay.KindReport, Report: r})
			schedule()
		},
	}
}

// maxPlainRefusals is the number of sidecars that may refuse a flow in one poll interval.
// Without a limit, the policies that offer flows to any sidecar send 800 messages for each
// served request in an overload.
const maxPlainRefusals = 4

// plainBalancer is a balancer of an earlier version of this package, reduced to its
// decisions about new flows, with an exchangeable choice of the sidecar.
type plainBalancer struct {
	model    *loadModel
	index    int
	sidecars []plainSidecar
	waiting  []*plainFlow
	pending  map[*attemptedFlow]*plainFlow
	polling  bool
	turn     int
	// pick returns the choice among the given sidecars.
	pick func(b *plainBalancer, candidates []int) int
	// limit is the number of requests for each slot above which a sidecar counts as full; 0
	// means none.
	limit float64
}

type plainSidecar struct {
	known                   bool
	active                  float64
	slots                   int
	latency                 float64
	lastSeen                clock.Millis
	busyUntil, pastGoalBusy clock.Millis
	unresponsiveAt          clock.Millis
}

type plainFlow struct {
	flow        *attemptedFlow
	firstSent   clock.Millis
	attempted   []int
	outstanding int
	attempt     int
	// refusals counts the refusals since the last poll.
	refusals int
}

func newPlainPolicy(limit float64, pick func(*plainBalancer, []int) int) func(*loadModel, int) *loadPolicy {
	return func(m *loadModel, index int) *loadPolicy {
		b := &plainBalancer{
			model: m, index: index, sidecars: make([]plainSidecar, len(m.upstreams)), pending: map[*attemptedFlow]*plainFlow{},
			pick: pick, limit: limit, turn: m.random.IntN(len(m.upstreams)),
		}
		return &loadPolicy{open: b.open, respond: b.respond, report: func(upstream int, r relay.Report, latency float64) {
			sc := &b.sidecars[upstream]
			sc.known, sc.active, sc.slots, sc.latency, sc.lastSeen = true, float64(r.Load.Active), r.Slots, latency, m.now
			sc.unresponsiveAt = min(sc.unresponsiveAt, m.now-1)
		}}
	}
}

func (b *plainBalancer) open(f *attemptedFlow, retransmissions uint32) {
	p := b.pending[f]
	if p == nil {
		p = &plainFlow{flow: f, firstSent: b.model.now - []clock.Millis{0, 200, 600}[retransmissions]}
		b.pending[f] = p
	}
	if !slices.Contains(b.waiting, p) {
		b.place(p)
	}
}

func (b *plainBalancer) pastGoal(p *plainFlow) bool {
	return b.model.now-p.firstSent > p.flow.client.demand.goal
}

func (b *plainBalancer) place(p *plainFlow) {
	now := b.model.now
	var candidates []int
	full := false
	for i := range b.sidecars {
		sc := &b.sidecars[i]
		switch {
		case !sc.known || now-sc.lastSeen > 4*b.model.interval || slices.Contains(p.attempted, i):
		case now < sc.busyUntil || (b.pastGoal(p) && now < sc.pastGoalBusy):
			full = true
		case b.limit > 0 && sc.active+1 > b.limit*float64(sc.slots):
			full = true
		default:
			candidates = append(candidates, i)
		}
	}
	if p.refusals >= maxPlainRefusals {
		candidates, full = nil, true
	}
	if len(p.attempted) < 4 && len(candidates) > 0 {
		var i int
		if len(p.attempted) > 0 {
			i = slices.MinFunc(candidates, func(x, y int) int { return cmp.Compare(b.requestCost(x), b.requestCost(y)) })
		} else {
			i = b.pick(b, candidates)
		}
		p.attempted = append(p.attempted, i)
		p.outstanding++
		p.attempt++
		attempt := p.attempt
		b.sidecars[i].active++
		b.model.offer(b.index, i, p.flow, p.flow.client.demand.goal, b.pastGoal(p))
		b.model.after(30, func() {
			if b.pending[p.flow] == p && p.attempt == attempt && now-p.firstSent <= clientOpenTime {
				b.sidecars[i].unresponsiveAt = b.model.now
				b.place(p)
			}
		})
		return
	}
	switch {
	case p.outstanding > 0:
	case full || now-p.firstSent < 1300:
		b.waiting = append(b.waiting, p)
		b.schedulePoll()
	default:
		delete(b.pending, p.flow)
		b.model.refuse(p.flow)
	}
}

func (b *plainBalancer) schedulePoll() {
	if b.polling {
		return
	}
	b.polling = true
	b.model.after(20, func() {
		b.polling = false
		waiting := b.waiting
		b.waiting = nil
		slices.SortStableFunc(waiting, func(x, y *plainFlow) int { return cmp.Compare(y.firstSent, x.firstSent) })
		for _, p := range waiting {
			if b.model.now-p.firstSent > min(clientOpenTime, p.flow.client.demand.deadline) {
				delete(b.pending, p.flow)
				continue
			}
			p.refusals = 0
			b.place(p)
		}
	})
}

func (b *plainBalancer) respond(upstream int, f *attemptedFlow, accepted bool, load relay.Load) {
	sc := &b.sidecars[upstream]
	sc.active, sc.lastSeen = float64(load.Active), b.model.now
	p := b.pending[f]
	if p == nil {
		return
	}
	if accepted {
		delete(b.pending, f)
		return
	}
	p.outstanding--
	p.attempt++
	p.refusals++
	sc.pastGoalBusy = b.model.now + 20
	if !b.pastGoal(p) {
		sc.busyUntil = b.model.now + 20
	}
	p.attempted = slices.DeleteFunc(p.attempted, func(i int) bool { return i == upstream })
	b.place(p)
}

// requestCost is the cost by requests of the earlier version.
func (b *plainBalancer) requestCost(i int) float64 {
	sc := &b.sidecars[i]
	cost := sc.active / float64(sc.slots)
	if dataCentreOf(i) != dataCentreOf(b.index) {
		cost += 0.1
	}
	if sc.unresponsiveAt > 0 && b.model.now-sc.unresponsiveAt < clock.Second {
		cost += 100
	}
	return cost
}

// pickLocalOrOther is the earlier policy: two random sidecars, of which one is local.
func pickLocalOrOther(b *plainBalancer, candidates []int) int {
	local := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return dataCentreOf(i) != dataCentreOf(b.index) })
	if len(local) == 0 {
		local = candidates
	}
	x, y := local[b.model.random.IntN(len(local))], candidates[b.model.random.IntN(len(candidates))]
	if b.requestCost(x) <= b.requestCost(y) {
		return x
	}
	return y
}

// pickOfTwo is the power of two choices by requests.
func pickOfTwo(b *plainBalancer, candidates []int) int {
	x, y := candidates[b.model.random.IntN(len(candidates))], candidates[b.model.random.IntN(len(candidates))]
	if b.sidecars[x].active <= b.sidecars[y].active {
		return x
	}
	return y
}

func pickRoundRobin(b *plainBalancer, candidates []int) int {
	for {
		b.turn = (b.turn + 1) % len(b.sidecars)
		if slices.Contains(candidates, b.turn) {
			return b.turn
		}
	}
}

// pickPrequal is the rule of Prequal (Wydrowski et al., NSDI 2024) on reports in place of
// probes: sidecars with more requests than 84% of a pool of 16 are hot. The cold one with
// the lowest latency is chosen or, if all are hot, the one with the fewest requests.
func pickPrequal(b *plainBalancer, candidates []int) int {
	const poolSize, hotQuantile = 16, 0.84
	pool := slices.Clone(candidates)
	b.model.random.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	pool = pool[:min(poolSize, len(pool))]
	slices.SortStableFunc(pool, func(x, y int) int { return cmp.Compare(b.sidecars[x].active, b.sidecars[y].active) })
	hot := b.sidecars[pool[int(math.Ceil(hotQuantile*float64(len(pool)-1)))]].active
	best := pool[0]
	for _, i := range pool[1:] {
		x, y := &b.sidecars[i], &b.sidecars[best]
		if x.active < hot && x.latency < y.latency {
			best = i
		}
	}
	return best
}
