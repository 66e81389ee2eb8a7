// Package demo starts the whole system as separate processes on one machine,
// disturbs it under load and evaluates what the clients and upstreams observed.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"github.com/orioledyke/orioledyke/internal/standin/client"
)

const (
	productBinary = "orioledyke"
	standinBinary = "orioledyke-standin"
	clientName    = "client"

	readyTimeout = 30 * time.Second
	// removalDelay is how long the fabric keeps sending to a killed balancer.
	removalDelay = time.Second
)

// stopTimeouts limits the graceful stop of each stage. The first timeout is longer
// than a client needs to close its flows, and the second is longer than a sidecar
// needs to finish its last requests. The third is longer than the 2 s without a
// datagram after which a leaving balancer exits.
var stopTimeouts = [stageCount]time.Duration{
	clientStage:  3 * time.Second,
	sidecarStage: 10 * time.Second,
	otherStage:   5 * time.Second,
}

// Config configures a run of the demo.
type Config struct {
	// Binaries is the directory that contains orioledyke and orioledyke-standin.
	Binaries string
	// Out is the directory of the trace file and the logs.
	Out      string
	Duration time.Duration
	// BookingRate, WeighInRate and BoardRate are in requests per second.
	BookingRate float64
	WeighInRate float64
	BoardRate   float64
	// Loss is the fraction of datagrams that the fabric loses, from 0 to 1.
	Loss float64
	Seed uint64
	// Output receives the progress lines and the outcome.
	Output io.Writer
}

// run is one run of the demo.
type run struct {
	*system
	config Config
}

// Run runs the demo. It returns an error if the run fails, if no request completes
// or if an invariant does not hold. When it returns, every process that it started
// has ended.
func Run(ctx context.Context, config Config) error {
	system, cleanUp, err := newSystem(systemConfig{
		binaries: config.Binaries, logs: filepath.Join(config.Out, "demo-logs"), seed: config.Seed, loss: config.Loss,
	})
	if err != nil {
		return err
	}
	defer cleanUp()
	r := &run{config: config, system: system}
	observed, err := r.execute(ctx)
	r.stop()
	err = errors.Join(err, r.files.mergeTraces(r.layout, filepath.Join(config.Out, "demo-trace.json")))
	if ctx.Err() != nil {
		return errors.New("interrupted; all processes have been stopped")
	}
	if err != nil {
		return err
	}
	r.print("%s", observed)
	if !observed.passed() {
		return fmt.Errorf("no request completed or an invariant does not hold; logs are in %s", system.config.logs)
	}
	return nil
}

func (r *run) print(format string, values ...any) {
	_, _ = fmt.Fprintf(r.config.Output, format+"\n", values...)
}

// execute starts all processes, runs the load and returns the outcome.
func (r *run) execute(ctx context.Context) (outcome, error) {
	if err := r.files.write(r.layout); err != nil {
		return outcome{}, err
	}
	if err := r.system.start(ctx); err != nil {
		return outcome{}, err
	}
	r.print("demo: ready: %d balancers, %d sidecars, %d data centres", balancerCount, upstreamCount, len(dataCentres))
	counts, err := r.load(ctx)
	if err != nil {
		return outcome{}, err
	}
	runs, err := r.bookingRuns(ctx)
	if err != nil {
		return outcome{}, err
	}
	return newOutcome(counts, runs), nil
}

// load runs the clients, disturbs the system half-way through and returns the
// final counts.
func (r *run) load(ctx context.Context) (client.Counts, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clients, err := r.startClients(ctx, clientName, loadOptions{
		duration: r.config.Duration, bookingRate: r.config.BookingRate, weighInRate: r.config.WeighInRate,
		boardRate: r.config.BoardRate, firstNumber: 1,
	})
	if err != nil {
		return client.Counts{}, err
	}
	return r.follow(ctx, clients.process, clients.reports)
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
			if err := r.removeBalancer(ctx, r.layout.balancers[0]); err != nil {
				return client.Counts{}, err
			}
			r.print("demo: removed %s from the fabric", r.layout.balancers[0].name)
		case p := <-r.processes.exits:
			// When the client process ends, reports is closed. The case that receives
			// from reports handles this.
			if !p.stopping && p != clients {
				return client.Counts{}, p.failure()
			}
		}
	}
}

// disturb kills a balancer. At the same moment it drains an upstream and stops
// the sidecar of that upstream.
func (r *run) disturb(ctx context.Context) error {
	r.balancers[0].kill()
	r.print("demo: killed %s", r.balancers[0].name)
	drained := r.layout.upstreams[0]
	if err := setDrain(ctx, drained, true); err != nil {
		return err
	}
	r.sidecars[0].terminate()
	r.print("demo: drained %s-upstream and stopped %s", drained.name, r.sidecars[0].name)
	return nil
}

func (r *run) stop() {
	for _, fault := range r.processes.stop(stopTimeouts) {
		r.print("demo: %s", fault)
	}
}
