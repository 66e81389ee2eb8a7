package fleet

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// openTimeout is how long a client waits for a flow to open.
	openTimeout clock.Millis = 1400
	// firstRetransmission is the time to the first retransmission of a request on an open
	// flow. It doubles up to maxRetransmission.
	firstRetransmission clock.Millis = 200
	maxRetransmission   clock.Millis = 1600
	// responseTimeout is how long a client waits for a response.
	responseTimeout clock.Millis = 2500
	// latencyGoal is the time within which a client wants its response.
	latencyGoal clock.Millis = 150
	// maxAttempts is the number of flows that a client opens for one request.
	maxAttempts = 3
	// maxThinkTime is the longest time in ms between two requests of a long flow.
	maxThinkTime = 800
)

// retransmissionTimes are the times after the first packet of a flow at which the client
// retransmits it.
var retransmissionTimes = []clock.Millis{200, 600}

// clientFlow is one flow of a client.
type clientFlow struct {
	cluster *Cluster
	client  netip.AddrPort
	service netip.AddrPort
	// remaining is the number of requests without a response, including the current one.
	remaining int
	// request identifies the current request, 0 between two requests.
	request     uint64
	requestedAt clock.Millis
	attempt     int
	// repeatable is set if a request may be sent again after any failure, also if it may
	// have been executed.
	repeatable     bool
	open           bool
	ended          bool
	sequence       uint32
	serverSequence uint32
	// sent holds the requests that were sent on this flow.
	sent map[uint64]bool
}

// OpenFlow lets a client open a flow and send a number of requests on it, one after the
// other.
func (c *Cluster) OpenFlow(service, requests int, repeatable bool) {
	c.startFlow(&clientFlow{service: serviceAddress(service), remaining: requests, repeatable: repeatable})
}

// OpenRandomFlow opens a flow to a random service out of the given number. It carries
// either one request that must not be repeated or several that may be.
func (c *Cluster) OpenRandomFlow(services int) {
	service := c.RandomInt(services)
	if c.RandomInt(3) == 0 {
		c.OpenFlow(service, 1, false)
		return
	}
	c.OpenFlow(service, 3+c.RandomInt(8), true)
}

func (c *Cluster) startFlow(cf *clientFlow) {
	c.clients++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(c.clients >> 15), byte(c.clients >> 7)})
	cf.client = netip.AddrPortFrom(ip, uint16(1024+c.clients%128))
	if c.config.Remote != nil {
		cf.client = c.remoteClient()
	}
	cf.cluster, cf.sequence, cf.sent = c, c.random.Uint32(), map[uint64]bool{}
	c.clientFlows[cf.client] = cf
	if cf.request == 0 {
		cf.newRequest()
	}
	cf.sendOpen(0)
	for i, at := range retransmissionTimes {
		c.after(at, func() { cf.sendOpen(uint32(i + 1)) })
	}
	c.after(openTimeout, func() {
		if !cf.open {
			cf.fail(true)
		}
	})
}

func (cf *clientFlow) newRequest() {
	cf.cluster.requests++
	cf.request, cf.requestedAt, cf.attempt = cf.cluster.requests, cf.cluster.now, 1
	if !cf.repeatable {
		cf.cluster.notRepeatable[cf.request] = true
	}
	cf.scheduleTimeout(cf.request)
}

// scheduleTimeout fails the request when its response timeout has passed.
func (cf *clientFlow) scheduleTimeout(request uint64) {
	cf.cluster.after(responseTimeout-(cf.cluster.now-cf.requestedAt), func() {
		if cf.request == request && !cf.ended {
			cf.ended = true
			cf.cluster.unserved++
		}
	})
}

func (cf *clientFlow) sendOpen(retransmissions uint32) {
	if cf.open || cf.ended {
		return
	}
	cf.send(header{from: cf.client, to: cf.service, flags: flagOpen, sequence: cf.sequence, ack: retransmissions, checksum: senderChecksum})
}

