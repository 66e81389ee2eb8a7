package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	region      = "hr-east"
	heartbeat   = 1200 * time.Millisecond
	contact     = 4 * time.Second
	probePeriod = 500 * time.Millisecond
	maxMisses   = 2
	// restartDelay is the time after which a process that has ended is started again.
	restartDelay = 300 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
)

var zones = []string{"hr-east-a", "hr-east-b", "hr-east-c"}

// process is a process that the bed has started.
type process struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// machine is a machine of the deployment. A side machine has an endpoint beside the system's
// process.
type machine struct {
	bed          *bed
	class        string
	name, zone   string
	ip, storeIP  netip.Addr
	turnedAway   atomic.Bool
	service      string
	settings     string
	system       *process
	endpoint     *process
	endpointName string
}

// bed is a small deployment on loopback addresses.
type bed struct {
	dir, key      string
	started       time.Time
	mutex         sync.Mutex
	record        *os.File
	processes     []*process
	network       [2]byte
	base          int
	store         *store
	fronts, sides []*machine
	// firstFronts is the number of fronts at the start of the deployment. Up to three of them are
	// the seeds of all processes. frontCount counts all fronts that have been added.
	firstFronts, frontCount int
	misses                  map[*machine]int
	lines                   []string
	run, templates          map[string]string
	clients                 []*client
}

// Ports are offsets from bed.base, the same on all machines.
const (
	portPackets = iota
	portOutbound
	portReady
	portControl
	portApp
	portStore
	portInternal
)

// hostsPerGroup is the number of addresses of each group: fronts, sides, clients, and the store
// as fronts and as sides reach it.
const hostsPerGroup = 40

func newBed(record string) (*bed, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "flowbed")
	if err != nil {
		return nil, err
	}
	b := &bed{
		dir: dir, key: fmt.Sprint(rand.Uint64()), started: time.Now(), record: file, store: newStore(), misses: map[*machine]int{},
		network: [2]byte{byte(10 + rand.IntN(200)), byte(rand.IntN(250))}, base: 20000 + 20*rand.IntN(400), run: map[string]string{}, templates: map[string]string{},
	}
	if err := b.readDeployFile(); err != nil {
		return nil, err
	}
	return b, nil
}

// listenStore opens the address at which a machine reaches the store. While the store turns the
// machine away, each call gets 503 and nothing is done.
func (m *machine) listenStore() error {
	listener, err := net.Listen("tcp4", m.bed.address(m.storeIP, portStore))
	if err != nil {
		return err
	}
	store := m.bed.store.handler()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if m.turnedAway.Load() {
				reply(w, http.StatusServiceUnavailable, map[string]any{"error": "busy"})
				return
			}
			store.ServeHTTP(w, r)
		}))
	}()
	return nil
}

// readDeployFile takes the command and the settings template of each role.
func (b *bed) readDeployFile() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	for _, part := range strings.Split(string(deploy), "[roles.")[1:] {
		value := func(name string) string {
			found := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"`).FindStringSubmatch(part)
			if found == nil {
				return ""
			}
			return found[1]
		}
		template, err := os.ReadFile(value("template"))
		if err != nil {
			return err
		}
		b.run[value("on")], b.templates[value("on")] = value("run"), string(template)
	}
	return nil
}

func (b *bed) ip(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.network[0], b.network[1], byte(group*hostsPerGroup + n)})
}

func (b *bed) port(offset int) uint16 { return uint16(b.base + offset) }

func (b *bed) address(ip netip.Addr, offset int) string {
	return netip.AddrPortFrom(ip, b.port(offset)).String()
}

// log writes a line to the record.
func (b *bed) log(format string, args ...any) {
	b.line(fmt.Sprintf("%8.3f %s", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...)))
}

func (b *bed) line(line string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lines = append(b.lines, line)
	fmt.Fprintln(b.record, line)
}

// seen reports whether a line of the record contains all parts.
func (b *bed) seen(parts ...string) bool { return b.count(parts...) > 0 }

func (b *bed) count(parts ...string) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	found := 0
	for _, line := range b.lines {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			found++
		}
	}
	return found
}

// await waits until check holds.
func (b *bed) await(what string, timeout time.Duration, check func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if check() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", what, timeout)
}

