// Package soak runs the real balancers and sidecars as separate processes on loopback
// addresses, among the modelled routers, clients and upstreams of package fleet, and
// injects faults from outside: signals, proxies before the store, and a store that
// misbehaves. The oracle of fleet judges what clients and upstreams see.
package soak

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/flow/registration"
	"github.com/orioledyke/orioledyke/internal/standin/fleet"
)

// Ports of every host.
const (
	relayPort = 7000 + iota
	packetPort
	readyPort
	observePort
	appPort
	outboundPort
	controlPort
	storePort
)

const (
	// processEnvironment makes a test binary run the command line of the product.
	processEnvironment = "ORIOLEDYKE_SOAK_PROCESS"

	heartbeatInterval = 1200 * time.Millisecond
	heartbeatTimeout  = time.Second
	probeInterval     = 500 * clock.Millis(1)
	// tick is the time between two looks for events of the model.
	tick = 2 * time.Millisecond
	// inboxLength is how many packets and answers may wait for the model.
	inboxLength  = 4096
	packetBuffer = 2048
	networks     = 200
	firstNetwork = 20
)

// Config configures a System.
type Config struct {
	Seed uint64
	// Balancers is the number of balancers, Upstreams that of each service.
	Balancers, Upstreams, Services int
	// Program starts the product's command line; the role is added. Folder is for
	// settings and logs.
	Program []string
	Folder  string
}

// System is the processes, the model and the store. Its methods are for one goroutine.
type System struct {
	config    Config
	ctx       context.Context
	cluster   *fleet.Cluster
	store     *store
	operator  netip.AddrPort
	balancers []*host
	sidecars  []*host
	// sockets are those of upstreams, and client that of all clients.
	sockets []*net.UDPConn
	client  *net.UDPConn
	inbox   chan func()
	started time.Time
	version uint64
	probed  clock.Millis
	calls   http.Client
	faults  []string
}

// New starts all processes. They end with ctx at the latest.
func New(ctx context.Context, config Config) (*System, error) {
	s := &System{
		config: config, ctx: ctx, store: newStore(), inbox: make(chan func(), inboxLength), started: time.Now(),
		calls: http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	context.AfterFunc(ctx, s.killAll)
	listener, err := net.Listen("tcp4", s.address(0, 1, storePort).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store.handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	s.operator = s.address(0, 1, storePort)
	if s.client, err = s.listen(s.address(3, 0, packetPort), func(packet []byte) { s.cluster.DeliverToClient(packet) }); err != nil {
		return nil, err
	}
	s.configure()
	s.cluster = fleet.New(fleet.Config{
		Seed: config.Seed, RendezvousHash: config.Seed%2 == 0, Balancers: config.Balancers, Services: config.Services,
		Remote: &fleet.Remote{
			ClientHost: s.address(3, 0, 0).Addr(), UpstreamAddress: func(i int) netip.AddrPort { return s.address(2, i, appPort) },
			ToBalancer: func(i int, packet []byte) { s.send(s.client, s.address(1, i, packetPort), packet) },
			ToSidecar:  func(i int, packet []byte) { s.send(s.sockets[i], s.address(2, i, outboundPort), packet) },
			Heartbeat:  s.heartbeat, Deregister: s.leave,
		},
	})
	for i := range config.Balancers {
		h, err := s.newHost("flow-balancer", 1, i, "")
		if err != nil {
			return nil, err
		}
		s.balancers = append(s.balancers, h)
	}
	for service := range config.Services {
		for range config.Upstreams {
			if err := s.addUpstream(service); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// address returns an address of a host: kind 0 is the store's, 1 balancers, 2 sidecars
// and 3 clients. Each seed has a network of its own.
func (s *System) address(kind, index int, port uint16) netip.AddrPort {
	network := byte(firstNetwork + s.config.Seed%networks)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, byte(kind), byte(index + 1)}), port)
}

// listen hands every packet at an address to the model.
func (s *System) listen(address netip.AddrPort, handle func([]byte)) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	go func() {
		for {
			buffer := make([]byte, packetBuffer)
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			s.post(func() { handle(buffer[:n]) })
		}
	}()
	return conn, nil
}

// post runs work on the goroutine of the model.
func (s *System) post(work func()) {
	select {
	case s.inbox <- work:
	case <-s.ctx.Done():
	}
}

// later runs work on the goroutine of the model after a tick.
func (s *System) later(work func()) {
	go func() {
		wait(s.ctx, tick)
		s.post(work)
	}()
}

// send sends a packet. One that a dead process does not take is lost.
func (s *System) send(conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	_, _ = conn.WriteToUDPAddrPort(packet, to)
}

// newHost writes the settings of a process and starts it.
func (s *System) newHost(role string, kind, index int, more string) (*host, error) {
	h := &host{
		name: fmt.Sprintf("%s-%d", role, index), role: role,
		settings: filepath.Join(s.config.Folder, fmt.Sprintf("%s-%d.yaml", role, index)),
	}
	var err error
	if h.store, err = newProxy(s.ctx, s.address(kind, index, storePort), s.operator); err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settings, []byte(s.settingsText(h, kind, index, more)), 0o600); err != nil {
		return nil, err
	}
	return h, h.start(s.config.Program, s.config.Folder)
}