func (cf *clientFlow) send(h header) {
	b := cf.cluster.selectBalancer(cf.client, cf.service)
	raw := h.encode()
	if remote := cf.cluster.config.Remote; remote != nil {
		remote.ToBalancer(b.index, raw)
		return
	}
	b.receive(func() { b.logic.HandleClient(cf.cluster.now, raw) })
}

// sendRequest sends the current request and retransmits it until the response arrives.
func (cf *clientFlow) sendRequest(request uint64, wait clock.Millis) {
	if cf.ended || cf.request != request {
		return
	}
	cf.sent[request] = true
	cf.send(header{
		from: cf.client, to: cf.service, flags: flagAck, sequence: cf.sequence + 1, ack: cf.serverSequence, checksum: senderChecksum, request: request,
	})
	cf.cluster.after(wait, func() { cf.sendRequest(request, min(2*wait, maxRetransmission)) })
}

// toClient carries a packet from a balancer, a sidecar or an upstream to its client.
func (c *Cluster) toClient(raw []byte) {
	c.deliver(func() { c.receiveClient(decode(raw)) })
}

func (c *Cluster) receiveClient(h header) {
	if cf := c.clientFlows[h.to]; cf != nil && !cf.ended {
		cf.handle(h)
	}
}

func (cf *clientFlow) handle(h header) {
	switch {
	case h.has(flagReset):
		cf.handleReset(h)
	case h.has(flagOpen):
		if !cf.open {
			cf.open, cf.serverSequence = true, h.sequence+1
			cf.sendRequest(cf.request, firstRetransmission)
		}
	case h.request != 0:
		cf.handleResponse(h)
	case h.has(flagFinal):
		// An upstream that drains closes its flows between two requests.
		cf.fail(cf.request == 0)
	}
}

func (cf *clientFlow) handleResponse(h header) {
	if !cf.sent[h.request] || cf.cluster.executions[h.request] == 0 {
		cf.cluster.recordViolation("client %s received the response to request %d, which it did not send or which was not executed", cf.client, h.request)
		return
	}
	if h.request != cf.request {
		return
	}
	cf.cluster.served++
	cf.serverSequence = h.sequence + 8
	cf.sequence += 8
	cf.request = 0
	cf.remaining--
	if cf.remaining <= 0 {
		cf.ended = true
		cf.send(header{from: cf.client, to: cf.service, flags: flagFinal | flagAck, sequence: cf.sequence + 1, ack: cf.serverSequence, checksum: senderChecksum})
		return
	}
	cf.cluster.after(clock.Millis(cf.cluster.random.IntN(maxThinkTime)), func() {
		if !cf.ended {
			cf.newRequest()
			cf.sendRequest(cf.request, firstRetransmission)
		}
	})
}

// handleReset checks that the load balancer has not reset an open flow, and fails this
// flow.
func (cf *clientFlow) handleReset(h header) {
	if h.checksum == 0 {
		for _, u := range cf.cluster.upstreams {
			if u.hasOpenFlow(flowKey(cf.client, cf.service)) {
				cf.cluster.recordViolation("the open flow of %s was reset", cf.client)
			}
		}
	}
	cf.fail(!cf.open)
}

// fail ends the flow. The request is sent again on another flow if it was certainly not
// executed or may be repeated.
func (cf *clientFlow) fail(notExecuted bool) {
	if cf.ended {
		return
	}
	cf.ended = true
	if cf.request == 0 && cf.remaining <= 0 {
		return
	}
	if cf.request != 0 && (cf.attempt >= maxAttempts || (!notExecuted && !cf.repeatable)) {
		cf.cluster.unserved++
		return
	}
	next := &clientFlow{
		service: cf.service, remaining: cf.remaining, request: cf.request, requestedAt: cf.requestedAt, attempt: cf.attempt + 1, repeatable: cf.repeatable,
	}
	if notExecuted && cf.request != 0 && cf.cluster.executions[cf.request] > 0 && !cf.repeatable {
		cf.cluster.recordViolation("request %d was executed but reported as not executed", cf.request)
	}
	cf.cluster.startFlow(next)
	if next.request == cf.request && cf.request != 0 {
		next.scheduleTimeout(next.request)
	}
}
