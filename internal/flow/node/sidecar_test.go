package node

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/flow/sidecar"
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
