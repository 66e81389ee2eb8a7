package fleet

import (
	"net/netip"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

const (
	// openTimeout is how long a client waits for a flow to open.
	openTimeout clock.Millis = 1400
	// firstRequestRetransmission is the time to the first retransmission of a request on an
	// open flow. Each further interval is twice the one before, up to maxRetransmission.
	firstRequestRetransmission clock.Millis = 200
	maxRetransmission          clock.Millis = 1600
	// responseTimeout is how long a client waits for a response.
	responseTimeout clock.Millis = 2500
	// latencyGoal is the time within which a client wants its response.
	latencyGoal clock.Millis = 150
	// maxAttempts is the largest number of flows that a client opens for one request.
	maxAttempts = 3
	// restartTime is how long after its restart a sidecar may not be known to all balancers.
	restartTime = 2 * clock.Second
	// maxThinkTime is the longest time in ms between two requests of a long flow.
	maxThinkTime = 800
)

// openRetransmissionTimes are the times after the first packet of a flow at which the client
// retransmits it.
var openRetransmissionTimes = []clock.Millis{200, 600}

// clientFlow is one flow of a client.
type clientFlow struct {
	cluster *Cluster
	client  netip.AddrPort
	service netip.AddrPort
	// remaining is the number of requests without a response, including the current one.
	remaining int
	// requestID identifies the current request. It is 0 between two requests.
	requestID   uint64
	requestedAt clock.Millis
	// attempt is the number of flows that were used for the current request, including this
	// one.
	attempt int
	// repeatable is set if a request may be sent again after any failure, even if it may
	// have been executed.
	repeatable bool
	open       bool
	ended      bool
	// sequence is one less than the sequence number of the next request.
	sequence uint32
	// serverSequence is the next sequence number that the client expects from the upstream.
	serverSequence uint32
	// sent holds the requests that were sent on this flow.
	sent map[uint64]bool
}

// OpenFlow lets a client open a flow and send a number of requests on it, each after the
// response to the one before. repeatable is set if a request may be executed several times.
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
	c.flowCount++
	ip := netip.AddrFrom4([4]byte{100, 64, byte(c.flowCount >> 15), byte(c.flowCount >> 7)})
	cf.client = netip.AddrPortFrom(ip, uint16(1024+c.flowCount%128))
	if c.config.Remote != nil {
		cf.client = c.remoteClient()
	}
	cf.cluster, cf.sequence, cf.sent = c, c.random.Uint32(), map[uint64]bool{}
	c.clientFlows[cf.client] = cf
	if cf.requestID == 0 {
		cf.newRequest()
	}
	cf.sendOpen(0)
	for i, at := range openRetransmissionTimes {
		c.after(at, func() { cf.sendOpen(uint32(i + 1)) })
	}
	c.after(openTimeout, func() {
		if !cf.open {
			cf.fail(true)
		}
	})
}

func (cf *clientFlow) newRequest() {
	cf.cluster.lastRequestID++
	cf.requestID, cf.requestedAt, cf.attempt = cf.cluster.lastRequestID, cf.cluster.now, 1
	if !cf.repeatable {
		cf.cluster.notRepeatable[cf.requestID] = true
	}
	cf.scheduleTimeout(cf.requestID)
}

// scheduleTimeout ends the flow and counts the request as unserved when responseTimeout has
// passed since the client first made the request.
func (cf *clientFlow) scheduleTimeout(requestID uint64) {
	cf.cluster.after(responseTimeout-(cf.cluster.now-cf.requestedAt), func() {
		if cf.requestID == requestID && !cf.ended {
			cf.ended = true
			cf.cluster.unserved++
		}
	})
}

// sendOpen sends the packet that opens the flow, unless the flow is open or has ended. The
// ack number of an opening packet is its number of retransmissions.
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

// sendRequest sends the current request, and retransmits it until the response arrives or
// the flow ends. interval is the time to the next retransmission.
func (cf *clientFlow) sendRequest(requestID uint64, interval clock.Millis) {
	if cf.ended || cf.requestID != requestID {
		return
	}
	cf.sent[requestID] = true
	cf.send(header{
		from: cf.client, to: cf.service, flags: flagAck, sequence: cf.sequence + 1, ack: cf.serverSequence, checksum: senderChecksum, requestID: requestID,
	})
	cf.cluster.after(interval, func() { cf.sendRequest(requestID, min(2*interval, maxRetransmission)) })
}

// toClient carries a packet from a balancer or a sidecar to its client.
func (c *Cluster) toClient(raw []byte) {
	c.deliver(func() { c.receiveClient(decode(raw)) })
}

