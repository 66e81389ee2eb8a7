package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/orioledyke/orioledyke/internal/standin/client"
	"github.com/orioledyke/orioledyke/internal/standin/upstream"
	"github.com/samber/oops"
)

const (
	// proveServiceTime makes 21 slots serve 175 bookings a second, so that a surge
	// of clients on one machine is an overload.
	proveServiceTime = 120 * time.Millisecond
	// numbersPerRound separates the numbers of the rounds' requests.
	numbersPerRound = 1_000_000
	// finishLimit bounds the time that clients need after their duration.
	finishLimit = 15 * time.Second
	// stopLimit is the longest graceful stop of the design: a balancer waits up
	// to 30 s for the fabric.
	stopLimit = 35 * time.Second
	// settleTime lets the members that a round changed become known.
	settleTime = time.Second

	proveLoss        = 0.002
	proveDuplication = 0.01
	proveReordering  = 0.02
)

// ordinaryLoad is the load of a round, which leaves room for one upstream less
// in each service.
var ordinaryLoad = loadOptions{bookingRate: 30, weighInRate: 20, boardRate: 5}

// ProveConfig configures a proof.
type ProveConfig struct {
	// Binaries is the directory of orioledyke and orioledyke-standin.
	Binaries string
	// Out receives the logs.
	Out  string
	Seed uint64
	// Output receives the progress and the rows.
	Output io.Writer
	// Only is the name of the only round to run; all run if it is empty.
	Only string
}

// proof is one run of the system through failures.
type proof struct {
	*system
	config    ProveConfig
	watcher   *watcher
	evidence  evidence
	upstreams []upstreamHost
	// current are the sidecar processes and addresses of each upstream.
	current []upstreamHost
	rounds  int
	// planned receives the results of graceful stops that are still going on.
	planned  []pendingStop
	variants int64
	// revision is the last one that an operator wrote.
	revision uint64
	started  time.Time
}

type pendingStop struct {
	process *process
	began   time.Time
}

// Prove runs the system through failures under load and prints one row for each
// invariant. It returns an error if one does not hold. No process that it started
// is left then.
func Prove(ctx context.Context, config ProveConfig) error {
	s, remove, err := newSystem(systemConfig{
		binaries: config.Binaries, logs: filepath.Join(config.Out, "prove-logs"), seed: config.Seed,
		loss: proveLoss, duplication: proveDuplication, reordering: proveReordering,
		serviceTime: proveServiceTime,
	})
	if err != nil {
		return err
	}
	defer remove()
	p := &proof{
		system: s, config: config, upstreams: slices.Clone(s.layout.upstreams),
		current: slices.Clone(s.layout.upstreams), started: time.Now(),
	}
	// This is for a panic; otherwise nothing is left to stop.
	defer s.processes.stop(stopTimeouts)
	err = p.execute(ctx)
	for _, fault := range s.processes.stop(stopTimeouts) {
		p.print("prove: %s", fault)
	}
	if ctx.Err() != nil {
		return errors.New("interrupted; all processes were ended")
	}
	if err != nil {
		return err
	}
	points := p.evidence.points()
	for _, row := range points {
		p.print("%s", row)
	}
	line, failed := summary(points)
	p.print("%s", line)
	if failed > 0 {
		return fmt.Errorf("%d points failed; logs are in %s", failed, s.config.logs)
	}
	return nil
}

func (p *proof) print(format string, values ...any) {
	_, _ = fmt.Fprintf(p.config.Output, format+"\n", values...)
}

// step prints what is done now.
func (p *proof) step(format string, values ...any) {
	p.print("prove: time=%.1fs %s", time.Since(p.started).Seconds(), fmt.Sprintf(format, values...))
}

func (p *proof) execute(ctx context.Context) error {
	if err := p.files.write(p.layout); err != nil {
		return err
	}
	if err := p.system.start(ctx); err != nil {
		return err
	}
	p.step("ready: %d balancers, %d sidecars", balancerCount, upstreamCount)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	p.watcher = p.watch(watching)
	for _, part := range p.parts() {
		if p.config.Only != "" && p.config.Only != part.name {
			continue
		}
		if err := p.runPart(ctx, part); err != nil {
			return oops.Wrapf(err, "round %s", part.name)
		}
	}
	cancel()
	p.evidence.revisions = p.watcher.verdict(p.layout)
	return p.count(ctx)
}

// part is what is done to the system under the load of one round.
type part struct {
	name     string
	done     string
	planned  bool
	duration time.Duration
	load     loadOptions
	disturb  func(ctx context.Context, r *round) error
	// after runs once the clients have ended.
	after func(ctx context.Context, r *round) error
}

