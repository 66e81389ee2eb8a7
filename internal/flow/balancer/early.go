package balancer

import (
	"bytes"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// maxEarlyRequests bounds the memory for requests that arrive before the configuration.
const maxEarlyRequests = 2000

// earlyRequests holds the requests for new flows that arrive before the first
// configuration. If none of the routers' balancers is ready, such as when all hosts have
// started at the same time, the routers send to all of them.
type earlyRequests struct {
	requests []earlyRequest
	// positions holds the index in requests by flow.
	positions map[segment.Key]int
}

// earlyRequest is the last request of a client for a flow.
type earlyRequest struct {
	packet     []byte
	receivedAt clock.Millis
}

// add keeps a request. It returns false if there are too many.
func (e *earlyRequests) add(now clock.Millis, key segment.Key, packet []byte) bool {
	i, known := e.positions[key]
	switch {
	case known:
	case len(e.requests) >= maxEarlyRequests:
		return false
	case e.positions == nil:
		e.positions = map[segment.Key]int{}
	}
	if !known {
		i = len(e.requests)
		e.positions[key] = i
		e.requests = append(e.requests, earlyRequest{})
	}
	e.requests[i] = earlyRequest{packet: bytes.Clone(packet), receivedAt: now}
	return true
}

// placeEarly places the flows whose requests arrived before the configuration, without
// those whose clients have stopped waiting.
func (b *Balancer) placeEarly(now clock.Millis) {
	requests := b.early.requests
	b.early = earlyRequests{}
	for _, r := range requests {
		s, err := b.config.Decode(r.packet)
		if err != nil {
			continue
		}
		if now-r.receivedAt+requestAge(s.Acknowledged) > maxOpenTimeout {
			b.record(Event{Outcome: OutcomeExpired, Key: s.Key, Version: b.table.Version()})
			continue
		}
		b.handleRequest(now, r.receivedAt, b.flows[s.Key], s, r.packet)
	}
}
