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
	// overloadFactor is the additional work offered in an overload, relative to the
	// capacity of all slots.
	overloadFactor = 10
)

// deployment is one service of a customer.
type deployment struct {
	name      string
	upstreams int
	// betweenCentres is the one-way latency between two data centres.
	betweenCentres micros
	// toClient is the one-way latency between a client and the balancers.
	toClient  micros
	workloads []workload
}

// workload is the offered work of one kind.
type workload struct {
	kind admission.Kind
	// meanServiceTime is the mean service time of a request on a warm upstream.
	meanServiceTime clock.Millis
	// load is the offered work as a fraction of the capacity of all slots.
	load     float64
	deadline clock.Millis
}

// workloads returns three kinds of work, the most urgent first. Together they offer 80%
// of the capacity. The least urgent kind offers more than its guaranteed share, and the
// others offer less.
func workloads(urgent, middle, bulk string) []workload {
	return []workload{
		{
			kind:            admission.Kind{Name: urgent, Urgency: 3, GuaranteedShare: 0.4, Ceiling: 1},
			meanServiceTime: 80, load: 0.30, deadline: 2 * clock.Second,
		},
		{
			kind:            admission.Kind{Name: middle, Urgency: 2, GuaranteedShare: 0.3, Ceiling: 1},
			meanServiceTime: 40, load: 0.25, deadline: 2 * clock.Second,
		},
		{
			kind:            admission.Kind{Name: bulk, Urgency: 1, GuaranteedShare: 0.2, Ceiling: 0.67},
			meanServiceTime: 300, load: 0.25, deadline: 5 * clock.Second,
		},
	}
}

func deployments() []deployment {
	const between, toPresa, toFerncliff = 1500, 3 * millisecond, 1 * millisecond
	return []deployment{
		{"presa-digital/grower-portal", 7, between, toPresa, workloads("booking", "listing", "upload")},
		{"presa-digital/weighbridge", 3, between, toPresa, workloads("settlement", "receipt", "weigh-in")},
		{"ferncliff-willow/bundle-desk", 7, between, toFerncliff, workloads("hold", "listing", "label")},
		{"ferncliff-willow/rod-yard", 3, between, toFerncliff, workloads("order", "listing", "photo")},
	}
}

// request is one request of a client.
type request struct {
	// kindIndex is the index of the workload in the deployment.
	kindIndex int
	// warmServiceTime is how long a warm upstream takes for the request.
	warmServiceTime micros
	deadline        micros
	// sent is when the client sends the request, and received is when the first sidecar
	// receives it.
	sent, received micros
	client         *flowClient
	// surplus marks the additional work of an overload.
	surplus bool
	done    bool
}

// generate offers one kind of work as a Poisson process. It uses its own random
// numbers, so that the offered work does not depend on how the requests are handled.
func (sim *simulation) generate(kindIndex int, load float64, surplus bool, from, until micros) {
	if load <= 0 {
		return
	}
	random := sim.randomSequence(sequenceWork + uint64(2*kindIndex))
	if surplus {
		random = sim.randomSequence(sequenceWork + uint64(2*kindIndex) + 1)
	}
	w := sim.deployment.workloads[kindIndex]
	meanInterval := float64(fromMillis(w.meanServiceTime)) / (load * float64(sim.deployment.upstreams*slotsPerUpstream))
	var next func()
	next = func() {
		if sim.time >= until {
			return
		}
		sim.sendRequest(kindIndex, surplus, random)
		sim.after(micros(random.ExpFloat64()*meanInterval), next)
	}
	sim.at(from, next)
}

// sendRequest sends a request from a random client. Half of its mean service time is
// constant, and the other half is exponentially distributed.
func (sim *simulation) sendRequest(kindIndex int, surplus bool, random *rand.Rand) {
	w := sim.deployment.workloads[kindIndex]
	mean := float64(fromMillis(w.meanServiceTime))
	r := &request{
		kindIndex: kindIndex, surplus: surplus, sent: sim.time,
		warmServiceTime: micros(mean/2 + random.ExpFloat64()*mean/2),
		client:          sim.clients[random.IntN(len(sim.clients))],
	}
	r.deadline = r.sent + fromMillis(w.deadline)
	sim.requests = append(sim.requests, r)
	r.client.request(r)
}
