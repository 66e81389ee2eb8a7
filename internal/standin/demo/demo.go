// Package demo starts the whole system as separate processes on one machine,
// disturbs it under load and evaluates what clients and upstreams saw.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/orioledyke/orioledyke/internal/standin/client"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
	"github.com/samber/oops"
)

const (
	productBinary = "orioledyke"
	standinBinary = "orioledyke-standin"
	clientName    = "client"

	readyTimeout = 30 * time.Second
	// removalDelay is how long the fabric keeps sending to the killed balancer.
	removalDelay = time.Second
)

// stopTimeouts are longer than a client needs to close its flows, a sidecar to
// end its last requests, and a balancer to see no datagram for 2 s.
var stopTimeouts = [stageCount]time.Duration{
	clientStage:  3 * time.Second,
	sidecarStage: 10 * time.Second,
	otherStage:   5 * time.Second,
}

// Config configures a run.
type Config struct {
	// Binaries is the directory of orioledyke and orioledyke-standin.
	Binaries string
	// Out receives the trace file and the logs.
	Out         string
	Duration    time.Duration
	BookingRate float64
	WeighInRate float64
	BoardRate   float64
	// Loss is the rate of datagrams that the fabric loses, from 0 to 1.
	Loss float64
	Seed uint64
	// Output receives the progress and the outcome.
	Output io.Writer
}

// run is one run of the demo.
type run struct {
	config    Config
	layout    *layout
	files     files
	processes *processes
	balancers []*process
	sidecars  []*process
}

// Run runs the demo. It returns an error if the run failed or its outcome is not
// what it must be. No process that it started is left then.
func Run(ctx context.Context, config Config) error {
	logs := filepath.Join(config.Out, "demo-logs")
	if err := os.RemoveAll(logs); err != nil {
		return oops.Wrap(err)
	}
	if err := os.MkdirAll(logs, 0o755); err != nil {
		return oops.Wrap(err)
	}
	directory, err := os.MkdirTemp("", "orioledyke-demo-")
	if err != nil {
		return oops.Wrap(err)
	}
	defer os.RemoveAll(directory)
	l, err := newLayout()
	if err != nil {
		return err
	}
	r := &run{config: config, layout: l, files: files{directory: directory}, processes: newProcesses(config.Binaries, logs)}
	result, err := r.execute(ctx)
	r.stop()
	err = errors.Join(err, r.files.mergeTraces(l, filepath.Join(config.Out, "demo-trace.json")))
	if ctx.Err() != nil {
		return errors.New("interrupted; all processes were ended")
	}
	if err != nil {
		return err
	}
	r.print("%s", result)
	if !result.passed() {
		return fmt.Errorf("outcome is not what it must be; logs are in %s", logs)
	}
	return nil
}

func (r *run) print(format string, values ...any) {
	_, _ = fmt.Fprintf(r.config.Output, format+"\n", values...)
}

// execute starts everything, runs the load and returns its outcome.
func (r *run) execute(ctx context.Context) (outcome, error) {
	if err := r.files.write(r.layout); err != nil {
		return outcome{}, err
	}
	if err := r.startSystem(ctx); err != nil {
		return outcome{}, err
	}
	r.print("demo: ready: %d balancers, %d sidecars, %d data centres", balancerCount, upstreamCount, len(dataCentres))
	counts, err := r.load(ctx)
	if err != nil {
		return outcome{}, err
	}
	runs, err := r.runs(ctx)
	if err != nil {
		return outcome{}, err
	}
	return newOutcome(counts, runs), nil
}

func (r *run) startSystem(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	platform, err := r.processes.start(otherStage, "platform", nil, standinBinary, "platform", "--listen", r.layout.platform.String())
	if err != nil {
		return err
	}
	if err := platform.waitReady(ctx, "http://"+r.layout.platform.String()+"/admin/counts"); err != nil {
		return err
	}
	if err := r.processes.run(ctx, "contract-put", productBinary, "contract", "put", r.files.contract(),
		"--platform", "http://"+r.layout.platform.String()); err != nil {
		return err
	}
	ready := map[*process]string{}
	if err := r.startHosts(ready); err != nil {
		return err
	}
	for p, url := range ready {
		if err := p.waitReady(ctx, url); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts balancers, upstreams, sidecars and the fabric, and notes the
// URL that shows their readiness.
func (r *run) startHosts(ready map[*process]string) error {
	for _, b := range r.layout.balancers {
		p, err := r.processes.start(otherStage, b.name, nil, productBinary, "balancer", "--settings", r.files.settings(b))
		if err != nil {
			return err
		}
		r.balancers = append(r.balancers, p)
		ready[p] = "http://" + b.observe.String() + "/ready"
	}
	for i, u := range r.layout.upstreams {
		p, err := r.processes.start(otherStage, u.upstreamName(), nil, standinBinary, "upstream", "--trace-file", r.files.traceOf(u.upstreamName()),
			"--listen", u.upstream.String(), "--service", u.service, "--slots", strconv.Itoa(slotsPerUpstream),
			"--seed", strconv.FormatUint(r.config.Seed+uint64(i), 10))
		if err != nil {
			return err
		}
		ready[p] = "http://" + u.upstream.String() + "/admin/ready"
		if p, err = r.processes.start(sidecarStage, u.name+"-sidecar", nil, productBinary, "sidecar", "--settings", r.files.settings(u.host)); err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, p)
		ready[p] = "http://" + u.observe.String() + "/ready"
	}
	p, err := r.processes.start(otherStage, "fabric", nil, standinBinary, r.fabricArguments()...)
	if err != nil {
		return err
	}
	ready[p] = "http://" + r.layout.fabricAdmin.String() + "/ready"
	return nil
}

func (r *run) fabricArguments() []string {
	arguments := []string{
		"fabric", "--entry", r.layout.entry.String(), "--admin", r.layout.fabricAdmin.String(),
		"--port", strconv.Itoa(int(r.layout.growerPortal)), "--port", strconv.Itoa(int(r.layout.weighbridge)),
		"--seed", strconv.FormatUint(r.config.Seed, 10), "--loss", formatRate(r.config.Loss),
	}
	for _, b := range r.layout.balancers {
		arguments = append(arguments, "--balancer", b.address.String())
	}
	return arguments
}

func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'f', -1, 64) }