func (p *proof) runPart(ctx context.Context, part part) error {
	p.step("round %s: %s", part.name, part.done)
	r := &round{name: part.name, done: part.done, planned: part.planned, unclaimed: map[uint64]bool{}}
	before, err := p.interrupted(ctx)
	if err != nil {
		return err
	}
	load := part.load
	load.duration = part.duration
	load.firstNumber = uint64(p.rounds)*numbersPerRound + 1
	p.rounds++
	loading, cancel := context.WithTimeout(ctx, part.duration+finishLimit)
	defer cancel()
	c, err := p.startClients(loading, "client-"+part.name, load)
	if err != nil {
		return err
	}
	disturbed := make(chan error, 1)
	final := make(chan error, 1)
	go func() { final <- c.follow(&r.report) }()
	go func() { disturbed <- part.disturb(ctx, r) }()
	if err := errors.Join(<-disturbed, <-final); err != nil {
		return err
	}
	if part.after != nil {
		if err := part.after(ctx, r); err != nil {
			return err
		}
	}
	if err := p.awaitStops(ctx); err != nil {
		return err
	}
	after, err := p.interrupted(ctx)
	if err != nil {
		return err
	}
	r.interrupted = after - before
	p.evidence.rounds = append(p.evidence.rounds, *r)
	t := r.report.Total()
	p.step("round %s: requests=%d completed=%d not-run=%d unknown=%d refusals=%d repeats=%d interrupted=%d broken-boards=%v unclaimed=%d reasons=%v", part.name,
		t.Requests, t.Completed, t.NotRun, t.Unknown, t.Refusals, t.Repeats, r.interrupted, r.report.BrokenBoards, len(r.unclaimed), r.report.Reasons)
	return p.checkExits()
}

// follow reads reports until the final one.
func (c *clients) follow(report *client.Report) error {
	for one := range c.reports {
		if one.Final {
			*report = one
			c.process.stopping = true
			return nil
		}
	}
	return errors.New("the clients ended without a final report:\n" + tail(c.process.logPath))
}

// checkExits reports a process that ended although nobody told it to.
func (p *proof) checkExits() error {
	for {
		select {
		case one := <-p.processes.exits:
			if !one.stopping {
				return one.failure()
			}
		default:
			return nil
		}
	}
}

// endGracefully sends SIGTERM. The result is judged by awaitStops.
func (p *proof) endGracefully(one *process) {
	one.terminate()
	p.planned = append(p.planned, pendingStop{process: one, began: time.Now()})
}

// awaitStops waits for every graceful stop and notes how it ended.
func (p *proof) awaitStops(ctx context.Context) error {
	for _, s := range p.planned {
		if err := p.awaitStop(ctx, s); err != nil {
			return err
		}
	}
	p.planned = nil
	return nil
}

func (p *proof) awaitStop(ctx context.Context, s pendingStop) error {
	limit, cancel := context.WithDeadline(ctx, s.began.Add(stopLimit+finishLimit))
	defer cancel()
	result := stop{name: s.process.name}
	if !s.process.endsBefore(limit) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.process.kill()
		<-s.process.ended
		result.fault = "did not end by itself"
	} else if s.process.err != nil {
		result.fault = s.process.err.Error()
	}
	p.evidence.stops = append(p.evidence.stops, result)
	return nil
}

// activity asks one upstream.
func activity(ctx context.Context, u upstreamHost) (upstream.Activity, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var a upstream.Activity
	return a, oops.Wrapf(get(ctx, "http://"+u.upstream.String()+"/admin/activity", &a), "activity of %s", u.name)
}

// interrupted returns the sum over all upstreams.
func (p *proof) interrupted(ctx context.Context) (int, error) {
	sum := 0
	for _, u := range p.upstreams {
		a, err := activity(ctx, u)
		if err != nil {
			return 0, err
		}
		sum += a.Interrupted
	}
	return sum, nil
}

// count asks all upstreams for the runs and the foreign requests.
func (p *proof) count(ctx context.Context) error {
	p.evidence.runs = map[uint64]int{}
	for _, u := range p.upstreams {
		a, err := activity(ctx, u)
		if err != nil {
			return err
		}
		p.evidence.foreign += a.Misrouted
	}
	all, err := p.runs(ctx)
	if err != nil {
		return err
	}
	for _, one := range all {
		for number, times := range one.Runs {
			p.evidence.runs[number] += times
		}
	}
	return nil
}

// departed notes when an upstream got its last new work after it began to leave.
func (p *proof) departed(ctx context.Context, u upstreamHost, began clock.Millis) error {
	a, err := activity(ctx, u)
	if err != nil {
		return err
	}
	d := departure{name: u.name, last: -1}
	if a.Arrivals > 0 {
		d.last = p.watcher.clock.Now() - a.ArrivalAge - began
	}
	p.evidence.departures = append(p.evidence.departures, d)
	p.step("%s got its last new work %d ms after it began to leave", u.name, d.last)
	return nil
}

// unclaim notes the boards that an upstream serves: they may break with its
// sidecar.
func (p *proof) unclaim(ctx context.Context, r *round, u upstreamHost) error {
	a, err := activity(ctx, u)
	if err != nil {
		return err
	}
	for _, number := range a.OpenBoards {
		r.unclaimed[number] = true
	}
	return nil
}

// sleep waits for the next step of a round.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
