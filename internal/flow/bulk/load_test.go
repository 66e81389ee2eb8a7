package bulk_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/bulk"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
)

const (
	packetBytes     = 1288
	uploadPackets   = 67
	window          = 16
	linkQueue       = 50 // ms of packets that the link queues before it drops
	retransmission  = 200
	maxRetransmit   = 1600
	goal            = 1500
	deadline        = 12_000
	openTimeout     = 1400
	clientAttempts  = 3
	roundTrip       = 4
	bytesPerMbpsSec = 125
)

// upload is one upload of a client: the state of its current flow and its result.
type upload struct {
	id          byte
	port        uint16
	sentAt      clock.Millis
	attempt     int
	openedAt    clock.Millis
	open, ended bool
	// acknowledged and next are packet numbers. received marks what the upstream has.
	acknowledged, next int
	received           [uploadPackets]bool
	lastProgress       clock.Millis
	timeout            clock.Millis
	took               clock.Millis
}

// world plays uploads through one balancer with a slow link. paced selects the policy;
// otherwise the link takes whatever the clients send.
type world struct {
	now     clock.Millis
	rate    float64 // bytes a millisecond
	backlog float64
	link    *bulk.Link
	pacer   *bulk.Pacer
	paced   bool
	uploads []*upload
	byKey   map[segment.Key]*upload
	// arrivals holds the packets on the way to the upstream by time.
	arrivals map[clock.Millis][]arrival
}

type arrival struct {
	u      *upload
	packet int
}

func newWorld(rateMbps float64, paced bool) *world {
	return &world{
		rate: rateMbps * bytesPerMbpsSec, link: bulk.NewLink(rateMbps), pacer: bulk.NewPacer(rateMbps), paced: paced,
		byKey: map[segment.Key]*upload{}, arrivals: map[clock.Millis][]arrival{},
	}
}

func (w *world) request(u *upload) bulk.Request {
	r := request(u.id, w.now)
	r.FirstSent, r.GiveUp = w.now, w.now+openTimeout
	return r
}

// openFlow is a client's request for a flow.
func (w *world) openFlow(u *upload) {
	u.openedAt, u.open = w.now, false
	r := w.request(u)
	w.byKey[r.Key] = u
	if !w.paced {
		w.start(u)
		return
	}
	switch w.link.Offer(w.now, r) {
	case bulk.Send:
		w.start(u)
	case bulk.Wait:
	case bulk.Refuse:
		w.retry(u)
	}
}

func (w *world) retry(u *upload) {
	if u.attempt++; u.attempt >= clientAttempts {
		u.ended = true
		return
	}
	w.openFlow(u)
}

func (w *world) start(u *upload) {
	u.open, u.acknowledged, u.next = true, 0, 0
	u.lastProgress, u.timeout = w.now, retransmission
}

// transmit passes a packet to the link, which drops it if its queue is full.
func (w *world) transmit(u *upload, packet int) {
	if w.paced {
		w.pacer.Sent(w.now, packetBytes-40)
	}
	if w.backlog > w.rate*linkQueue {
		return
	}
	w.backlog += packetBytes
	at := w.now + roundTrip + clock.Millis(w.backlog/w.rate)
	w.arrivals[at] = append(w.arrivals[at], arrival{u, packet})
}

// send is a data packet of a client that reaches the balancer.
func (w *world) send(u *upload, packet int) {
	if !w.paced {
		w.transmit(u, packet)
		return
	}
	w.link.Touch(w.now, request(u.id, 0).Key)
	held := bulk.Packet{Data: []byte{u.id, byte(packet)}}
	if !w.pacer.Hold(w.now, held) {
		w.transmit(u, packet)
	}
}

func (w *world) step() {
	w.now++
	w.backlog = max(w.backlog-w.rate, 0)
	if w.paced {
		w.release()
	}
	for _, a := range w.arrivals[w.now] {
		w.arrive(a.u, a.packet)
	}
	delete(w.arrivals, w.now)
	for _, u := range w.uploads {
		w.act(u)
	}
}

func (w *world) release() {
	w.link.Expire(w.now)
	for key, ok := w.link.Next(w.now); ok; key, ok = w.link.Next(w.now) {
		w.start(w.byKey[key])
	}
	for packet, ok := w.pacer.Release(w.now); ok; packet, ok = w.pacer.Release(w.now) {
		w.transmit(w.byKey[request(packet.Data[0], 0).Key], int(packet.Data[1]))
	}
}

func (w *world) arrive(u *upload, packet int) {
	if u.ended {
		return
	}
	u.received[packet] = true
	before := u.acknowledged
	for u.acknowledged < uploadPackets && u.received[u.acknowledged] {
		u.acknowledged++
	}
	if u.acknowledged > before {
		u.lastProgress, u.timeout = w.now, retransmission
	}
	if u.acknowledged == uploadPackets {
		u.ended, u.took = true, w.now-u.sentAt
		w.link.End(w.now, request(u.id, 0).Key)
	}
}

// act lets a client send new packets, retransmit its first missing one, or give up.
func (w *world) act(u *upload) {
	switch {
	case u.ended:
	case w.now-u.sentAt >= deadline:
		u.ended = true
	case !u.open:
		if w.now-u.openedAt >= openTimeout {
			w.retry(u)
		}
	default:
		for ; u.next < uploadPackets && u.next < u.acknowledged+window; u.next++ {
			w.send(u, u.next)
		}
		if w.now-u.lastProgress >= u.timeout {
			u.lastProgress, u.timeout = w.now, min(2*u.timeout, maxRetransmit)
			w.send(u, u.acknowledged)
		}
	}
}

// play lets uploads arrive at random with the given load of the link, three times as many
// between 3 and 6 s, and returns how many were sent, met the goal, and were served at all.
func play(rateMbps, load float64, paced bool) (sent, inGoal, served int) {
	random := rand.New(rand.NewPCG(7, 7))
	w := newWorld(rateMbps, paced)
	perMilli := load * w.rate / (uploadPackets * packetBytes)
	for w.now < 40*clock.Second {
		rate := perMilli
		if w.now >= 3*clock.Second && w.now < 6*clock.Second {
			rate *= 3
		}
		if w.now < 20*clock.Second && random.Float64() < rate {
			u := &upload{id: byte(len(w.uploads)), sentAt: w.now}
			w.uploads = append(w.uploads, u)
			w.openFlow(u)
		}
		w.step()
	}
	served = len(slices.DeleteFunc(slices.Clone(w.uploads), func(u *upload) bool { return u.took == 0 }))
	inGoal = len(slices.DeleteFunc(slices.Clone(w.uploads), func(u *upload) bool { return u.took == 0 || u.took > goal }))
	return len(w.uploads), inGoal, served
}

// Guards against uploads that stand still on a slow link. Answers the load of a quiet day
// and of a burst of three times as many uploads. Nearly all must meet their goal of 1.5 s,
// and all must be served; without the decisions of this package many do not.
func TestUploadsOnSlowLinkMeetTheirGoal(t *testing.T) {
	c := qt.New(t)
	for _, load := range []float64{0.2, 0.35} {
		sent, inGoal, served := play(2.9, load, true)
		_, unpacedInGoal, _ := play(2.9, load, false)
		t.Logf("load %.2f: %d uploads, %d in goal and %d served; %d in goal without pacing", load, sent, inGoal, served, unpacedInGoal)
		c.Assert(served, qt.Equals, sent)
		c.Assert(float64(inGoal) >= 0.95*float64(sent), qt.IsTrue)
		c.Assert(unpacedInGoal < inGoal, qt.IsTrue)
	}
}