func (s *System) settingsText(h *host, kind, index int, more string) string {
	at := func(port uint16) netip.AddrPort { return s.address(kind, index, port) }
	return fmt.Sprintf("role: %s\nhost: %s\ndata-centre: hope\nrelay-address: %s\npacket-address: %s\n"+
		"ready-address: %s\nobserve-address: %s\nstore-address: %s\nseeds: [%s, %s]\ndrain-timeout: 6s\n"+
		"flow-lifetime: 60s\n%s", h.role, h.name, at(relayPort), at(packetPort), at(readyPort), at(observePort),
		at(storePort), s.address(1, 0, controlPort), s.address(1, 1, controlPort), more)
}

func (s *System) sidecarSettings(index int) string {
	at := func(port uint16) netip.AddrPort { return s.address(2, index, port) }
	return fmt.Sprintf("service: %s\nupstream-address: %s\noutbound-address: %s\ncontrol-address: %s\n"+
		"heartbeat-interval: %s\n", s.cluster.ServiceName(index), at(appPort), at(outboundPort), at(controlPort), heartbeatInterval)
}

// addUpstream adds an upstream with its sidecar.
func (s *System) addUpstream(service int) error {
	index := s.cluster.Upstreams()
	conn, err := s.listen(s.address(2, index, appPort), func(packet []byte) { s.cluster.DeliverToUpstream(index, packet) })
	if err != nil {
		return err
	}
	s.sockets = append(s.sockets, conn)
	s.cluster.AddUpstream(service)
	s.servePresence(index)
	h, err := s.newHost("flow-sidecar", 2, index, s.sidecarSettings(index))
	if err != nil {
		return err
	}
	s.sidecars = append(s.sidecars, h)
	return nil
}

// servePresence keeps the TCP port of an upstream open while it runs.
func (s *System) servePresence(index int) {
	var listener net.Listener
	update := func() {
		alive := s.cluster.UpstreamAlive(index)
		switch {
		case alive && listener == nil:
			opened, err := net.Listen("tcp4", s.address(2, index, appPort).String())
			if err != nil {
				s.fault("upstream %d: %v", index, err)
				return
			}
			listener = opened
			go func() {
				for {
					conn, err := opened.Accept()
					if err != nil {
						return
					}
					_ = conn.Close()
				}
			}()
		case !alive && listener != nil:
			_ = listener.Close()
			listener = nil
		}
	}
	update()
	go func() {
		for s.ctx.Err() == nil {
			wait(s.ctx, 10*time.Millisecond)
			s.post(update)
		}
		if listener != nil {
			_ = listener.Close()
		}
	}()
}

// configure writes the next configuration.
func (s *System) configure() {
	s.version++
	type routeDocument struct {
		Name          string `json:"name"`
		Host          string `json:"host"`
		Prefix        string `json:"prefix"`
		Kind          string `json:"kind"`
		Service       string `json:"service"`
		TimeoutMs     int    `json:"timeoutMs"`
		LatencyGoalMs int    `json:"latencyGoalMs"`
	}
	var routes []routeDocument
	for service := range s.config.Services {
		address := fleet.ServiceAddress(service)
		routes = append(routes, routeDocument{
			fmt.Sprint("r-", service), address.Addr().String(), fmt.Sprintf("/%d/", address.Port()), "idempotent",
			fmt.Sprintf("service-%d", service), 2500, 150,
		})
	}
	document, err := json.Marshal(map[string]any{"version": s.version, "routes": routes, "limits": map[string]int{"idleTimeoutMs": 15_000}})
	if err != nil {
		s.fault("configuration: %v", err)
		return
	}
	s.store.put("op/config", base64.StdEncoding.EncodeToString(document))
}

