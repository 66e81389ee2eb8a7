package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"
)

// CheckPorts opens each address that the process will listen on and closes it again. It
// reports those that cannot be opened. For the entry address of a balancer, the system
// chooses the port, because the real ports are set by contracts.
func CheckPorts[T Balancer | Sidecar](settings T) Faults {
	switch s := any(settings).(type) {
	case Balancer:
		faults := s.checkPorts()
		if err := probeUDP(netip.AddrPortFrom(s.EntryAddress, 0)); err != nil {
			faults = append(faults, s.source.fault("entry-address", unavailableProblem(s.EntryAddress, "UDP", err)))
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
	for _, a := range p.listenAddresses() {
		probe, protocol := probeTCP, "TCP"
		if a.key == "packet-address" {
			probe, protocol = probeUDP, "UDP"
		}
		if err := probe(a.address); err != nil {
			faults = append(faults, p.source.fault(a.key, unavailableProblem(a.address, protocol, err)))
		}
	}
	return faults
}

func (p *Process) checkPorts() Faults {
	var faults Faults
	if err := probeUDP(p.TunnelAddress); err != nil {
		faults = append(faults, p.source.fault("tunnel-address", unavailableProblem(p.TunnelAddress, "UDP", err)))
	}
	if err := probeTCP(p.ControlAddress); err != nil {
		faults = append(faults, p.source.fault("control-address", unavailableProblem(p.ControlAddress, "TCP", err)))
	}
	if err := probeTCP(p.ObserveAddress); err != nil {
		faults = append(faults, p.source.fault("observe-address", unavailableProblem(p.ObserveAddress, "TCP", err)))
	}
	return faults
}

// unavailableProblem returns the problem of an address that cannot be opened. It shows the
// system's reason without the operation and address that package net adds.
func unavailableProblem(address fmt.Stringer, protocol string, err error) string {
	reason := err.Error()
	var number syscall.Errno
	if errors.As(err, &number) {
		reason = number.Error()
	}
	return fmt.Sprintf("%s cannot be opened for %s: %s; want a free address of this host", address, protocol, reason)
}

func probeUDP(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return conn.Close()
}

func probeTCP(address netip.AddrPort) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	return listener.Close()
}
