package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/orioledyke/orioledyke/internal/standin/client"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
	"github.com/samber/oops"
)

// systemConfig configures a system.
type systemConfig struct {
	binaries string
	logs     string
	seed     uint64
	// loss, duplication and reordering are fractions of the fabric's datagrams.
	loss        float64
	duplication float64
	reordering  float64
	// serviceTime is the service time of the upstreams. If it is 0, they use the
	// default of the stand-in.
	serviceTime time.Duration
}

// system is the whole system as separate processes on one machine.
type system struct {
	config    systemConfig
	layout    *layout
	files     files
	processes *processes
	balancers []*process
	sidecars  []*process
}

// newSystem prepares the logs, the addresses and a temporary directory. The
// returned function removes the temporary directory.
func newSystem(config systemConfig) (*system, func(), error) {
	if err := os.RemoveAll(config.logs); err != nil {
		return nil, nil, oops.Wrap(err)
	}
	if err := os.MkdirAll(config.logs, 0o755); err != nil {
		return nil, nil, oops.Wrap(err)
	}
	l, err := newLayout()
	if err != nil {
		return nil, nil, err
	}
	directory, err := os.MkdirTemp("", "orioledyke-demo-")
	if err != nil {
		return nil, nil, oops.Wrap(err)
	}
	s := &system{config: config, layout: l, files: files{directory: directory}, processes: newProcesses(config.binaries, config.logs)}
	return s, func() { _ = os.RemoveAll(directory) }, nil
}

func (s *system) platformURL() string { return "http://" + s.layout.platform.String() }

