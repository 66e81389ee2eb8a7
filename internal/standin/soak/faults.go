package soak

import (
	"os"
	"syscall"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// minServing is how many upstreams of a service stay when others leave.
const minServing = 2

// InjectFault makes one random fault, and returns its name.
func (s *System) InjectFault() string {
	w := s.cluster
	b, u := s.balancers[w.RandomInt(len(s.balancers))], w.RandomInt(len(s.sidecars))
	c := s.sidecars[u]
	pause := s.now() + clock.Millis(300+w.RandomInt(3000))
	mayLeave := w.ServingUpstreams(w.Service(u)) > minServing && !c.gone
	switch w.RandomInt(16) {
	case 0:
		b.kill()
		return "kill " + b.name
	case 1:
		b.stop()
		return "stop " + b.name
	case 2:
		b.signal(syscall.SIGSTOP)
		b.paused = pause
		return "pause " + b.name
	case 3:
		c.kill()
		return "kill " + c.name
	case 4:
		c.stop()
		return "restart " + c.name
	case 5:
		c.signal(syscall.SIGSTOP)
		c.paused = pause
		return "pause " + c.name
	case 6:
		w.RestartUpstream(u, clock.Millis(200+w.RandomInt(2000)))
		return "restart the upstream of " + c.name
	case 7:
		if mayLeave {
			w.DrainUpstream(u)
			return "drain the upstream of " + c.name
		}
	case 8:
		w.SendStaleHeartbeat(u)
		return "late heartbeat at " + c.name
	case 9:
		if err := s.addUpstream(w.RandomInt(s.config.Services)); err != nil {
			s.fault("add an upstream: %v", err)
		}
		return "add an upstream"
	case 10:
		s.configure()
		return "configure"
	case 11:
		f := storeFault(w.RandomInt(int(storeFaultCount)))
		s.store.set(f)
		if w.RandomInt(2) == 0 {
			s.store.lapse()
		}
		return "fault of the store"
	case 12:
		s.store.compact()
		return "store without history"
	case 13:
		h := []*host{b, c}[w.RandomInt(2)]
		h.store.set(linkFault(w.RandomInt(int(linkFaultCount))))
		return "fault of the connections of " + h.name
	case 14:
		h := []*host{b, c}[w.RandomInt(2)]
		h.store.reset()
		return "reset of the connections of " + h.name
	default:
		if mayLeave && w.RandomInt(2) == 0 {
			return s.reuse(u)
		}
		b.signal(syscall.SIGHUP)
		return "reload " + b.name
	}
	return "nothing"
}

// reuse ends an upstream and its sidecar for good and gives their address to another
// service.
func (s *System) reuse(index int) string {
	h := s.sidecars[index]
	service := (s.cluster.Service(index) + 1) % s.config.Services
	h.kill()
	h.gone = true
	s.cluster.ReuseAddress(index, service)
	// The model starts the new upstream within a second.
	at := s.now() + clock.Second
	var start func()
	start = func() {
		if s.now() < at {
			s.later(start)
			return
		}
		if err := os.WriteFile(h.settings, []byte(s.settingsText(h, 2, index, s.sidecarSettings(index))), 0o600); err != nil {
			s.fault("settings of %s: %v", h.name, err)
		}
		h.gone = false
	}
	s.later(start)
	return "reuse the address of " + h.name
}

// ClearFaults ends all faults.
func (s *System) ClearFaults() {
	s.store.set(storeServes)
	for _, h := range append(append([]*host(nil), s.balancers...), s.sidecars...) {
		h.store.set(linkWorks)
		h.store.reset()
		h.paused = 0
		h.signal(syscall.SIGCONT)
	}
}
