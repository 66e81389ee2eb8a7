package fleet

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// openTimeout is how long a client waits for a flow to open, and copyTimes when
	// it repeats its request for one.
	openTimeout clock.Millis = 1400
	// firstRetransmission is the time to the first retransmission; it doubles up to
	// maxRetransmission.
	firstRetransmission clock.Millis = 200
	maxRetransmission   clock.Millis = 1600
	// deadline is how long a client waits for an answer.
	deadline clock.Millis = 2500
	// latencyGoal is the time in which a client wants its answer.
	latencyGoal clock.Millis = 150
	// tries is how many flows a client opens for one request.
	tries = 3
	// pause is the longest time between two requests of a long flow.
	pause = 800
)

var copyTimes = []clock.Millis{200, 600}

// exchange is one flow of a client.
type exchange struct {
	cluster   *Cluster
	client    netip.AddrPort
	service   netip.AddrPort
	remaining int
	request   uint64
	began     clock.Millis
	try       int
	// repeatable tells that the request may be sent again after any failure.
	repeatable bool
	open       bool
	ended      bool
	sequence   uint32
	server     uint32
	// asked are the requests that were sent on this flow.
	asked map[uint64]bool
}

// OpenFlow makes a client open a flow and send a number of requests on it, one after the
// other.
func (w *Cluster) OpenFlow(service, requests int, repeatable bool) {
	w.openFlow(&exchange{service: serviceAddress(service), remaining: requests, repeatable: repeatable})
}

// OpenRandomFlow makes a client open a flow of any of some services, for one request that may
// not be repeated or for several that may.
func (w *Cluster) OpenRandomFlow(services int) {
	service := w.RandomInt(services)
	if w.RandomInt(3) == 0 {
		w.OpenFlow(service, 1, false)
		return
	}
	w.OpenFlow(service, 3+w.RandomInt(8), true)
}

func (w *Cluster) openFlow(x *exchange) {
	w.clients++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(w.clients >> 15), byte(w.clients >> 7)})
	x.client = netip.AddrPortFrom(ip, uint16(1024+w.clients%128))
	if w.config.Remote != nil {
		x.client = w.remoteClient()
	}
	x.cluster, x.sequence, x.asked = w, w.random.Uint32(), map[uint64]bool{}
	w.exchanges[x.client] = x
	if x.request == 0 {
		x.newRequest()
	}
	x.sendOpening(0)
	for i, at := range copyTimes {
		w.after(at, func() { x.sendOpening(uint32(i + 1)) })
	}
	w.after(openTimeout, func() {
		if !x.open {
			x.fail(true)
		}
	})
}

func (x *exchange) newRequest() {
	x.cluster.requests++
	x.request, x.began, x.try = x.cluster.requests, x.cluster.now, 1
	if !x.repeatable {
		x.cluster.once[x.request] = true
	}
	x.watchDeadline(x.request)
}

// watchDeadline gives the request up at its deadline.
func (x *exchange) watchDeadline(request uint64) {
	x.cluster.after(deadline-(x.cluster.now-x.began), func() {
		if x.request == request && !x.ended {
			x.ended = true
			x.cluster.unserved++
		}
	})
}

func (x *exchange) sendOpening(copies uint32) {
	if x.open || x.ended {
		return
	}
	x.send(header{from: x.client, to: x.service, flags: flagOpen, sequence: x.sequence, ack: copies, sum: senderSum})
}

func (x *exchange) send(h header) {
	b := x.cluster.route(x.client, x.service)
	raw := h.encode()
	if remote := x.cluster.config.Remote; remote != nil {
		remote.ToBalancer(b.index, raw)
		return
	}
	b.receive(func() { b.machine.HandleClient(x.cluster.now, raw) })
}

// sendRequest sends the current request until it is answered.
func (x *exchange) sendRequest(request uint64, wait clock.Millis) {
	if x.ended || x.request != request {
		return
	}
	x.asked[request] = true
	x.send(header{
		from: x.client, to: x.service, flags: flagAck, sequence: x.sequence + 1, ack: x.server, sum: senderSum, request: request,
	})
	x.cluster.after(wait, func() { x.sendRequest(request, min(2*wait, maxRetransmission)) })
}

// toClient carries a packet of the system or of an upstream to its client.
func (w *Cluster) toClient(raw []byte) {
	w.deliver(func() { w.receiveClient(decode(raw)) })
}

func (w *Cluster) receiveClient(h header) {
	if x := w.exchanges[h.to]; x != nil && !x.ended {
		x.handle(h)
	}
}

func (x *exchange) handle(h header) {
	switch {
	case h.has(flagReset):
		x.handleReset(h)
	case h.has(flagOpen):
		if !x.open {
			x.open, x.server = true, h.sequence+1
			x.sendRequest(x.request, firstRetransmission)
		}
	case h.request != 0:
		x.handleAnswer(h)
	case h.has(flagFinal):
		// An upstream that leaves closes its flows between two requests.
		x.fail(x.request == 0)
	}
}

func (x *exchange) handleAnswer(h header) {
	if !x.asked[h.request] || x.cluster.runs[h.request] == 0 {
		x.cluster.fault("client %s got the answer of request %d", x.client, h.request)
		return
	}
	if h.request != x.request {
		return
	}
	x.cluster.served++
	x.server = h.sequence + 8
	x.sequence += 8
	x.request = 0
	x.remaining--
	if x.remaining <= 0 {
		x.ended = true
		x.send(header{from: x.client, to: x.service, flags: flagFinal | flagAck, sequence: x.sequence + 1, ack: x.server, sum: senderSum})
		return
	}
	x.cluster.after(clock.Millis(x.cluster.random.IntN(pause)), func() {
		if !x.ended {
			x.newRequest()
			x.sendRequest(x.request, firstRetransmission)
		}
	})
}

// handleReset judges a reset and tries again.
func (x *exchange) handleReset(h header) {
	if h.sum == 0 {
		for _, u := range x.cluster.upstreams {
			if u.holds(keyOf(x.client, x.service)) {
				x.cluster.fault("the open flow of %s was reset", x.client)
			}
		}
	}
	x.fail(!x.open)
}

// fail ends the flow. The request is tried again on another flow if it has certainly
// not run or may be repeated.
func (x *exchange) fail(notRun bool) {
	if x.ended {
		return
	}
	x.ended = true
	if x.request == 0 && x.remaining <= 0 {
		return
	}
	if x.request != 0 && (x.try >= tries || (!notRun && !x.repeatable)) {
		x.cluster.unserved++
		return
	}
	next := &exchange{
		service: x.service, remaining: x.remaining, request: x.request, began: x.began, try: x.try + 1, repeatable: x.repeatable,
	}
	if notRun && x.request != 0 && x.cluster.runs[x.request] > 0 && !x.repeatable {
		x.cluster.fault("request %d had run and was reported as not run", x.request)
	}
	x.cluster.openFlow(next)
	if next.request == x.request && x.request != 0 {
		next.watchDeadline(next.request)
	}
}