// start starts all processes but the clients and waits until each one is ready.
func (s *system) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	platform, err := s.processes.start(otherStage, "platform", nil, standinBinary, "platform", "--listen", s.layout.platform.String())
	if err != nil {
		return err
	}
	if err := platform.waitReady(ctx, "http://"+s.layout.platform.String()+"/admin/counts"); err != nil {
		return err
	}
	if err := s.processes.run(ctx, "contract-put", productBinary, "contract", "put", s.files.contract(), "--platform", s.platformURL()); err != nil {
		return err
	}
	ready := map[*process]string{}
	if err := s.startHosts(ready); err != nil {
		return err
	}
	for p, url := range ready {
		if err := p.waitReady(ctx, url); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts the balancers, upstreams, sidecars and the fabric. For each of
// these processes, it adds to ready the URL that shows whether the process is ready.
func (s *system) startHosts(ready map[*process]string) error {
	for _, b := range s.layout.balancers {
		p, err := s.startBalancer(b, b.name)
		if err != nil {
			return err
		}
		s.balancers = append(s.balancers, p)
		ready[p] = readyURL(b)
	}
	for i, u := range s.layout.upstreams {
		p, err := s.startUpstream(u, uint64(i))
		if err != nil {
			return err
		}
		ready[p] = "http://" + u.upstream.String() + "/admin/ready"
		if p, err = s.startSidecar(u, u.name+"-sidecar"); err != nil {
			return err
		}
		s.sidecars = append(s.sidecars, p)
		ready[p] = readyURL(u.host)
	}
	p, err := s.processes.start(otherStage, "fabric", nil, standinBinary, s.fabricArguments()...)
	if err != nil {
		return err
	}
	ready[p] = "http://" + s.layout.fabricAdmin.String() + "/ready"
	return nil
}

// readyURL returns the URL that shows whether a balancer or sidecar is ready.
func readyURL(h host) string { return "http://" + h.observe.String() + "/ready" }

// startBalancer starts a balancer, whose log has the given name.
func (s *system) startBalancer(b host, name string) (*process, error) {
	return s.processes.start(otherStage, name, nil, productBinary, "balancer", "--settings", s.files.settings(b))
}

// startSidecar starts a sidecar, whose log has the given name.
func (s *system) startSidecar(u upstreamHost, name string) (*process, error) {
	return s.processes.start(sidecarStage, name, nil, productBinary, "sidecar", "--settings", s.files.settings(u.host))
}

// startUpstream starts an upstream, whose seed is the seed of the system plus
// seedOffset.
func (s *system) startUpstream(u upstreamHost, seedOffset uint64) (*process, error) {
	arguments := []string{
		"upstream", "--trace-file", s.files.trace(u.upstreamName()),
		"--listen", u.upstream.String(), "--service", u.service, "--slots", strconv.Itoa(slotsPerUpstream),
		"--seed", strconv.FormatUint(s.config.seed+seedOffset, 10),
	}
	if s.config.serviceTime > 0 {
		arguments = append(arguments, "--service-time", s.config.serviceTime.String())
	}
	return s.processes.start(otherStage, u.upstreamName(), nil, standinBinary, arguments...)
}

func (s *system) fabricArguments() []string {
	arguments := []string{
		"fabric", "--entry", s.layout.entry.String(), "--admin", s.layout.fabricAdmin.String(),
		"--port", strconv.Itoa(int(s.layout.growerPortalPort)), "--port", strconv.Itoa(int(s.layout.weighbridgePort)),
		"--seed", strconv.FormatUint(s.config.seed, 10), "--loss", formatRate(s.config.loss),
		"--duplication", formatRate(s.config.duplication), "--reordering", formatRate(s.config.reordering),
	}
	for _, b := range s.layout.balancers {
		arguments = append(arguments, "--balancer", b.address.String())
	}
	return arguments
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', -1, 64) }

// loadOptions are the options of one client process. Its rates are in requests per
// second.
type loadOptions struct {
	duration    time.Duration
	bookingRate float64
	weighInRate float64
	boardRate   float64
	// firstNumber is the number of the first request.
	firstNumber uint64
}

// clients is the process that generates the load of all clients.
type clients struct {
	process *process
	// reports is closed when the process has ended or its reports are no longer read.
	reports <-chan client.Report
}

// startClients starts the client process, whose log has the given name. Its
// reports are read until ctx ends.
func (s *system) startClients(ctx context.Context, name string, o loadOptions) (*clients, error) {
	reader, writer := io.Pipe()
	p, err := s.processes.start(clientStage, name, writer, standinBinary,
		"client", "--trace-file", s.files.trace(name), "--certificate-file", s.files.certificate(), "--server-name", certificateName,
		"--grower-portal", fmt.Sprintf("%s:%d", s.layout.entry, s.layout.growerPortalPort),
		"--weighbridge", fmt.Sprintf("%s:%d", s.layout.entry, s.layout.weighbridgePort),
		"--duration", o.duration.String(), "--seed", strconv.FormatUint(s.config.seed, 10),
		"--first-number", strconv.FormatUint(o.firstNumber, 10),
		"--booking-rate", formatRate(o.bookingRate), "--weigh-in-rate", formatRate(o.weighInRate),
		"--board-rate", formatRate(o.boardRate))
	if err != nil {
		return nil, err
	}
	reports := make(chan client.Report)
	go func() {
		// ended is closed only after all output of the process has been read.
		<-p.ended
		_ = writer.Close()
	}()
	go func() {
		defer close(reports)
		// Closing the reader lets a process that is still writing end.
		defer reader.Close()
		for decoder := json.NewDecoder(reader); ; {
			var report client.Report
			if err := decoder.Decode(&report); err != nil {
				return
			}
			select {
			case reports <- report:
			case <-ctx.Done():
				return
			}
		}
	}()
	return &clients{process: p, reports: reports}, nil
}

func (s *system) balancerURL(b host) string {
	return fmt.Sprintf("http://%s/balancers/%s", s.layout.fabricAdmin, b.address)
}

// removeBalancer makes the fabric stop sending datagrams to a balancer.
func (s *system) removeBalancer(ctx context.Context, b host) error {
	return expectNoContent(ctx, http.MethodDelete, s.balancerURL(b))
}

// addBalancer makes the fabric send a balancer its share of the datagrams.
func (s *system) addBalancer(ctx context.Context, b host) error {
	return expectNoContent(ctx, http.MethodPut, s.balancerURL(b))
}

// setDrain starts or ends the drain of an upstream.
func setDrain(ctx context.Context, u upstreamHost, on bool) error {
	method := http.MethodDelete
	if on {
		method = http.MethodPut
	}
	return expectNoContent(ctx, method, "http://"+u.upstream.String()+"/admin/drain")
}

// expectNoContent sends a request and returns an error unless the response status
// is 204.
func expectNoContent(ctx context.Context, method, url string) error {
	status, err := requestStatus(ctx, method, url)
	if err != nil {
		return oops.Wrap(err)
	}
	if status != http.StatusNoContent {
		return oops.Code("admin-failed").Errorf("%s %s: status %d", method, url, status)
	}
	return nil
}

// bookingRuns returns how often each upstream ran each booking.
func (s *system) bookingRuns(ctx context.Context) ([]upstream.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var all []upstream.Runs
	for _, u := range s.layout.upstreams {
		var r upstream.Runs
		if err := getJSON(ctx, "http://"+u.upstream.String()+"/admin/runs", &r); err != nil {
			return nil, oops.Wrapf(err, "runs of %s", u.name)
		}
		all = append(all, r)
	}
	return all, nil
}

// getJSON decodes the JSON document at a URL into value.
func getJSON(ctx context.Context, url string, value any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(value)
}