// call makes a call of an upstream in the background.
func (s *System) call(upstream int, method, id string, body any, done func(status int)) {
	data, err := json.Marshal(body)
	if err != nil {
		s.fault("heartbeat: %v", err)
		return
	}
	url := fmt.Sprintf("http://%s/orioledyke/instances/%s", s.address(2, upstream, controlPort), id)
	go func() {
		request, err := http.NewRequestWithContext(s.ctx, method, url, bytes.NewReader(data))
		if err != nil {
			return
		}
		response, err := s.calls.Do(request)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if errors.Join(err, response.Body.Close()) == nil {
			s.post(func() { done(response.StatusCode) })
		}
	}()
}

func (s *System) heartbeat(upstream int, h registration.Heartbeat) {
	state := "ready"
	if h.Draining {
		state = "draining"
	}
	s.call(upstream, http.MethodPut, h.ID, map[string]any{
		"service": h.Service, "address": h.Address.String(), "slots": h.Slots, "state": state, "seq": h.Sequence,
		"born": h.StartedAt, "warmupLeftMs": 0,
	}, func(status int) {
		if status == http.StatusOK {
			s.cluster.HeartbeatAcknowledged(upstream, h)
		}
	})
}

func (s *System) leave(upstream int, id string, born int64) {
	s.call(upstream, http.MethodDelete, id, map[string]any{"born": born}, func(int) {})
	s.sidecars[upstream].gone = true
	s.sidecars[upstream].stop()
}

// probe asks the balancers whether they are ready, as routers do.
func (s *System) probe() {
	for i := range s.balancers {
		url := fmt.Sprintf("http://%s/orioledyke/ready", s.address(1, i, readyPort))
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, probeInterval.Duration())
			defer cancel()
			ready := false
			if request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err == nil {
				if response, err := s.calls.Do(request); err == nil {
					ready = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
			}
			s.post(func() { s.cluster.SetReady(i, ready) })
		}()
	}
}

// Run lets real time pass.
func (s *System) Run(d clock.Millis) {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	until := s.now() + d
	for s.now() < until && s.ctx.Err() == nil {
		var work func()
		select {
		case work = <-s.inbox:
		case <-timer.C:
		}
		now := s.now()
		s.cluster.Advance(max(now-s.cluster.Now(), 0))
		if work != nil {
			work()
		}
		if now-s.probed >= probeInterval {
			s.probed = now
			s.probe()
			s.watch(now)
		}
	}
}

func (s *System) now() clock.Millis { return clock.FromDuration(time.Since(s.started)) }

// watch lets paused processes go on, starts the processes that have ended, and records
// those that ended by themselves.
func (s *System) watch(now clock.Millis) {
	for _, h := range append(append([]*host(nil), s.balancers...), s.sidecars...) {
		if h.paused > 0 && now >= h.paused {
			h.paused = 0
			h.signal(syscall.SIGCONT)
		}
		if h.gone || h.running() {
			continue
		}
		if !h.stopping {
			s.fault("%s ended by itself", h.name)
		}
		if err := h.start(s.config.Program, s.config.Folder); err != nil {
			s.fault("%s: %v", h.name, err)
		}
	}
}

func (s *System) fault(format string, arguments ...any) {
	s.faults = append(s.faults, fmt.Sprintf(format, arguments...))
}

// Failures returns what broke a promise.
func (s *System) Failures() []string { return append(s.faults, s.cluster.Violations()...) }

// Stop ends all processes as an operator does.
func (s *System) Stop() {
	hosts := append(append([]*host(nil), s.balancers...), s.sidecars...)
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		if err := h.end(); err != nil {
			s.fault("%v", err)
		}
	}
}

func (s *System) killAll() {
	for _, h := range append(append([]*host(nil), s.balancers...), s.sidecars...) {
		h.signal(syscall.SIGKILL)
	}
}
