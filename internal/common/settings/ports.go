package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// CheckPorts tries to open each address that the process will listen on, and
// closes it again. The entry address of a balancer is tried with a port of the
// system's choice, because contracts give its ports.
func CheckPorts[T Balancer | Sidecar](settings T) Faults {
	switch s := any(settings).(type) {
	case Balancer:
		faults := s.checkPorts()
		if err := tryUDP(netip.AddrPortFrom(s.EntryAddress, 0)); err != nil {
			faults = append(faults, s.source.fault("entry-address", unavailable(s.EntryAddress, "UDP", err)))
		}
		return faults
	case Sidecar:
		return s.checkPorts()
	default:
		return nil
	}
}

func (p *FlowProcess) checkPorts() Faults {
	var faults Faults
	for _, a := range p.listening() {
		try, protocol := tryTCP, "TCP"
		if a.key == "packet-address" {
			try, protocol = tryUDP, "UDP"
		}
		if err := try(a.address); err != nil {
			faults = append(faults, p.source.fault(a.key, unavailable(a.address, protocol, err)))
		}
	}
	return faults
}

func (p *Process) checkPorts() Faults {
	var faults Faults
	if err := tryUDP(p.TunnelAddress); err != nil {
		faults = append(faults, p.source.fault("tunnel-address", unavailable(p.TunnelAddress, "UDP", err)))
	}
	if err := tryTCP(p.ControlAddress); err != nil {
		faults = append(faults, p.source.fault("control-address", unavailable(p.ControlAddress, "TCP", err)))
	}
	if err := tryTCP(p.ObserveAddress); err != nil {
		faults = append(faults, p.source.fault("observe-address", unavailable(p.ObserveAddress, "TCP", err)))
	}
	return faults
}

func unavailable(address fmt.Stringer, protocol string, err error) string {
	reason := err.Error()
	var number syscall.Errno
	if errors.As(err, &number) {
		reason = number.Error()
	}
	return fmt.Sprintf("%s cannot be opened for %s: %s; want a free address of this host", address, protocol, reason)
}

func tryUDP(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return conn.Close()
}

func tryTCP(address netip.AddrPort) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return listener.Close()
}