// load runs the clients, disturbs the system half-way and returns the final
// counts.
func (r *run) load(ctx context.Context) (client.Counts, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reader, writer := io.Pipe()
	defer reader.Close()
	clients, err := r.processes.start(clientStage, clientName, writer, standinBinary,
		"client", "--trace-file", r.files.traceOf(clientName), "--certificate-file", r.files.certificate(), "--server-name", certificateName,
		"--grower-portal", fmt.Sprintf("%s:%d", r.layout.entry, r.layout.growerPortal),
		"--weighbridge", fmt.Sprintf("%s:%d", r.layout.entry, r.layout.weighbridge),
		"--duration", r.config.Duration.String(), "--seed", strconv.FormatUint(r.config.Seed, 10),
		"--booking-rate", formatRate(r.config.BookingRate), "--weigh-in-rate", formatRate(r.config.WeighInRate),
		"--board-rate", formatRate(r.config.BoardRate))
	if err != nil {
		return client.Counts{}, err
	}
	reports := make(chan client.Report)
	go func() {
		// The process has ended only after all of its output was read.
		<-clients.ended
		_ = writer.Close()
	}()
	go func() {
		defer close(reports)
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
	return r.follow(ctx, clients, reports)
}

func (r *run) follow(ctx context.Context, clients *process, reports <-chan client.Report) (client.Counts, error) {
	halfWay := time.After(r.config.Duration / 2)
	var removal <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return client.Counts{}, ctx.Err()
		case report, ok := <-reports:
			if !ok {
				return client.Counts{}, clients.failure()
			}
			if report.Final {
				return report.Total(), nil
			}
			r.print("%s", progress(report))
		case <-halfWay:
			if err := r.disturb(ctx); err != nil {
				return client.Counts{}, err
			}
			removal = time.After(removalDelay)
		case <-removal:
			if err := r.removeBalancer(ctx); err != nil {
				return client.Counts{}, err
			}
		case p := <-r.processes.exits:
			// The end of the clients shows at the end of their reports.
			if !p.stopping && p != clients {
				return client.Counts{}, p.failure()
			}
		}
	}
}

// disturb kills a balancer and, at the same moment, drains an upstream and stops
// its sidecar.
func (r *run) disturb(ctx context.Context) error {
	r.balancers[0].kill()
	r.print("demo: killed %s", r.balancers[0].name)
	drained := r.layout.upstreams[0]
	if err := expect(ctx, http.MethodPut, "http://"+drained.upstream.String()+"/admin/drain"); err != nil {
		return err
	}
	r.sidecars[0].terminate()
	r.print("demo: drained %s-upstream and stopped %s", drained.name, r.sidecars[0].name)
	return nil
}

func (r *run) removeBalancer(ctx context.Context) error {
	b := r.layout.balancers[0]
	url := fmt.Sprintf("http://%s/balancers/%s", r.layout.fabricAdmin, b.address)
	if err := expect(ctx, http.MethodDelete, url); err != nil {
		return err
	}
	r.print("demo: removed %s from the fabric", b.name)
	return nil
}

// expect sends a request that must be answered with 204.
func expect(ctx context.Context, method, url string) error {
	status, err := request(ctx, method, url)
	if err != nil {
		return oops.Wrap(err)
	}
	if status != http.StatusNoContent {
		return oops.Code("admin-failed").Errorf("%s %s: status %d", method, url, status)
	}
	return nil
}

// runs asks every upstream how often each booking ran.
func (r *run) runs(ctx context.Context) ([]upstream.Runs, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var all []upstream.Runs
	for _, u := range r.layout.upstreams {
		var one upstream.Runs
		if err := get(ctx, "http://"+u.upstream.String()+"/admin/runs", &one); err != nil {
			return nil, oops.Wrapf(err, "runs of %s", u.name)
		}
		all = append(all, one)
	}
	return all, nil
}

// get decodes the JSON at a URL.
func get(ctx context.Context, url string, value any) error {
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

func (r *run) stop() {
	for _, fault := range r.processes.stop(stopTimeouts) {
		r.print("demo: %s", fault)
	}
}
