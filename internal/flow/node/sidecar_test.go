package node

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/absence"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
	"github.com/orioledyke/orioledyke/platform"
	"go.uber.org/zap"
)

// Guards against a reset of open flows by a sidecar that is killed right after its upstream
// has registered: the next incarnation takes the upstream for one that has just started.
func TestSecondHeartbeatLeavesFlowsToLearn(t *testing.T) {
	for sequence, learns := range map[uint64]bool{1: false, 2: true, 9: true} {
		c := qt.New(t)
		var time clock.Manual
		address := netip.MustParseAddrPort("127.4.0.1:7004")
		n := &sidecarNode{
			setWarmup:    func(float64, clock.Millis) {},
			base:         &base{clock: time.Clock(), logger: zap.NewNop(), balancers: peerset.New(address.Addr())},
			machine:      sidecar.New(sidecar.Config{}),
			registration: registration.New(registration.Config{Address: address}), drainRestored: true,
		}
		n.machine.SetLearning(true)
		c.Assert(n.applyHeartbeat(registration.Heartbeat{ID: "u-1", Address: address, StartedAt: 7, Sequence: sequence}), qt.Equals, registration.Applied)
		// While the sidecar learns, its list of addresses is not complete.
		_, all := n.machine.Addresses()
		c.Assert(all, qt.Equals, !learns)
	}
}

// sidecarRecorder is a sidecar without sockets of its own whose messages to any loopback
// address are recorded.
type sidecarRecorder struct {
	*datagramRecorder
	node *sidecarNode
	now  clock.Manual
}

func newSidecarRecorder(t *testing.T) *sidecarRecorder {
	r := &sidecarRecorder{datagramRecorder: newDatagramRecorder(t)}
	self := netip.AddrPortFrom(netip.MustParseAddr("127.2.0.1"), r.port())
	r.node = &sidecarNode{
		base: &base{
			settings: settings.FlowProcess{RelayAddress: self}, relayConn: r.sender, clock: r.now.Clock(), logger: zap.NewNop(),
			balancers: peerset.New(self.Addr()),
		},
		registration: registration.New(registration.Config{}), roster: absence.NewRoster(), setWarmup: func(float64, clock.Millis) {},
		sidecarSettings: settings.FlowSidecar{Service: "portal"},
	}
	r.node.directory = r.node.newDirectory(platform.Sidecars, r.node.addBalancers)
	r.node.machine = sidecar.New(sidecar.Config{
		Self: self, Decode: platform.DecodeSegment, ToUpstream: func([]byte) {},
		ToPeer: func(to netip.AddrPort, data []byte) { r.node.send(r.sender, to, data) },
	})
	return r
}

// Guards against a balancer that is behind by a configuration and resets a flow at a further
// target of the route, because it learns only up to 200 ms later that the target holds flows.
func TestFurtherAddressIsReportedAtOnce(t *testing.T) {
	r := newSidecarRecorder(t)
	balancer := netip.MustParseAddr("127.1.0.1")
	r.node.balancers.MarkSeen(r.node.clock.Now(), balancer, 0)
	r.node.machine.Accept()
	address := netip.MustParseAddrPort("198.18.0.1:443")
	opening := platform.EncodeReset(segment.NewKey(address, netip.MustParseAddrPort("100.64.0.7:40001")), 7)
	const openFlag = 32
	opening[0] = openFlag
	m := relay.Message{Kind: relay.KindForward, Packet: opening}
	data, err := m.Append(nil)
	r.c.Assert(err, qt.IsNil)
	for range 2 {
		r.node.handleRelay(netip.AddrPortFrom(balancer, r.port()), data)
	}
	sent := r.take()
	r.c.Assert(sent, qt.HasLen, 1)
	r.c.Assert(sent[0].Report.Addresses, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), []netip.AddrPort{address})
}

// Guards against new flows for a leaving upstream after a restore that has lost the record of
// its drain: a process that has just started takes a single heartbeat, which may be a late one
// of an earlier incarnation, for the state of the upstream. Later announcements change nothing.
func TestAnnouncedRestoreDoubtsFirstHeartbeat(t *testing.T) {
	for age, doubts := range map[clock.Millis]bool{0: true, 10 * clock.Second: false} {
		r := newSidecarRecorder(t)
		n := r.node
		n.drainRestored = true
		n.startedAt = n.clock.Now() - age
		heartbeat := registration.Heartbeat{ID: "u-1", Service: "portal", StartedAt: 7, Sequence: 8}
		r.handle(netip.MustParseAddr("127.1.0.1"), relay.Message{Kind: relay.KindEpoch, Epoch: 2})
		r.c.Assert(n.applyHeartbeat(heartbeat), qt.Equals, registration.Applied)
		r.c.Assert(n.machine.Accepting(), qt.Equals, !doubts)
		heartbeat.Sequence++
		r.c.Assert(n.applyHeartbeat(heartbeat), qt.Equals, registration.Applied)
		r.c.Assert(n.machine.Accepting(), qt.IsTrue)
	}
}
