package balancer

import (
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/bulk"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

// offerToLink places a new bulk flow if the link has room for it. Otherwise the flow waits
// for the link or is refused.
func (b *Balancer) offerToLink(now clock.Millis, f *flow, p *pendingFlow) {
	decision := b.link.Offer(now, bulk.Request{
		Key: p.key, FirstSent: p.firstSent, LatencyGoal: p.latencyGoal, GiveUp: p.firstSent + p.openTimeout,
	})
	switch decision {
	case bulk.Send:
		b.place(now, f, p, 0)
	case bulk.Wait:
		p.waitingForLink = true
		b.record(Event{Outcome: OutcomeWaitingForLink, Key: p.key, Version: b.table.Version()})
		b.scheduleLook(now + waitPollInterval)
	case bulk.Refuse:
		b.refusePending(p, Event{Outcome: OutcomeLinkFull})
	}
}

// startBulkFlows places the bulk flows for which the link has room now, and drops those
// whose clients have stopped waiting.
func (b *Balancer) startBulkFlows(now clock.Millis) {
	for _, key := range b.link.Expire(now) {
		if f := b.flows[key]; f != nil && f.pending != nil && f.pending.waitingForLink {
			delete(b.flows, key)
			b.record(Event{Outcome: OutcomeExpired, Key: key, Version: b.table.Version()})
		}
	}
	for {
		key, ok := b.link.Next(now)
		if !ok {
			return
		}
		f := b.flows[key]
		if f == nil || f.pending == nil || !f.pending.waitingForLink || f.accepted {
			b.link.End(now, key)
			continue
		}
		f.lastSeen, f.pending.waitingForLink = now, false
		b.place(now, f, f.pending, 0)
	}
}

// trackBulk counts a bulk flow as sending until its client ends or resets it.
func (b *Balancer) trackBulk(now clock.Millis, f *flow, s segment.Segment) {
	switch {
	case !f.bulk:
	case s.Ends || s.Resets:
		if b.link.End(now, s.Key) {
			b.startBulkFlows(now)
		}
	case s.Length > 0:
		b.link.Touch(now, s.Key)
	}
}

// forwardOpen sends a packet of an open flow to the flow's owner. Packets of bulk flows are
// kept back while the link is busy.
func (b *Balancer) forwardOpen(now clock.Millis, f *flow, packet []byte) {
	if !f.bulk {
		b.forward(f.owner, relay.KindForward, f.service, packet)
		return
	}
	m := relay.Message{Kind: relay.KindForward, Service: f.service, Packet: packet}
	data, err := m.Append(b.buffer[:0])
	if err != nil {
		b.record(Event{Outcome: OutcomeInvalid})
		return
	}
	b.buffer = data
	if !b.pacer.Hold(now, bulk.Packet{To: f.owner, Data: data}) {
		b.pacer.Sent(now, len(data))
		b.config.ToSidecar(f.owner, data)
	}
}

// releasePackets sends the packets of bulk flows for which the link has room now.
func (b *Balancer) releasePackets(now clock.Millis) {
	for {
		packet, ok := b.pacer.Release(now)
		if !ok {
			return
		}
		b.pacer.Sent(now, len(packet.Data))
		b.config.ToSidecar(packet.To, packet.Data)
	}
}
