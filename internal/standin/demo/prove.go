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
	// With proveServiceTime, 21 slots serve 175 bookings a second, so that the
	// clients of one machine can cause an overload.
	proveServiceTime = 120 * time.Millisecond
	// numbersPerRound is the distance between the first request numbers of two
	// rounds. It is so large that no two rounds use the same number.
	numbersPerRound = 1_000_000
	// overrunTolerance is how much longer than expected the clients may run or a
	// graceful stop may take.
	overrunTolerance = 15 * time.Second
	// stopLimit is the longest graceful stop that the design allows. During its stop,
	// a balancer waits up to 30 s for the fabric to stop sending to it.
	stopLimit = 35 * time.Second
	// settleTime is the time in which the members that a round changed become known.
	settleTime = time.Second

	proveLoss        = 0.002
	proveDuplication = 0.01
	proveReordering  = 0.02
)

// ordinaryLoad is a load that each service can carry with one upstream fewer.
var ordinaryLoad = loadOptions{bookingRate: 30, weighInRate: 20, boardRate: 5}

// ProveConfig configures a run of Prove.
type ProveConfig struct {
	// Binaries is the directory that contains orioledyke and orioledyke-standin.
	Binaries string
	// Out is the parent directory of the logs.
	Out  string
	Seed uint64
	// Output receives the progress lines and one row for each point.
	Output io.Writer
	// Only, if not empty, is the name of the one scenario to run.
	Only string
}

// proof is one run of the system through failures.
type proof struct {
	*system
	config    ProveConfig
	watcher   *watcher
	evidence  evidence
	upstreams []upstreamHost
	// current holds the addresses of the current sidecar of each upstream.
	current []upstreamHost
	// rounds is the number of rounds started so far.
	rounds int
	// pendingStops are the graceful stops whose result has not been recorded yet.
	pendingStops []pendingStop
	// lastNumber is the number in the latest log name or contract variant. It
	// increases with each one, so that all of them differ.
	lastNumber int64
	// revision is the last contract revision that an operator wrote.
	revision  uint64
	startedAt time.Time
}

type pendingStop struct {
	process     *process
	requestedAt time.Time
}

