package measure

import (
	"math/rand/v2"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/sidecar/admission"
)

const (
	slotsPerUpstream = 3
	flowsPerUpstream = 2000
	balancerCount    = 3
	dataCentreCount  = 3
	// overloadFactor is the work offered in an overload, relative to all slots.
	overloadFactor = 10
)

// deployment is one service of a customer.
type deployment struct {
	name      string
	upstreams int
	// betweenCentres and toClient are latencies one way.
	betweenCentres micros
	toClient       micros
	kinds          []work
}

// work is one kind of work, the most urgent first.
type work struct {
	kind admission.Kind
	mean clock.Millis
	// load is the offered work as a fraction of all slots.
	load     float64
	deadline clock.Millis
}

// kinds offers 80% of the slots. The least urgent kind offers more than its
// guaranteed share and the others less.
func kinds(urgent, middle, bulk string) []work {
	return []work{
		{
			kind: admission.Kind{Name: urgent, Urgency: 3, GuaranteedShare: 0.4, Ceiling: 1},
			mean: 80, load: 0.30, deadline: 2 * clock.Second,
		},
		{
			kind: admission.Kind{Name: middle, Urgency: 2, GuaranteedShare: 0.3, Ceiling: 1},
			mean: 40, load: 0.25, deadline: 2 * clock.Second,
		},
		{
			kind: admission.Kind{Name: bulk, Urgency: 1, GuaranteedShare: 0.2, Ceiling: 0.67},
			mean: 300, load: 0.25, deadline: 5 * clock.Second,
		},
	}
}

func deployments() []deployment {
	const between, presa, ferncliff = 1500, 3 * millisecond, 1 * millisecond
	return []deployment{
		{"presa-digital/grower-portal", 7, between, presa, kinds("booking", "listing", "upload")},
		{"presa-digital/weighbridge", 3, between, presa, kinds("settlement", "receipt", "weigh-in")},
		{"ferncliff-willow/bundle-desk", 7, between, ferncliff, kinds("hold", "listing", "label")},
		{"ferncliff-willow/rod-yard", 3, between, ferncliff, kinds("order", "listing", "photo")},
	}
}

// request is one request of a client.
type request struct {
	kind     int
	service  micros
	deadline micros
	// sent is when the client sends it, and received when the first sidecar gets it.
	sent, received micros
	phone          *phone
	// surplus marks the work of an overload.
	surplus bool
	done    bool
}

// generate offers one kind of work as a Poisson process. It has random numbers of
// its own, so that the same work is offered whatever becomes of it.
func (w *world) generate(kind int, load float64, surplus bool, from, until micros) {
	if load <= 0 {
		return
	}
	random := w.stream(streamWork + uint64(2*kind))
	if surplus {
		random = w.stream(streamWork + uint64(2*kind) + 1)
	}
	k := w.deployment.kinds[kind]
	gap := float64(fromMillis(k.mean)) / (load * float64(w.deployment.upstreams*slotsPerUpstream))
	var next func()
	next = func() {
		if w.time >= until {
			return
		}
		w.offer(kind, surplus, random)
		w.after(micros(random.ExpFloat64()*gap), next)
	}
	w.at(from, next)
}

// offer sends one request of a random client. Half of the service time is
// constant and half is exponential.
func (w *world) offer(kind int, surplus bool, random *rand.Rand) {
	k := w.deployment.kinds[kind]
	mean := float64(fromMillis(k.mean))
	r := &request{
		kind: kind, surplus: surplus, sent: w.time,
		service: micros(mean/2 + random.ExpFloat64()*mean/2),
		phone:   w.clients[random.IntN(len(w.clients))],
	}
	r.deadline = r.sent + fromMillis(k.deadline)
	w.requests = append(w.requests, r)
	r.phone.request(r)
}
