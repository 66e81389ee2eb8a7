// Package node runs the processes that carry flows without a connection ID. It
// connects the state machine of a balancer or sidecar with sockets, timers and HTTP
// servers.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/common/reload"
	"github.com/orioledyke/orioledyke/internal/common/settings"
	"github.com/orioledyke/orioledyke/internal/common/supervisor"
	"github.com/orioledyke/orioledyke/internal/common/telemetry"
	"github.com/orioledyke/orioledyke/internal/flow/evacuation"
	"github.com/orioledyke/orioledyke/internal/flow/peerset"
	"github.com/orioledyke/orioledyke/internal/flow/store"
	"github.com/orioledyke/orioledyke/platform"
	"github.com/samber/oops"
	"go.uber.org/zap"
)

const (
	// httpTimeout limits how long an HTTP server reads a request and writes a response.
	httpTimeout = 10 * time.Second
	// reloadInterval is the time between two checks of the settings file, for
	// changes that no signal announces.
	reloadInterval = 2 * time.Second
	// startupInterval is the time between two attempts to reach other processes after
	// the start, and startupAttempts is their number. The others may start up to some
	// seconds later.
	startupInterval clock.Millis = 100
	startupAttempts              = 25
	// flushTimeout limits how long the log and spans are written at the end.
	flushTimeout = time.Second
	// socketBufferSize is the size in bytes of the kernel's receive buffer of a socket.
	// It holds 1,700 full packets.
	socketBufferSize = 2 << 20
	// shutdownReserve is the part of the drain timeout that is left to end the process
	// after the drain.
	shutdownReserve = clock.Second
)

// Options are what a process needs from its caller.
type Options struct {
	// SettingsPath is the path of the settings file, which is reloaded when it changes.
	SettingsPath string
	// Stop ends when the process has to drain.
	Stop context.Context
	// Reload receives a signal when the settings may have changed.
	Reload <-chan os.Signal
}

// base holds what the processes of balancers and sidecars have in common.
type base struct {
	options    Options
	settings   settings.FlowProcess
	clock      clock.Clock
	telemetry  *telemetry.Telemetry
	logger     *zap.Logger
	tree       *supervisor.Tree
	store      *platform.Store
	directory  *directory
	relayConn  *net.UDPConn
	packetConn *net.UDPConn

	startedAt clock.Millis

	// mutex guards the state machine and the fields below.
	mutex     sync.Mutex
	balancers *peerset.Set
	stopping  bool
	// storeEpoch is the newest epoch that the store has stated, and storeRestores is the
	// number of times that it has risen. announcedEpoch is the newest that a balancer has
	// announced.
	storeEpoch, announcedEpoch store.Epoch
	storeRestores              uint64
	// evacuations holds what is known of evacuated data centres. directedAt is the time of
	// the last directives to a host that needed some.
	evacuations evacuation.Set
	directedAt  map[netip.Addr]clock.Millis
	// outages are the last outages of the store that were announced, and outageVerifiedAt is
	// when the announcement of one last made this process verify its entry.
	outages          []uint64
	outageVerifiedAt clock.Millis
	// storeRestored is called, with the mutex locked, when the store's epoch has risen.
	storeRestored func()
	// fieldBuffer holds the fields of the last log line about a flow. Its memory is
	// reused for the next one.
	fieldBuffer []zap.Field
}

func newBase(options Options, s settings.FlowProcess) (*base, error) {
	observed, err := telemetry.New(telemetry.Config{
		Role: s.Role, Host: s.Host, DataCentre: s.DataCentre, Output: os.Stdout, LineLimit: telemetry.DefaultLineLimit,
		ObserveAddress: s.ObserveAddress,
	})
	if err != nil {
		return nil, err
	}
	b := &base{
		options: options, settings: s, clock: clock.System(), telemetry: observed, logger: observed.Logger(),
		balancers: peerset.New(s.RelayAddress.Addr()), storeRestored: func() {}, directedAt: map[netip.Addr]clock.Millis{},
	}
	b.store = platform.NewStore(s.StoreAddress, b.observeStoreEpoch)
	b.registerStoreMetrics()
	b.gaugeFunc("orioledyke_flow_evacuated_data_centres", "Data centres whose upstreams get no new flows, as far as this process knows.",
		func() float64 { return float64(len(b.evacuations.DataCentres())) })
	b.startedAt = b.clock.Now()
	b.tree = supervisor.New(string(s.Role), b.logger)
	b.tree.Add("observe", observed.Serve)
	if b.relayConn, err = listenUDP("relay-address", s.RelayAddress); err == nil {
		b.packetConn, err = listenUDP("packet-address", s.PacketAddress)
	}
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func listenUDP(key string, address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.Code(key+"-unavailable").Wrapf(err, "open %s %s", key, address)
	}
	if err := conn.SetReadBuffer(socketBufferSize); err != nil {
		return nil, errors.Join(oops.Code(key+"-unavailable").Wrapf(err, "set the buffer of %s", key), conn.Close())
	}
	return conn, nil
}