// Prove runs the system through failures under load and prints one row for each
// point. It returns an error if a point fails. When it returns, every process that
// it started has ended.
func Prove(ctx context.Context, config ProveConfig) error {
	s, cleanUp, err := newSystem(systemConfig{
		binaries: config.Binaries, logs: filepath.Join(config.Out, "prove-logs"), seed: config.Seed,
		loss: proveLoss, duplication: proveDuplication, reordering: proveReordering,
		serviceTime: proveServiceTime,
	})
	if err != nil {
		return err
	}
	defer cleanUp()
	p := &proof{
		system: s, config: config, upstreams: slices.Clone(s.layout.upstreams),
		current: slices.Clone(s.layout.upstreams), startedAt: time.Now(),
	}
	// If execute panics, this stops the processes. Otherwise they have already ended.
	defer s.processes.stop(stopTimeouts)
	err = p.execute(ctx)
	for _, fault := range s.processes.stop(stopTimeouts) {
		p.print("prove: %s", fault)
	}
	if ctx.Err() != nil {
		return errors.New("interrupted; all processes have been stopped")
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

// step prints the current step with the time since the start.
func (p *proof) step(format string, values ...any) {
	p.print("prove: time=%.1fs %s", time.Since(p.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

func (p *proof) execute(ctx context.Context) error {
	if err := p.files.write(p.layout); err != nil {
		return err
	}
	if err := p.system.start(ctx); err != nil {
		return err
	}
	p.step("ready: %d balancers, %d sidecars", balancerCount, upstreamCount)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.watcher = p.watch(watchCtx)
	for _, s := range p.scenarios() {
		if p.config.Only != "" && p.config.Only != s.name {
			continue
		}
		if err := p.runScenario(ctx, s); err != nil {
			return oops.Wrapf(err, "round %s", s.name)
		}
	}
	cancel()
	p.evidence.revisions = p.watcher.verdict(p.layout)
	return p.collectCounts(ctx)
}

// scenario is a series of changes or failures under the load of one round.
type scenario struct {
	name        string
	description string
	planned     bool
	duration    time.Duration
	load        loadOptions
	disturb     func(ctx context.Context, r *round) error
	// after runs once the clients have ended.
	after func(ctx context.Context, r *round) error
}

func (p *proof) runScenario(ctx context.Context, s scenario) error {
	p.step("round %s: %s", s.name, s.description)
	r := &round{name: s.name, description: s.description, planned: s.planned, excludedBoards: map[uint64]bool{}}
	before, err := p.interruptedRequests(ctx)
	if err != nil {
		return err
	}
	load := s.load
	load.duration = s.duration
	load.firstNumber = uint64(p.rounds)*numbersPerRound + 1
	p.rounds++
	loadCtx, cancel := context.WithTimeout(ctx, s.duration+overrunTolerance)
	defer cancel()
	c, err := p.startClients(loadCtx, "client-"+s.name, load)
	if err != nil {
		return err
	}
	disturbed := make(chan error, 1)
	final := make(chan error, 1)
	go func() { final <- c.follow(&r.report) }()
	go func() { disturbed <- s.disturb(ctx, r) }()
	if err := errors.Join(<-disturbed, <-final); err != nil {
		return err
	}
	if s.after != nil {
		if err := s.after(ctx, r); err != nil {
			return err
		}
	}
	if err := p.awaitStops(ctx); err != nil {
		return err
	}
	after, err := p.interruptedRequests(ctx)
	if err != nil {
		return err
	}
	r.cancelled = after - before
	p.evidence.rounds = append(p.evidence.rounds, *r)
	t := r.report.Total()
	p.step("round %s: requests=%d completed=%d not-run=%d unknown=%d refusals=%d repeats=%d interrupted=%d broken-boards=%v unclaimed=%d reasons=%v", s.name,
		t.Requests, t.Completed, t.NotRun, t.Unknown, t.Refusals, t.Repeats, r.cancelled, r.report.BrokenBoards, len(r.excludedBoards), r.report.Reasons)
	return p.checkExits()
}

// follow reads reports until the final one, which it stores in report. From then on
// the client process is expected to end.
func (c *clients) follow(report *client.Report) error {
	for r := range c.reports {
		if r.Final {
			*report = r
			c.process.stopping = true
			return nil
		}
	}
	return errors.New("the clients ended without a final report:\n" + tail(c.process.logPath))
}

// checkExits returns an error if a process ended without being stopped.
func (p *proof) checkExits() error {
	for {
		select {
		case proc := <-p.processes.exits:
			if !proc.stopping {
				return proc.failure()
			}
		default:
			return nil
		}
	}
}

// endGracefully sends SIGTERM. awaitStops records the result.
func (p *proof) endGracefully(proc *process) {
	proc.terminate()
	p.pendingStops = append(p.pendingStops, pendingStop{process: proc, requestedAt: time.Now()})
}

// awaitStops waits for all pending graceful stops and records their results.
func (p *proof) awaitStops(ctx context.Context) error {
	for _, s := range p.pendingStops {
		if err := p.awaitStop(ctx, s); err != nil {
			return err
		}
	}
	p.pendingStops = nil
	return nil
}

func (p *proof) awaitStop(ctx context.Context, s pendingStop) error {
	stopCtx, cancel := context.WithDeadline(ctx, s.requestedAt.Add(stopLimit+overrunTolerance))
	defer cancel()
	result := gracefulStop{name: s.process.name}
	if !s.process.endsBefore(stopCtx) {
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

// activity returns the activity that an upstream reports.
func activity(ctx context.Context, u upstreamHost) (upstream.Activity, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var a upstream.Activity
	return a, oops.Wrapf(getJSON(ctx, "http://"+u.upstream.String()+"/admin/activity", &a), "activity of %s", u.name)
}

// interruptedRequests returns how many requests have been cancelled at all
// upstreams so far.
func (p *proof) interruptedRequests(ctx context.Context) (int, error) {
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

// collectCounts reads the booking runs and the foreign requests of all upstreams.
func (p *proof) collectCounts(ctx context.Context) error {
	p.evidence.bookingRuns = map[uint64]int{}
	for _, u := range p.upstreams {
		a, err := activity(ctx, u)
		if err != nil {
			return err
		}
		p.evidence.foreignRequests += a.Misrouted
	}
	all, err := p.bookingRuns(ctx)
	if err != nil {
		return err
	}
	for _, r := range all {
		for number, count := range r.Runs {
			p.evidence.bookingRuns[number] += count
		}
	}
	return nil
}

// recordDeparture records when an upstream received its last new work, measured
// from the start of its departure.
func (p *proof) recordDeparture(ctx context.Context, u upstreamHost, leaveStart clock.Millis) error {
	a, err := activity(ctx, u)
	if err != nil {
		return err
	}
	d := departure{name: u.name, lastWork: -1}
	if a.Arrivals > 0 {
		d.lastWork = p.watcher.clock.Now() - a.ArrivalAge - leaveStart
	}
	p.evidence.departures = append(p.evidence.departures, d)
	p.step("%s received its last new work %d ms after it began to leave", u.name, d.lastWork)
	return nil
}

// excludeOpenBoards excludes the boards that an upstream serves now from point 1,
// because they may break together with its sidecar.
func (p *proof) excludeOpenBoards(ctx context.Context, r *round, u upstreamHost) error {
	a, err := activity(ctx, u)
	if err != nil {
		return err
	}
	for _, number := range a.OpenBoards {
		r.excludedBoards[number] = true
	}
	return nil
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
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
