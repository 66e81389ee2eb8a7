package soak

import (
	"fmt"
	"os"
	"syscall"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

// minServing is the smallest number of upstreams of a service that a drain or the reuse of an
// address leaves in service.
const minServing = 2

// InjectFault injects one random fault and returns its name. It returns "nothing" if it drew
// a drain but the upstream may not drain now. Other faults return their name even if they
// have no effect now.
func (s *System) InjectFault() string {
	cluster := s.cluster
	b, u := s.balancers[cluster.RandomInt(len(s.balancers))], cluster.RandomInt(len(s.sidecars))
	sc := s.sidecars[u]
	pauseEnd := s.now() + clock.Millis(300+cluster.RandomInt(3000))
	mayDrain := cluster.ServingUpstreams(cluster.Service(u)) > minServing && !sc.retired
	switch cluster.RandomInt(18) {
	case 0:
		b.kill()
		return "kill " + b.name
	case 1:
		b.stop()
		return "stop " + b.name
	case 2:
		b.signal(syscall.SIGSTOP)
		b.pausedUntil = pauseEnd
		return "pause " + b.name
	case 3:
		sc.kill()
		cluster.SetSidecarInterrupted(u, true)
		return "kill " + sc.name
	case 4:
		sc.stop()
		return "restart " + sc.name
	case 5:
		sc.signal(syscall.SIGSTOP)
		sc.pausedUntil = pauseEnd
		cluster.SetSidecarInterrupted(u, true)
		return "pause " + sc.name
	case 6:
		cluster.RestartUpstream(u, clock.Millis(200+cluster.RandomInt(2000)))
		return "restart the upstream of " + sc.name
	case 7:
		if mayDrain {
			cluster.DrainUpstream(u)
			return "drain the upstream of " + sc.name
		}
	case 8:
		cluster.SendStaleHeartbeat(u)
		return "late heartbeat at " + sc.name
	case 9:
		if err := s.addUpstream(cluster.RandomInt(s.config.Services)); err != nil {
			s.recordFailure("adding an upstream: %v", err)
		}
		return "add an upstream"
	case 10:
		route := cluster.RandomInt(s.config.Services)
		targets := [][]int{{route}, {cluster.RandomInt(s.config.Services)}, {0, 1}}[cluster.RandomInt(3)]
		cluster.Retarget(route, targets...)
		s.configure()
		return fmt.Sprintf("configure route %d with the services %v", route, targets)
	case 11:
		f := metadata.Fault(cluster.RandomInt(int(metadata.FaultCount)))
		s.store.SetFault(f)
		if cluster.RandomInt(2) == 0 {
			s.store.Update((*metadata.Store).EndLeases)
		}
		return "fault of the store"
	case 12:
		s.store.Update((*metadata.Store).Compact)
		return "store without history"
	case 13:
		h := []*host{b, sc}[cluster.RandomInt(2)]
		h.storeProxy.setFault(linkFault(cluster.RandomInt(int(linkFaultCount))))
		return "fault of the connections of " + h.name
	case 14:
		h := []*host{b, sc}[cluster.RandomInt(2)]
		h.storeProxy.reset()
		return "reset of the connections of " + h.name
	case 15:
		s.startStorm()
		return "storm of configurations"
	case 16:
		return s.restoreStore()
	default:
		if mayDrain && cluster.RandomInt(2) == 0 {
			return s.reuseAddress(u)
		}
		b.signal(syscall.SIGHUP)
		return "reload " + b.name
	}
	return "nothing"
}

// reuseAddress ends an upstream and its sidecar for good and gives their address to another
// service.
func (s *System) reuseAddress(index int) string {
	h := s.sidecars[index]
	service := (s.cluster.Service(index) + 1) % s.config.Services
	h.kill()
	h.retired = true
	s.cluster.ReuseAddress(index, service)
	// The cluster starts the new upstream within a second.
	startTime := s.now() + clock.Second
	var start func()
	start = func() {
		if s.now() < startTime {
			s.postLater(start)
			return
		}
		if err := os.WriteFile(h.settingsPath, []byte(s.settingsText(h, 2, index, s.sidecarSettings(index))), 0o600); err != nil {
			s.recordFailure("writing the settings of %s: %v", h.name, err)
		}
		// supervise now starts the sidecar with the new settings.
		h.retired = false
	}
	s.postLater(start)
	return "reuse the address of " + h.name
}

// ClearFaults ends the faults of the store and of the connections, resets the connections,
// resumes paused processes, and sends each route to its own service again.
func (s *System) ClearFaults() {
	for route := range s.config.Services {
		s.cluster.Retarget(route, route)
	}
	s.configure()
	s.store.SetFault(metadata.Works)
	for _, h := range append(append([]*host(nil), s.balancers...), s.sidecars...) {
		h.storeProxy.setFault(linkWorks)
		h.storeProxy.reset()
		h.pausedUntil = 0
		h.signal(syscall.SIGCONT)
	}
}
