// Command standin plays a case of the review: it starts the project's programs on loopback
// addresses among stand-ins for the platform's store, its routers, clients and endpoints.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of a day, which are the same on all machines.
type ports struct{ relay, packets, outbound, ready, control, app, store uint16 }

// observePort is the port of the metrics in the deploy file.
const observePort = 9464

// world holds everything that a case has started.
type world struct {
	network   byte
	ports     ports
	folder    string
	startedAt time.Time
	store     *metadataStore
	router    *router
	mutex     sync.Mutex
	recorded  *os.File
	processes []*process
	// lifecycle is held while a process is started, and during the end. No process is started
	// once ended is set.
	lifecycle sync.Mutex
	ended     bool
	endpoints []*endpoint
	requests  int
	runs      map[string]int
	// served counts the requests that were answered.
	served int
	// workTime is the time that an endpoint takes for a request.
	workTime time.Duration
	resets   []reset
}

// reset is a reset that a client has got.
type reset struct {
	at       time.Duration
	bySystem bool
	// front is the front machine that took the client's last packet.
	front netip.Addr
	// holder is the endpoint that had the flow open at that time, nil if none did.
	holder *endpoint
	client netip.AddrPort
}

var errEnded = errors.New("the case has ended")

// process is a process of the system.
type process struct {
	world     *world
	name      string
	role      string
	host      netip.Addr
	settings  string
	command   *exec.Cmd
	startedAt time.Duration
	done      chan struct{}
}

func newWorld(recordPath string) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	recorded, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{workTime: defaultWorkTime, folder: folder, startedAt: time.Now(), recorded: recorded, runs: map[string]int{}}
	for range 50 {
		w.network = byte(30 + rand.IntN(190))
		base := uint16(20000 + 10*rand.IntN(900))
		w.ports = ports{relay: base, packets: base + 1, outbound: base + 2, ready: base + 3, control: base + 4, app: base + 5, store: base + 6}
		if w.free(w.host(0, 1), w.ports.store) && w.free(w.host(1, 1), observePort) && w.free(w.host(1, 1), w.ports.relay) {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// free reports whether a port can be opened.
func (w *world) free(host netip.Addr, port uint16) bool {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(host, port).String())
	return err == nil && listener.Close() == nil
}

// host returns an address. kind is 0 for the store, 1 for a front machine, 2 for a side
// machine, 3 for a client and 4 for the routers.
func (w *world) host(kind, index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(kind), byte(index)})
}

func (w *world) now() time.Duration { return time.Since(w.startedAt) }

// until waits until a time of the case.
func (w *world) until(at time.Duration) { time.Sleep(at - w.now()) }

func (w *world) record(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.recorded, "%8.3f  %s\n", w.now().Seconds(), fmt.Sprintf(format, arguments...))
}

func (w *world) nextRequest() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.requests++
	return fmt.Sprintf("r%05d", w.requests)
}

func (w *world) ran(e *endpoint, request string) {
	w.mutex.Lock()
	w.runs[request]++
	w.mutex.Unlock()
	w.record("endpoint %s: runs %s", e.id, request)
}

func (w *world) answered(f *clientFlow, request string) {
	w.mutex.Lock()
	w.served++
	w.mutex.Unlock()
	w.record("client %s: %s answered", f.id.client, request)
}

func (w *world) wasReset(f *clientFlow, bySystem bool) {
	r := reset{at: w.now(), bySystem: bySystem, client: f.id.client, front: f.node}
	w.mutex.Lock()
	endpoints := w.endpoints
	w.mutex.Unlock()
	holder := "none"
	for _, e := range endpoints {
		if e.holds(f.id) {
			r.holder, holder = e, e.id
		}
	}
	w.mutex.Lock()
	w.resets = append(w.resets, r)
	w.mutex.Unlock()
	w.record("client %s: RESET (by the system: %t), waits for %q, last packet through %s, flow open at endpoint %s",
		f.id.client, bySystem, f.request, f.node, holder)
}

// settingsText fills in a template of the deploy file.
func (w *world) settingsText(role, name string, host netip.Addr, service string, seeds []netip.Addr) (string, error) {
	template, err := os.ReadFile(filepath.Join("deploy", map[string]string{"flow-balancer": "balancer.yaml", "flow-sidecar": "sidecar.yaml"}[role]))
	if err != nil {
		return "", err
	}
	at := func(port uint16) string { return netip.AddrPortFrom(host, port).String() }
	var seedAddresses []string
	for _, seed := range seeds {
		seedAddresses = append(seedAddresses, netip.AddrPortFrom(seed, w.ports.control).String())
	}
	text := strings.NewReplacer(
		"{{nodeName}}", name, "{{zone}}", "zone-a", "{{ip}}", host.String(), "{{internalPorts.0}}", fmt.Sprint(w.ports.relay),
		"{{listen.packets}}", at(w.ports.packets), "{{listen.ready}}", at(w.ports.ready), "{{listen.outbound}}", at(w.ports.outbound),
		"{{listen.control}}", at(w.ports.control), "{{platform.address}}", netip.AddrPortFrom(w.host(0, 1), w.ports.store).String(),
		"{{seeds}}", strings.Join(seedAddresses, ","), "{{bounds.graceS}}", "6", "{{bounds.maxFlowS}}", "60",
		"{{limits.linkMbps}}", "1000.0", "{{service}}", service, "{{app}}", at(w.ports.app), "{{heartbeatMs}}", "770",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("unfilled placeholder in the settings of %s", name)
	}
	return text, nil
}

// startProcess starts a process of the system with the command of the deploy file.
func (w *world) startProcess(role, name string, host netip.Addr, service string, seeds []netip.Addr) (*process, error) {
	text, err := w.settingsText(role, name, host, service, seeds)
	if err != nil {
		return nil, err
	}
	p := &process{world: w, name: name, role: role, host: host, settings: filepath.Join(w.folder, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.mutex.Lock()
	w.processes = append(w.processes, p)
	w.mutex.Unlock()
	return p, p.start()
}

func (p *process) start() error {
	p.world.lifecycle.Lock()
	defer p.world.lifecycle.Unlock()
	if p.world.ended {
		return errEnded
	}
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command("target/orioledyke", p.role)
	p.command.Env = []string{"ORIOLEDYKE_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + p.world.folder}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.startedAt, p.done = p.world.now(), make(chan struct{})
	p.world.record("process %s starts at %s", p.name, p.host)
	go func(command *exec.Cmd, done chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}(p.command, p.done)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.world.record("process %s gets %s", p.name, s)
	_ = p.command.Process.Signal(s)
}

// running reports whether the process runs.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.lifecycle.Lock()
	defer w.lifecycle.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	for _, p := range w.processes {
		if p.done != nil && p.running() {
			_ = p.command.Process.Kill()
			<-p.done
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("logs in", w.folder)
	} else {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.recorded.Close()
}

// routeDocument is a route of the operator's configuration.
type routeDocument struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Service       string `json:"service"`
	Kind          string `json:"kind"`
	TimeoutMs     int    `json:"timeoutMs"`
	LatencyGoalMs int    `json:"latencyGoalMs"`
	Priority      int    `json:"priority"`
	Attempts      int    `json:"attempts"`
}

func (w *world) configure(version int, routes ...routeDocument) error {
	services := map[string]any{}
	for _, r := range routes {
		services[r.Service] = map[string]any{"healthPath": "/health", "maxConns": 2000}
	}
	document, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services, "limits": map[string]any{"idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	w.store.put("op/config", document)
	w.record("operator writes configuration %d", version)
	return nil
}
