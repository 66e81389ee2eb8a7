// Package soak runs the real balancers and sidecars as separate processes on loopback
// addresses. The cluster of package fleet simulates the routers, clients and upstreams
// around them. Faults come from outside: signals, proxies in front of the store, and a
// store that misbehaves. The oracle of package fleet checks what clients and upstreams
// observe.
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
	"github.com/orioledyke/orioledyke/internal/standin/metadata"
)

// Ports of every host.
const (
	relayPort = 7000 + iota
	packetPort
	readyPort
	observePort
	upstreamPort
	outboundPort
	controlPort
	storePort
)

const (
	// processVariable is the environment variable that makes a test binary run the command
	// line of the product.
	processVariable = "ORIOLEDYKE_SOAK_PROCESS"

	// heartbeatInterval is the time between two heartbeats of an upstream. The cluster sends
	// them, and the settings of the sidecar state the interval.
	heartbeatInterval = 1200 * time.Millisecond
	// callTimeout limits an HTTP request to a sidecar or balancer.
	callTimeout = time.Second
	// probeInterval is the time between two readiness probes of a balancer. It also limits a
	// probe.
	probeInterval = 500 * clock.Millis(1)
	// tickInterval is the longest time for which Run waits before it advances the cluster.
	tickInterval = 2 * time.Millisecond
	// inboxLength is how many packets and responses may wait for the goroutine that calls
	// Run.
	inboxLength      = 4096
	packetBufferSize = 2048
	// A run uses the loopback network 127.N.0.0/16, where N is firstNetwork plus its
	// seed modulo networkCount. Seeds that differ by a multiple of networkCount share a
	// network.
	networkCount = 200
	firstNetwork = 20
)

// Config configures a System.
type Config struct {
	// Seed initializes the random source and selects the loopback network.
	Seed uint64
	// Balancers is the number of balancers.
	// Upstreams is the number of upstreams of each service.
	// Services is the number of services.
	Balancers, Upstreams, Services int
	// Program is the command that starts the command line of the product. The role of the
	// process is appended to it as the last argument.
	Program []string
	// Folder holds settings and logs.
	Folder string
	// CheckVersions is set to check that configurations are in effect within applyLimit. The
	// check needs a machine on which processes run without long delays.
	CheckVersions bool
}

// System holds the processes, the simulated cluster and the store. Its methods must be called
// from one goroutine.
type System struct {
	config       Config
	ctx          context.Context
	cluster      *fleet.Cluster
	store        *metadata.Server
	storeAddress netip.AddrPort
	balancers    []*host
	sidecars     []*host
	// sockets are the UDP sockets of the upstreams.
	sockets []*net.UDPConn
	// client is the UDP socket that all clients share.
	client *net.UDPConn
	// inbox holds functions that wait for the goroutine that calls Run.
	inbox     chan func()
	startedAt time.Time
	// version is that of the current configuration, and configuration is its document in
	// base64.
	version       uint64
	configuration string
	// copies are older copies of the store, the newest last.
	copies   []*metadata.Store
	lastCopy clock.Millis
	// versions holds what each balancer has reported, if Config.CheckVersions is set.
	versions   []versionHistory
	lastProbe  clock.Millis
	httpClient http.Client
	failures   []string
}