// resetByPaused delivers a reset by a balancer that was paused a short time before. It may
// answer the first packet of a flow that has opened through another balancer meanwhile. The
// users' rules do not count resets by a host that was disturbed.
func (c *Cluster) resetByPaused(raw []byte) {
	c.deliver(func() {
		if cf := c.clientFlows[decode(raw).to]; cf != nil && !cf.ended {
			cf.fail(!cf.open)
		}
	})
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
			cf.sendRequest(cf.requestID, firstRequestRetransmission)
		}
	case h.requestID != 0:
		cf.handleResponse(h)
	case h.has(flagFinal):
		// An upstream that drains closes its flows between two requests.
		cf.fail(cf.requestID == 0)
	}
}

func (cf *clientFlow) handleResponse(h header) {
	if !cf.sent[h.requestID] || cf.cluster.executions[h.requestID] == 0 {
		cf.cluster.recordViolation("client %s received the response to request %d, which was not sent on this flow or not executed", cf.client, h.requestID)
		return
	}
	if h.requestID != cf.requestID {
		return
	}
	cf.cluster.served++
	// The request and the response have 8 bytes of data each.
	cf.serverSequence = h.sequence + 8
	cf.sequence += 8
	cf.requestID = 0
	cf.remaining--
	if cf.remaining <= 0 {
		cf.ended = true
		cf.send(header{from: cf.client, to: cf.service, flags: flagFinal | flagAck, sequence: cf.sequence + 1, ack: cf.serverSequence, checksum: senderChecksum})
		return
	}
	cf.cluster.after(clock.Millis(cf.cluster.random.IntN(maxThinkTime)), func() {
		if !cf.ended {
			cf.newRequest()
			cf.sendRequest(cf.requestID, firstRequestRetransmission)
		}
	})
}

// handleReset records a violation if the load balancer reset a flow that is open at an
// upstream, unless it is better for the client to try again. It ends the client's flow in
// any case.
func (cf *clientFlow) handleReset(h header) {
	if h.checksum == 0 {
		for _, u := range cf.cluster.upstreams {
			if u.hasOpenFlow(flowKey(cf.client, cf.service)) && !u.unreachableFor(cf) {
				cf.cluster.recordViolation("the open flow of %s at upstream %d was reset (sidecar up: %t, stopping: %t, ended at %d ms, killed: %t)",
					cf.client, u.index, u.sidecarUp, u.sidecarStopping, u.sidecarEndedAt, u.sidecarKilled)
			}
		}
	}
	cf.fail(!cf.open)
}

// unreachableFor reports whether a flow's upstream cannot be reached, because its sidecar
// was killed without notice and was down for a second or more, and the flow's requests may
// be repeated at another upstream. The users' rules allow a reset then, and for some
// seconds after the restart of the sidecar.
func (u *upstreamHost) unreachableFor(cf *clientFlow) bool {
	end := u.cluster.now
	if u.sidecarUp && !u.sidecarInterrupted {
		end = u.sidecarStartedAt
	}
	recent := u.cluster.now-end < restartTime
	return u.sidecarKilled && recent && end-u.sidecarEndedAt >= clock.Second && repeatableRoute(u.cluster.targets.indexOf(cf.service))
}

// fail ends the flow. notExecuted is set if the current request was certainly not executed.
// The client continues with this request on another flow if it was not executed or may be
// repeated, but not after maxAttempts. Between two requests, the client continues with the
// next request on another flow.
//
// fail records a violation if a request that must not be repeated was executed in spite of
// notExecuted, unless this was the last attempt.
func (cf *clientFlow) fail(notExecuted bool) {
	if cf.ended {
		return
	}
	cf.ended = true
	if cf.requestID == 0 && cf.remaining <= 0 {
		return
	}
	if cf.requestID != 0 && (cf.attempt >= maxAttempts || (!notExecuted && !cf.repeatable)) {
		cf.cluster.unserved++
		return
	}
	next := &clientFlow{
		service: cf.service, remaining: cf.remaining, requestID: cf.requestID, requestedAt: cf.requestedAt, attempt: cf.attempt + 1, repeatable: cf.repeatable,
	}
	if notExecuted && cf.requestID != 0 && cf.cluster.executions[cf.requestID] > 0 && !cf.repeatable {
		cf.cluster.recordViolation("request %d was executed but reported as not executed", cf.requestID)
	}
	cf.cluster.startFlow(next)
	if next.requestID == cf.requestID && cf.requestID != 0 {
		next.scheduleTimeout(next.requestID)
	}
}