// close closes the sockets and flushes telemetry.
func (b *base) close() {
	for _, conn := range []*net.UDPConn{b.relayConn, b.packetConn} {
		if conn != nil {
			_ = conn.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := b.telemetry.Shutdown(ctx); err != nil {
		b.logger.Warn("telemetry-shutdown-failed", zap.Error(err))
	}
}

// run runs all parts until ctx ends. When options.Stop ends earlier, run calls drain and
// ends the parts after drain has returned.
func (b *base) run(ctx context.Context, drain func(context.Context)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b.logger.Info("started", zap.Stringer("relay", b.settings.RelayAddress), zap.Stringer("store", b.settings.StoreAddress))
	served := make(chan error, 1)
	go func() { served <- b.tree.Serve(ctx) }()
	select {
	case <-ctx.Done():
	case <-b.options.Stop.Done():
		b.mutex.Lock()
		b.stopping = true
		b.mutex.Unlock()
		b.logger.Info("draining")
		drain(ctx)
	}
	cancel()
	err := <-served
	b.logger.Info("stopped")
	return err
}

// addReader adds a part that passes every datagram of a socket to handle. size is the
// length in bytes to which longer datagrams are truncated.
func (b *base) addReader(name string, conn *net.UDPConn, size int, handle func(from netip.AddrPort, data []byte)) {
	b.tree.Add(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
		defer stop()
		buffer := make([]byte, size)
		for ctx.Err() == nil {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				if ctx.Err() == nil {
					b.logger.Warn("socket-error", zap.String("socket", name), zap.Error(err))
				}
				continue
			}
			handle(from, buffer[:n])
		}
		return nil
	})
}

// addServer opens the address and adds a part that runs an HTTP server there.
func (b *base) addServer(name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return oops.Code(name+"-address-unavailable").Wrapf(err, "open %s-address %s", name, address)
	}
	server := &http.Server{Handler: handler, ReadTimeout: httpTimeout, WriteTimeout: httpTimeout}
	b.tree.Add(name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); ctx.Err() == nil {
			return oops.Code(name + "-server-failed").Wrap(err)
		}
		return nil
	})
	return nil
}

// addTimer adds a part that sleeps for period before each call of work.
func (b *base) addTimer(name string, period clock.Millis, work func(context.Context)) {
	b.tree.Add(name, func(ctx context.Context) error {
		for sleep(ctx, period) == nil {
			work(ctx)
		}
		return nil
	})
}

// addStartupTimer adds a part that calls work often for a while after the start, so that
// other processes soon know this one.
func (b *base) addStartupTimer(work func(context.Context)) {
	b.tree.Add("start", func(ctx context.Context) error {
		for range startupAttempts {
			work(ctx)
			if sleep(ctx, startupInterval) != nil {
				return nil
			}
		}
		return nil
	})
}

// addSettings adds a part that calls apply when the settings file has changed.
func (b *base) addSettings(apply func(data []byte) error) error {
	watcher, err := reload.New(reload.Config{
		Name: "settings", Files: []string{b.options.SettingsPath},
		Apply:    func(contents [][]byte) error { return apply(contents[0]) },
		LogEvent: b.telemetry.LogEvent,
	})
	if err != nil {
		return err
	}
	b.tree.Add("settings", func(ctx context.Context) error {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-b.options.Reload:
				b.logger.Info("reload-requested")
			case <-ticker.C:
			}
			watcher.Check()
		}
	})
	return nil
}

// send sends a datagram. A failure to send is logged and otherwise treated like the loss
// of the datagram, after which the ends of the flow retransmit.
func (b *base) send(conn *net.UDPConn, to netip.AddrPort, data []byte) {
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		b.logger.Warn("send-failed", zap.Stringer("to", to), zap.Error(err))
	}
}

func (b *base) toClient(to netip.Addr, packet []byte) {
	b.send(b.packetConn, netip.AddrPortFrom(to, b.settings.PacketAddress.Port()), packet)
}

func (b *base) relayTo(host netip.Addr, data []byte) {
	b.send(b.relayConn, netip.AddrPortFrom(host, b.settings.RelayAddress.Port()), data)
}

func (b *base) seedHosts() []netip.Addr {
	hosts := make([]netip.Addr, 0, len(b.settings.Seeds))
	for _, seed := range b.settings.Seeds {
		hosts = append(hosts, seed.Addr())
	}
	return hosts
}

// maxDrainTime returns how long a drain may take. This is the drain timeout minus
// shutdownReserve.
func (b *base) maxDrainTime() clock.Millis {
	return max(clock.FromDuration(b.settings.DrainTimeout)-shutdownReserve, 0)
}

func sleep(ctx context.Context, d clock.Millis) error {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func random(n int) int {
	if n <= 0 {
		return 0
	}
	return rand.IntN(n)
}
