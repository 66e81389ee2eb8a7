package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/relay"
	"github.com/orioledyke/orioledyke/internal/flow/route"
	"github.com/orioledyke/orioledyke/platform"
)

var board = platform.ServiceID("board")

// Guards against a new flow from a reused port that goes to the service of the earlier flow
// because the first transmission of its request was lost.
func TestRetransmissionFromReusedPortFollowsTable(t *testing.T) {
	h := newHarness(t)
	h.reportAll()
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.respond(relay.KindAccepted, sidecars[0])
	h.advance(500)
	h.takeForwards()
	h.balancer.HandleClient(h.now, packet(openFlags, 1, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[0].String()})
	h.advance(10 * clock.Second)
	h.setTargets(2, board)
	h.reportHolder(sidecars[1], board, true)
	h.takeForwards()
	h.balancer.HandleClient(h.now, packet(openFlags, 1, 0))
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})
	h.balancer.SetTable(h.now, route.NewTable(route.Config{Version: 3}))
	h.advance(10 * clock.Second)
	h.takeForwards()
	h.balancer.HandleClient(h.now, packet(openFlags, 1, 0))
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
}

// Guards against a request that waits for a sidecar while its route moves or is dropped,
// and then goes to the former service.
func TestWaitingRequestFollowsTable(t *testing.T) {
	h := newHarness(t)
	h.allReported = false
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.setTargets(2, board)
	h.reportAll()
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.reportHolder(sidecars[1], board, true)
	h.advance(100)
	h.c.Assert(h.takeForwards(), qt.DeepEquals, []string{sidecars[1].String()})

	h = newHarness(t)
	h.allReported = false
	h.balancer.HandleClient(h.now, packet(openFlags, 0, 0))
	h.balancer.SetTable(h.now, route.NewTable(route.Config{Version: 2}))
	h.reportAll()
	h.advance(100)
	h.c.Assert(h.takeForwards(), qt.HasLen, 0)
	h.c.Assert(h.resets, qt.Equals, 1)
}