// New starts all processes. They are killed when ctx ends.
func New(ctx context.Context, config Config) (*System, error) {
	s := &System{
		config: config, ctx: ctx, store: metadata.NewServer(), inbox: make(chan func(), inboxLength), startedAt: time.Now(),
		httpClient: http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	context.AfterFunc(ctx, s.killAll)
	listener, err := net.Listen("tcp4", s.address(0, 1, storePort).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store.Handler()}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	s.storeAddress = s.address(0, 1, storePort)
	if s.client, err = s.listen(s.address(3, 0, packetPort), func(packet []byte) { s.cluster.DeliverToClient(packet) }); err != nil {
		return nil, err
	}
	s.cluster = fleet.New(fleet.Config{
		Seed: config.Seed, RendezvousHash: config.Seed%2 == 0, Balancers: config.Balancers, Services: config.Services,
		Remote: &fleet.Remote{
			ClientHost: s.address(3, 0, 0).Addr(), UpstreamAddress: func(i int) netip.AddrPort { return s.address(2, i, upstreamPort) },
			ToBalancer: func(i int, packet []byte) { s.send(s.client, s.address(1, i, packetPort), packet) },
			ToSidecar:  func(i int, packet []byte) { s.send(s.sockets[i], s.address(2, i, outboundPort), packet) },
			Heartbeat:  s.heartbeat, Deregister: s.deregister,
		},
	})
	s.configure()
	for i := range config.Balancers {
		h, err := s.newHost("flow-balancer", 1, i, "")
		if err != nil {
			return nil, err
		}
		s.balancers = append(s.balancers, h)
	}
	s.versions = make([]versionHistory, len(s.balancers))
	for service := range config.Services {
		for range config.Upstreams {
			if err := s.addUpstream(service); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// address returns an address of a host. kind is 0 for the store, 1 for a balancer, 2 for a
// sidecar with its upstream and 3 for the clients. index numbers the hosts of a kind.
func (s *System) address(kind, index int, port uint16) netip.AddrPort {
	network := byte(firstNetwork + s.config.Seed%networkCount)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, network, byte(kind), byte(index + 1)}), port)
}

// listen passes every packet that arrives at an address to handle, on the goroutine that
// calls Run.
func (s *System) listen(address netip.AddrPort, handle func([]byte)) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	context.AfterFunc(s.ctx, func() { _ = conn.Close() })
	go func() {
		for {
			buffer := make([]byte, packetBufferSize)
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			s.post(func() { handle(buffer[:n]) })
		}
	}()
	return conn, nil
}

// post makes the goroutine that calls Run execute work. It waits while the inbox is full.
func (s *System) post(work func()) {
	select {
	case s.inbox <- work:
	case <-s.ctx.Done():
	}
}

// postLater makes the goroutine that calls Run execute work after tickInterval. It returns at
// once.
func (s *System) postLater(work func()) {
	go func() {
		wait(s.ctx, tickInterval)
		s.post(work)
	}()
}

// send sends a packet. A packet to a process that does not run is lost.
func (s *System) send(conn *net.UDPConn, to netip.AddrPort, packet []byte) {
	_, _ = conn.WriteToUDPAddrPort(packet, to)
}

// newHost starts the store proxy of a host, writes the settings of its process and starts the
// process.
func (s *System) newHost(role string, kind, index int, extra string) (*host, error) {
	h := &host{
		name: fmt.Sprintf("%s-%d", role, index), role: role,
		settingsPath: filepath.Join(s.config.Folder, fmt.Sprintf("%s-%d.yaml", role, index)),
	}
	var err error
	if h.storeProxy, err = newProxy(s.ctx, s.address(kind, index, storePort), s.storeAddress); err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settingsPath, []byte(s.settingsText(h, kind, index, extra)), 0o600); err != nil {
		return nil, err
	}
	return h, h.start(s.config.Program, s.config.Folder)
}

func (s *System) settingsText(h *host, kind, index int, extra string) string {
	address := func(port uint16) netip.AddrPort { return s.address(kind, index, port) }
	return fmt.Sprintf("role: %s\nhost: %s\ndata-centre: hope\nrelay-address: %s\npacket-address: %s\n"+
		"ready-address: %s\nobserve-address: %s\nstore-address: %s\nseeds: [%s, %s]\ndrain-timeout: 6s\n"+
		"flow-lifetime: 60s\n%s", h.role, h.name, address(relayPort), address(packetPort), address(readyPort), address(observePort),
		address(storePort), s.address(1, 0, controlPort), s.address(1, 1, controlPort), extra)
}

