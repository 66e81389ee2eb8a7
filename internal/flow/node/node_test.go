package node

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/flow/segment"
	"github.com/orioledyke/orioledyke/platform"
)

// testTimeout ends a test that hangs. No check depends on how long a step takes.
const testTimeout = time.Minute

// system is one balancer and one sidecar, each with a loopback address that stands for
// its host.
type system struct {
	c                 *qt.C
	ctx               context.Context
	balancer, sidecar netip.Addr
	client            netip.Addr
	store             netip.AddrPort
	// ports holds the port numbers, which are the same on all hosts. The indexes are: 0
	// relay, 1 packets of flows, 2 readiness, 3 metrics, 4 seed (no process listens there),
	// 5 upstream, 6 packets from the upstream, 7 heartbeats of the upstream.
	ports [8]uint16
}

func newSystem(t *testing.T) *system {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	c.Cleanup(cancel)
	s := &system{
		c: c, ctx: ctx, balancer: netip.MustParseAddr("127.0.0.11"), sidecar: netip.MustParseAddr("127.0.0.12"),
		client: netip.MustParseAddr("127.0.0.13"),
	}
	for i := range s.ports {
		listener, err := net.Listen("tcp4", "127.0.0.11:0")
		c.Assert(err, qt.IsNil)
		s.ports[i] = listener.Addr().(*net.TCPAddr).AddrPort().Port()
		c.Cleanup(func() { _ = listener.Close() })
		defer listener.Close()
	}
	configuration := base64.StdEncoding.EncodeToString([]byte(
		`{"version":4,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/443/","kind":"idempotent","service":"portal"}]}`))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "kv-range") && r.URL.Query().Get("prefix") == "op/":
			fmt.Fprintf(w, `{"items":[{"key":"op/config","value":%q,"revision":3}],"storeRevision":3}`, configuration)
		case strings.HasSuffix(r.URL.Path, "kv-key"):
			http.NotFound(w, r)
		case strings.HasSuffix(r.URL.Path, "kv-watch"):
			<-r.Context().Done()
		default:
			_, _ = io.WriteString(w, `{"lease":1,"ttlMs":60000,"revision":4,"items":[],"storeRevision":4}`)
		}
	}))
	c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	s.store = netip.MustParseAddrPort(server.Listener.Addr().String())
	return s
}

func (s *system) at(host netip.Addr, portIndex int) netip.AddrPort {
	return netip.AddrPortFrom(host, s.ports[portIndex])
}

// settingsFile writes the settings file of a process and returns its path.
func (s *system) settingsFile(role settings.Role, host netip.Addr, extraSettings string) string {
	path := filepath.Join(s.c.TempDir(), "settings.yaml")
	text := fmt.Sprintf("role: %s\nhost: %s\ndata-centre: hope\nrelay-address: %s\npacket-address: %s\nready-address: %s\n"+
		"observe-address: %s\nstore-address: %s\nseeds: [%s]\ndrain-timeout: 2s\nflow-lifetime: 60s\n%s",
		role, role, s.at(host, 0), s.at(host, 1), s.at(host, 2), s.at(host, 3), s.store, s.at(s.balancer, 4), extraSettings)
	s.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// start runs a process. It returns a function that stops the process and checks that it
// ends without an error.
func start[S any](s *system, path string, run func(context.Context, Options, S) error) func() {
	stop, stopNow := context.WithCancel(s.ctx)
	loaded, err := settings.Load[S](path)
	s.c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() {
		done <- run(s.ctx, Options{SettingsPath: path, Stop: stop, Reload: make(chan os.Signal)}, loaded)
	}()
	return func() {
		stopNow()
		s.c.Assert(<-done, qt.IsNil)
	}
}

// await sends requests to a ready address until one gets the given status.
func (s *system) await(address netip.AddrPort, status int) {
	for s.ctx.Err() == nil {
		response, err := http.Get("http://" + address.String() + "/orioledyke/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == status {
				return
			}
		}
	}
	s.c.Fatalf("%s did not respond with status %d", address, status)
}

func (s *system) listen(address netip.AddrPort) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	s.c.Assert(conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return conn
}

func (s *system) read(conn *net.UDPConn) []byte {
	buffer := make([]byte, platform.MaxSegmentSize)
	n, _, err := conn.ReadFromUDPAddrPort(buffer)
	s.c.Assert(err, qt.IsNil)
	return buffer[:n]
}

// Guards against parts that work alone but not together. A flow opens through a balancer
// and a sidecar, the response goes from the sidecar directly to the client, and both
// processes drain and end.
func TestFlowThroughProcesses(t *testing.T) {
	s := newSystem(t)
	upstream := s.listen(s.at(s.sidecar, 5))
	listener, err := net.Listen("tcp4", s.at(s.sidecar, 5).String())
	s.c.Assert(err, qt.IsNil)
	defer listener.Close()
	client := s.listen(s.at(s.client, 1))

	stopBalancer := start(s, s.settingsFile(settings.RoleFlowBalancer, s.balancer, ""), RunBalancer)
	stopSidecar := start(s, s.settingsFile(settings.RoleFlowSidecar, s.sidecar, fmt.Sprintf(
		"service: portal\nupstream-address: %s\noutbound-address: %s\ncontrol-address: %s\nheartbeat-interval: 60s\n",
		s.at(s.sidecar, 5), s.at(s.sidecar, 6), s.at(s.sidecar, 7))), RunSidecar)
	s.await(s.at(s.sidecar, 2), http.StatusServiceUnavailable)
	s.heartbeat("ready")
	s.await(s.at(s.sidecar, 2), http.StatusOK)
	s.await(s.at(s.balancer, 2), http.StatusOK)

	key := segment.NewKey(netip.AddrPortFrom(s.client, 4000), netip.MustParseAddrPort("198.18.0.1:443"))
	request := platform.EncodeReset(segment.NewKey(key.Service(), key.Client()), 7)
	request[0] = 32
	s.send(client, request, s.at(s.balancer, 1))
	s.c.Assert(s.read(upstream), qt.DeepEquals, request)

	accepted := platform.EncodeReset(key, 900)
	accepted[0] = 32 | 128
	binary.LittleEndian.PutUint32(accepted[8:], 8)
	s.send(upstream, accepted, s.at(s.sidecar, 6))
	s.c.Assert(s.read(client), qt.DeepEquals, accepted)

	s.heartbeat("draining")
	s.await(s.at(s.sidecar, 2), http.StatusServiceUnavailable)
	stopSidecar()
	stopBalancer()
}

func (s *system) send(conn *net.UDPConn, packet []byte, to netip.AddrPort) {
	_, err := conn.WriteToUDPAddrPort(packet, to)
	s.c.Assert(err, qt.IsNil)
}

// heartbeat sends one heartbeat of the upstream and requires status 200.
func (s *system) heartbeat(state string) {
	sequence := map[string]int{"ready": 1, "draining": 2}[state]
	body := fmt.Sprintf(`{"service":"portal","address":%q,"slots":3,"state":%q,"seq":%d,"born":1}`,
		s.at(s.sidecar, 5), state, sequence)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPut,
		"http://"+s.at(s.sidecar, 7).String()+"/orioledyke/instances/u-1", strings.NewReader(body))
	s.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(response.Body.Close(), qt.IsNil)
	s.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}