// render fills a settings template with the fields of a machine's settings.
func (b *bed) render(m *machine) (string, error) {
	seeds := []string{}
	for n := range min(b.firstFronts, 3) {
		seeds = append(seeds, b.address(b.ip(1, n+1), portControl))
	}
	fields := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": region, "ip": m.ip.String(), "internalPorts.0": fmt.Sprint(b.port(portInternal)),
		"listen.packets": b.address(m.ip, portPackets), "listen.ready": b.address(m.ip, portReady),
		"listen.control": b.address(m.ip, portControl), "listen.outbound": b.address(m.ip, portOutbound),
		"platform.address": b.address(m.storeIP, portStore), "seeds": strings.Join(seeds, ","), "bounds.graceS": "6",
		"limits.linkMbps": "1000.0", "bounds.maxFlowS": "60", "service": m.service, "app": b.address(m.ip, portApp),
		"heartbeatMs": fmt.Sprint(heartbeat.Milliseconds()),
	}
	missing := ""
	text := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(b.templates[m.class], func(place string) string {
		value, ok := fields[strings.Trim(place, "{}")]
		if !ok {
			missing = place
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("the settings template has the unknown placeholder %s", missing)
	}
	return text, nil
}

func (b *bed) addFront(zone string) *machine {
	b.frontCount++
	n := b.frontCount
	m := &machine{bed: b, class: "front", name: fmt.Sprintf("front-%d", n), zone: zone, ip: b.ip(1, n), storeIP: b.ip(4, n)}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fronts = append(b.fronts, m)
	return m
}

func (b *bed) addSide(zone, service string) *machine {
	n := len(b.sides) + 1
	m := &machine{bed: b, class: "side", name: fmt.Sprintf("side-%d", n), zone: zone, ip: b.ip(2, n), storeIP: b.ip(5, n), service: service}
	b.sides = append(b.sides, m)
	return m
}

// startSystem starts the system's process of a machine with the command of the deploy file.
func (m *machine) startSystem() error {
	text, err := m.bed.render(m)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(m.bed.dir, m.name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if m.system == nil {
		if err := m.listenStore(); err != nil {
			return err
		}
	}
	words := strings.Fields(m.bed.run[m.class])
	m.system, err = m.bed.start(m.name, words, []string{"ORIOLEDYKE_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + m.bed.dir}, nil)
	m.bed.log("%s: process started", m.name)
	return err
}

// startEndpoint starts the endpoint of a side machine. Its lines go to the record.
func (m *machine) startEndpoint(work time.Duration) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	m.endpointName = fmt.Sprintf("i-%s-%04x", m.name, rand.IntN(1<<16))
	m.endpoint, err = m.bed.start(m.endpointName, []string{
		program, "endpoint", "-app", m.bed.address(m.ip, portApp), "-outbound", m.bed.address(m.ip, portOutbound),
		"-control", m.bed.address(m.ip, portControl), "-id", m.endpointName, "-service", m.service, "-zone", m.zone, "-key", m.bed.key,
		"-beat", heartbeat.String(), "-work", work.String(),
	}, nil, func(line string) { m.bed.log("%s", line[strings.Index(line, " ")+1:]) })
	return err
}

// start starts a process. Its output goes to a file of its own, or line by line to output.
func (b *bed) start(name string, words, environment []string, output func(string)) (*process, error) {
	command := exec.Command(words[0], words[1:]...)
	command.Env = environment
	log, err := os.OpenFile(filepath.Join(b.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command.Stdout, command.Stderr = log, log
	var pipe io.ReadCloser
	if output != nil {
		command.Stdout = nil
		if pipe, err = command.StdoutPipe(); err != nil {
			return nil, err
		}
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, exited: make(chan struct{})}
	b.mutex.Lock()
	b.processes = append(b.processes, p)
	b.mutex.Unlock()
	go func() {
		if pipe != nil {
			for scanner := bufio.NewScanner(pipe); scanner.Scan(); {
				output(scanner.Text())
			}
		}
		_ = command.Wait()
		close(p.exited)
	}()
	return p, nil
}

// stopSystem ends the system's process as the platform does: SIGTERM, and SIGKILL after
// stopGrace.
func (m *machine) stopSystem() {
	m.bed.log("%s: SIGTERM", m.name)
	m.system.signal(syscall.SIGTERM)
	select {
	case <-m.system.exited:
	case <-time.After(stopGrace):
		m.system.kill()
	}
	m.bed.log("%s: process ended", m.name)
}

// leave stops fronts for good, all at the same time, and returns when they have ended.
func (b *bed) leave(fronts []*machine) {
	var ended sync.WaitGroup
	for _, m := range fronts {
		ended.Add(1)
		go func() {
			defer ended.Done()
			m.stopSystem()
		}()
	}
	ended.Wait()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.fronts = slices.DeleteFunc(slices.Clone(b.fronts), func(m *machine) bool { return slices.Contains(fronts, m) })
}

// close ends all processes that the bed has started and removes its folder.
func (b *bed) close() {
	b.mutex.Lock()
	processes := append([]*process{}, b.processes...)
	b.mutex.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
	_ = b.record.Close()
}

func (b *bed) frontList() []*machine {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]*machine{}, b.fronts...)
}

// probe keeps track of which fronts are in rotation.
func (b *bed) probe() {
	client := &http.Client{Timeout: probePeriod}
	for {
		for _, m := range b.frontList() {
			go func() {
				miss := 1
				if response, err := client.Get("http://" + b.address(m.ip, portReady) + "/orioledyke/ready"); err == nil {
					if response.StatusCode == http.StatusOK {
						miss = 0
					}
					response.Body.Close()
				}
				b.mutex.Lock()
				defer b.mutex.Unlock()
				b.misses[m] = (b.misses[m] + miss) * miss
			}()
		}
		time.Sleep(probePeriod)
	}
}

// route returns the front that gets a packet of a client in a zone.
func (b *bed) route(zone string, hash uint32) *machine {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	nodes := func(of func(string) bool) (all, ready []*machine) {
		for _, m := range b.fronts {
			if of(m.zone) {
				all = append(all, m)
				if misses, probed := b.misses[m]; probed && misses < maxMisses {
					ready = append(ready, m)
				}
			}
		}
		return all, ready
	}
	all, ready := nodes(func(z string) bool { return z == zone })
	switch {
	case len(ready) == 0:
		if _, others := nodes(func(string) bool { return true }); len(others) > 0 {
			ready = others
		} else {
			ready = all
		}
	case 2*len(ready) < len(all):
		ready = all
	}
	return ready[hash%uint32(len(ready))]
}