func (s *System) sidecarSettings(index int) string {
	address := func(port uint16) netip.AddrPort { return s.address(2, index, port) }
	return fmt.Sprintf("service: %s\nupstream-address: %s\noutbound-address: %s\ncontrol-address: %s\n"+
		"heartbeat-interval: %s\n", s.cluster.ServiceName(index), address(upstreamPort), address(outboundPort), address(controlPort), heartbeatInterval)
}

// addUpstream adds an upstream to the cluster and starts its sidecar.
func (s *System) addUpstream(service int) error {
	index := s.cluster.Upstreams()
	conn, err := s.listen(s.address(2, index, upstreamPort), func(packet []byte) { s.cluster.DeliverToUpstream(index, packet) })
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

// servePresence keeps the TCP port of an upstream open while the upstream runs, and closes
// accepted connections at once. The sidecar connects to this port at its start and whenever
// the upstream does not respond to packets. If the connection is refused, the sidecar knows
// that the upstream holds no flows.
func (s *System) servePresence(index int) {
	var listener net.Listener
	update := func() {
		alive := s.cluster.UpstreamAlive(index)
		switch {
		case alive && listener == nil:
			opened, err := net.Listen("tcp4", s.address(2, index, upstreamPort).String())
			if err != nil {
				s.recordFailure("listening on the TCP port of upstream %d: %v", index, err)
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

// backendDocument is a target of a route.
type backendDocument struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// configure writes the next configuration to the store. Its timeout of 2500 ms and latency
// goal of 150 ms are responseTimeout and latencyGoal of package fleet.
func (s *System) configure() {
	s.version++
	type routeDocument struct {
		Name          string            `json:"name"`
		Host          string            `json:"host"`
		Prefix        string            `json:"prefix"`
		Kind          string            `json:"kind"`
		Backends      []backendDocument `json:"backends"`
		TimeoutMs     int               `json:"timeoutMs"`
		LatencyGoalMs int               `json:"latencyGoalMs"`
	}
	var routes []routeDocument
	for route := range s.config.Services {
		address, kind := fleet.ServiceAddress(route), "non_idempotent"
		if fleet.RepeatableRoute(route) {
			kind = "idempotent"
		}
		var backends []backendDocument
		for _, service := range s.cluster.Targets(route) {
			backends = append(backends, backendDocument{fmt.Sprintf("service-%d", service), 1})
		}
		routes = append(routes, routeDocument{
			fmt.Sprint("r-", route), address.Addr().String(), fmt.Sprintf("/%d/", address.Port()), kind, backends, 2500, 150,
		})
	}
	document, err := json.Marshal(map[string]any{"version": s.version, "routes": routes, "limits": map[string]int{"idleTimeoutMs": 15_000}})
	if err != nil {
		s.recordFailure("encoding the configuration: %v", err)
		return
	}
	s.configuration = base64.StdEncoding.EncodeToString(document)
	s.writeConfiguration()
}

// writeConfiguration writes the newest configuration to the store.
func (s *System) writeConfiguration() {
	s.store.Update(func(state *metadata.Store) { state.Put("op/config", s.configuration) })
}

// callSidecar sends a request of an upstream to its sidecar in the background. If a response
// arrives, done runs on the goroutine that calls Run.
func (s *System) callSidecar(upstream int, method, id string, body any, done func(status int)) {
	data, err := json.Marshal(body)
	if err != nil {
		s.recordFailure("encoding the body of a sidecar request: %v", err)
		return
	}
	url := fmt.Sprintf("http://%s/orioledyke/instances/%s", s.address(2, upstream, controlPort), id)
	go func() {
		request, err := http.NewRequestWithContext(s.ctx, method, url, bytes.NewReader(data))
		if err != nil {
			return
		}
		response, err := s.httpClient.Do(request)
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
	s.callSidecar(upstream, http.MethodPut, h.ID, map[string]any{
		"service": h.Service, "address": h.Address.String(), "slots": h.Slots, "state": state, "seq": h.Sequence,
		"born": h.StartedAt, "warmupLeftMs": 0,
	}, func(status int) {
		if status == http.StatusOK {
			s.cluster.HeartbeatAcknowledged(upstream, h)
		}
	})
}

// deregister deregisters an upstream at its sidecar and stops the sidecar for good.
func (s *System) deregister(upstream int, id string, startedAt int64) {
	s.callSidecar(upstream, http.MethodDelete, id, map[string]any{"born": startedAt}, func(int) {})
	s.sidecars[upstream].retired = true
	s.sidecars[upstream].stop()
}

// probe checks the readiness of all balancers in the background, as routers do.
func (s *System) probe() {
	for i := range s.balancers {
		url := fmt.Sprintf("http://%s/orioledyke/ready", s.address(1, i, readyPort))
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, probeInterval.Duration())
			defer cancel()
			ready := false
			if request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil); err == nil {
				if response, err := s.httpClient.Do(request); err == nil {
					ready = response.StatusCode == http.StatusOK
					_ = response.Body.Close()
				}
			}
			s.post(func() { s.cluster.SetReady(i, ready) })
		}()
	}
}

// Run advances the cluster in real time for d, or until the context of New ends. It also
// probes the balancers and supervises the processes.
func (s *System) Run(d clock.Millis) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	until := s.now() + d
	for s.now() < until && s.ctx.Err() == nil {
		var work func()
		select {
		case work = <-s.inbox:
		case <-ticker.C:
		}
		now := s.now()
		s.cluster.Advance(max(now-s.cluster.Now(), 0))
		if work != nil {
			work()
		}
		s.keepCopy(now)
		if now-s.lastProbe >= probeInterval {
			s.lastProbe = now
			s.probe()
			if s.config.CheckVersions {
				s.trackInterruptions(now)
				s.readVersions()
			}
			s.supervise(now)
		}
	}
}

func (s *System) now() clock.Millis { return clock.FromDuration(time.Since(s.startedAt)) }

// supervise resumes paused processes when their pause is over, restarts processes that have
// ended, and records those that ended unexpectedly.
func (s *System) supervise(now clock.Millis) {
	for _, h := range append(append([]*host(nil), s.balancers...), s.sidecars...) {
		if h.pausedUntil > 0 && now >= h.pausedUntil {
			h.pausedUntil = 0
			h.signal(syscall.SIGCONT)
		}
		if h.retired || h.running() {
			continue
		}
		if !h.stopping {
			s.recordFailure("%s ended unexpectedly", h.name)
		}
		if err := h.start(s.config.Program, s.config.Folder); err != nil {
			s.recordFailure("restarting %s: %v", h.name, err)
		}
	}
	for i, h := range s.sidecars {
		if h.running() && h.pausedUntil == 0 {
			s.cluster.SetSidecarInterrupted(i, false)
		}
	}
}

func (s *System) recordFailure(format string, arguments ...any) {
	s.failures = append(s.failures, fmt.Sprintf(format, arguments...))
}

// Failures returns the violations of rules, the processes that ended unexpectedly or did not
// stop in time, and the errors of the soak itself.
func (s *System) Failures() []string { return append(s.failures, s.cluster.Violations()...) }

// Stop stops all processes gracefully, as an operator does, and waits for their end.
func (s *System) Stop() {
	hosts := append(append([]*host(nil), s.balancers...), s.sidecars...)
	for _, h := range hosts {
		h.stop()
	}
	for _, h := range hosts {
		if err := h.waitExit(); err != nil {
			s.recordFailure("%v", err)
		}
	}
}

func (s *System) killAll() {
	for _, h := range append(append([]*host(nil), s.balancers...), s.sidecars...) {
		h.signal(syscall.SIGKILL)
	}
}
