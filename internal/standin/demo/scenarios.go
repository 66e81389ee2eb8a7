package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
	"github.com/samber/oops"
)

const (
	// rerouteDelay is how long the fabric keeps sending to a balancer that is
	// stopping. restartSidecars uses the same duration as the pause before it restarts
	// each sidecar.
	rerouteDelay = 500 * time.Millisecond
	// balancerPause and sidecarPause are longer than the 3.5 s after which watchers
	// declare a silent member dead.
	balancerPause = 4 * time.Second
	sidecarPause  = 5 * time.Second
	// leaveObservation is how long an upstream is observed after it began to leave.
	// It is well beyond leaveLimit, which is 3 s.
	leaveObservation = 8 * time.Second
	// reloadWait is longer than the default reload interval of the key ring.
	reloadWait = 1500 * time.Millisecond

	// drainedOnlyIndex is the index of an upstream that drains while its sidecar keeps
	// running.
	drainedOnlyIndex = 4

	killedIndex = 1
	pausedIndex = 2
)

// leavingIndexes are the indexes of the upstreams that leave in one round, one of
// each service. Their sidecars are replaced only after the observation. Only the
// first of these upstreams also drains.
var leavingIndexes = []int{0, growerPortalCount}

// scenarios returns the scenarios in order. The sidecar failures come before the
// sidecar restarts, because they reuse the addresses of a sidecar that the system
// started with.
func (p *proof) scenarios() []scenario {
	surge := loadOptions{bookingRate: 300, weighInRate: 20, boardRate: 2}
	return []scenario{
		{
			name: "balancer-restarts", description: "SIGTERM to each balancer in turn, then a restart; a contract written after each",
			planned: true, duration: 20 * time.Second, load: ordinaryLoad, disturb: p.restartBalancers,
		},
		{
			name: "sidecar-failures", description: "a sidecar killed, one paused, one replaced at its addresses by a sidecar of another service",
			duration: 22 * time.Second, load: ordinaryLoad, disturb: p.failSidecars, after: p.restoreAddresses,
		},
		{
			name: "sidecar-restarts", description: "SIGTERM to each sidecar in turn, its replacement started beside it; contracts written meanwhile",
			planned: true, duration: 22 * time.Second, load: ordinaryLoad, disturb: p.restartSidecars,
		},
		{
			name: "departures", description: "two upstreams leave, one of them draining; one drains and stays; key ring rotated",
			planned: true, duration: 18 * time.Second, load: ordinaryLoad, disturb: p.leaveUpstreams, after: p.removeGeneration,
		},
		{
			name: "balancer-failures", description: "a balancer killed; platform unavailable while one starts and one restarts; a balancer paused",
			duration: 28 * time.Second, load: ordinaryLoad, disturb: p.failBalancers,
		},
		{
			name: "overload", description: "more bookings than the slots can serve; racing operators, lost responses to writes, an unauthenticated peer",
			duration: 14 * time.Second, load: surge, disturb: p.overload,
		},
	}
}

func (p *proof) restartBalancers(ctx context.Context, _ *round) error {
	for i := range p.layout.balancers {
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		if err := p.restartBalancer(ctx, i); err != nil {
			return err
		}
		if err := p.putContract(ctx); err != nil {
			return err
		}
	}
	return nil
}

// restartBalancer stops a balancer gracefully and starts it again.
func (p *proof) restartBalancer(ctx context.Context, i int) error {
	b, old := p.layout.balancers[i], p.balancers[i]
	p.watcher.markUnavailable(b.name)
	old.terminate()
	pending := pendingStop{process: old, requestedAt: time.Now()}
	if err := sleep(ctx, rerouteDelay); err != nil {
		return err
	}
	if err := p.removeBalancer(ctx, b); err != nil {
		return err
	}
	if err := p.awaitStop(ctx, pending); err != nil {
		return err
	}
	p.step("%s ended", old.name)
	return p.replaceBalancer(ctx, i)
}

// replaceBalancer starts a balancer in place of one that has ended.
func (p *proof) replaceBalancer(ctx context.Context, i int) error {
	b := p.layout.balancers[i]
	started, err := p.startBalancer(b, p.uniqueName(b.name))
	if err != nil {
		return err
	}
	p.balancers[i] = started
	if err := p.awaitReady(ctx, started, b); err != nil {
		return err
	}
	p.watcher.markAvailable(b.name)
	p.step("%s is ready", started.name)
	return p.addBalancer(ctx, b)
}

func (p *proof) awaitReady(ctx context.Context, started *process, h host) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return started.waitReady(ctx, readyURL(h))
}

// uniqueName returns the name followed by a number that no earlier log name has.
func (p *proof) uniqueName(name string) string {
	p.lastNumber++
	return fmt.Sprintf("%s-%d", name, p.lastNumber)
}

// unusedAddresses returns those addresses of an upstream that its current sidecar
// does not use.
func (p *proof) unusedAddresses(i int) upstreamHost {
	if p.current[i].tunnel == p.layout.upstreams[i].tunnel {
		return p.layout.spares[i]
	}
	return p.layout.upstreams[i]
}

// replaceSidecar starts a sidecar of an upstream at the given addresses.
func (p *proof) replaceSidecar(ctx context.Context, i int, u upstreamHost) error {
	started, err := p.startSidecar(u, p.uniqueName(u.name+"-sidecar"))
	if err != nil {
		return err
	}
	p.sidecars[i], p.current[i] = started, u
	return p.awaitReady(ctx, started, u.host)
}

func (p *proof) restartSidecars(ctx context.Context, _ *round) error {
	for i := range p.sidecars {
		if err := sleep(ctx, rerouteDelay); err != nil {
			return err
		}
		p.endGracefully(p.sidecars[i])
		if err := p.replaceSidecar(ctx, i, p.unusedAddresses(i)); err != nil {
			return err
		}
		if i%5 == 0 {
			if err := p.putContract(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// failSidecars kills one sidecar and starts it again, pauses another, and replaces
// a third by a sidecar of another service at the same addresses. The open boards
// of these three are excluded from point 1.
func (p *proof) failSidecars(ctx context.Context, r *round) error {
	reused := p.layout.reused
	extra, err := p.startUpstream(reused, upstreamCount)
	if err != nil {
		return err
	}
	if err := p.awaitURL(ctx, extra, "http://"+reused.upstream.String()+"/admin/ready"); err != nil {
		return err
	}
	p.upstreams = append(p.upstreams, reused)
	if err := sleep(ctx, 3*time.Second); err != nil {
		return err
	}
	if err := p.killSidecar(ctx, r, killedIndex); err != nil {
		return err
	}
	if err := p.killSidecar(ctx, r, reusedIndex); err != nil {
		return err
	}
	started, err := p.startSidecar(reused, "reused-sidecar")
	if err != nil {
		return err
	}
	p.sidecars[reusedIndex], p.current[reusedIndex] = started, reused
	if err := p.awaitReady(ctx, started, reused.host); err != nil {
		return err
	}
	p.step("the addresses of %s serve weighbridge", p.layout.upstreams[reusedIndex].name)
	if err := p.pauseSidecar(ctx, r, pausedIndex); err != nil {
		return err
	}
	return p.replaceSidecar(ctx, killedIndex, p.layout.upstreams[killedIndex])
}

func (p *proof) awaitURL(ctx context.Context, started *process, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return started.waitReady(ctx, url)
}

func (p *proof) killSidecar(ctx context.Context, r *round, i int) error {
	if err := p.excludeOpenBoards(ctx, r, p.current[i]); err != nil {
		return err
	}
	p.sidecars[i].kill()
	<-p.sidecars[i].ended
	p.step("killed %s", p.sidecars[i].name)
	return nil
}

// pauseSidecar pauses a sidecar for longer than the silence timeout of the
// watchers. It also excludes boards that open during the pause and those that the
// sidecar accepts immediately after it.
func (p *proof) pauseSidecar(ctx context.Context, r *round, i int) error {
	if err := p.excludeOpenBoards(ctx, r, p.current[i]); err != nil {
		return err
	}
	p.step("pause %s for %v", p.sidecars[i].name, sidecarPause)
	if err := p.sidecars[i].pauseFor(ctx, sidecarPause); err != nil {
		return err
	}
	return p.excludeOpenBoards(ctx, r, p.current[i])
}

// restoreAddresses stops the sidecar at the reused addresses and starts a new
// sidecar of the original upstream there.
func (p *proof) restoreAddresses(ctx context.Context, _ *round) error {
	old := p.sidecars[reusedIndex]
	p.endGracefully(old)
	if err := p.awaitStops(ctx); err != nil {
		return err
	}
	return p.replaceSidecar(ctx, reusedIndex, p.layout.upstreams[reusedIndex])
}

// leaveUpstreams makes upstreams leave and rotates the key ring meanwhile. It
// replaces their sidecars only after the upstreams have been observed.
func (p *proof) leaveUpstreams(ctx context.Context, _ *round) error {
	if err := p.rotateKeys(ctx, "add"); err != nil {
		return err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	leaveStart := p.watcher.clock.Now()
	for _, i := range []int{leavingIndexes[0], drainedOnlyIndex} {
		if err := setDrain(ctx, p.layout.upstreams[i], true); err != nil {
			return err
		}
	}
	for _, i := range leavingIndexes {
		p.endGracefully(p.sidecars[i])
	}
	if err := sleep(ctx, reloadWait); err != nil {
		return err
	}
	if err := p.rotateKeys(ctx, "activate", "--activate", "2"); err != nil {
		return err
	}
	if err := p.putContract(ctx); err != nil {
		return err
	}
	if err := p.observeDrain(ctx, leaveStart); err != nil {
		return err
	}
	for _, i := range leavingIndexes {
		if err := p.recordDeparture(ctx, p.layout.upstreams[i], leaveStart); err != nil {
			return err
		}
	}
	for _, i := range []int{leavingIndexes[0], drainedOnlyIndex} {
		if err := setDrain(ctx, p.layout.upstreams[i], false); err != nil {
			return err
		}
	}
	for _, i := range leavingIndexes {
		if err := p.replaceSidecar(ctx, i, p.unusedAddresses(i)); err != nil {
			return err
		}
	}
	return nil
}

// observeDrain waits until the leaving upstreams have been observed for
// leaveObservation. It counts the new requests that arrive after leaveLimit at the
// draining upstream whose sidecar keeps running.
func (p *proof) observeDrain(ctx context.Context, leaveStart clock.Millis) error {
	if err := sleep(ctx, (leaveStart + leaveLimit - p.watcher.clock.Now()).Duration()); err != nil {
		return err
	}
	before, err := activity(ctx, p.layout.upstreams[drainedOnlyIndex])
	if err != nil {
		return err
	}
	if err := sleep(ctx, leaveObservation-leaveLimit.Duration()); err != nil {
		return err
	}
	after, err := activity(ctx, p.layout.upstreams[drainedOnlyIndex])
	if err != nil {
		return err
	}
	p.evidence.lateDrainRequests = after.Arrivals - before.Arrivals
	p.step("%s drains while its sidecar keeps running: %d requests after %v", p.layout.upstreams[drainedOnlyIndex].name, p.evidence.lateDrainRequests, leaveLimit.Duration())
	return nil
}

// rotateKeys changes the key ring with the operator's command.
func (p *proof) rotateKeys(ctx context.Context, name string, flags ...string) error {
	arguments := append(append([]string{"keys", "rotate"}, flags...), p.files.keyRing())
	p.step("keys rotate %s", strings.Join(flags, " "))
	return p.processes.run(ctx, "keys-"+name, productBinary, arguments...)
}

// removeGeneration removes the first generation of the key ring, whose flows have
// ended.
func (p *proof) removeGeneration(ctx context.Context, _ *round) error {
	if err := p.awaitStops(ctx); err != nil {
		return err
	}
	if err := p.rotateKeys(ctx, "remove", "--remove", "1"); err != nil {
		return err
	}
	return sleep(ctx, reloadWait)
}

// failBalancers kills a balancer and makes the platform unavailable while that
// balancer and a second one start again. Then it pauses the third.
func (p *proof) failBalancers(ctx context.Context, _ *round) error {
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	killed := p.layout.balancers[0]
	p.watcher.markUnavailable(killed.name)
	p.balancers[0].kill()
	<-p.balancers[0].ended
	p.step("killed %s", p.balancers[0].name)
	if err := sleep(ctx, removalDelay); err != nil {
		return err
	}
	if err := p.removeBalancer(ctx, killed); err != nil {
		return err
	}
	if err := p.setPlatformFaults(ctx, `{"outage":true}`); err != nil {
		return err
	}
	if err := p.replaceBalancer(ctx, 0); err != nil {
		return err
	}
	if err := p.restartBalancer(ctx, 1); err != nil {
		return err
	}
	if err := p.setPlatformFaults(ctx, `{"outage":false}`); err != nil {
		return err
	}
	if err := p.putContract(ctx); err != nil {
		return err
	}
	return p.pauseBalancer(ctx, 2)
}

// pauseBalancer pauses a balancer to which the fabric keeps sending, and writes a
// contract meanwhile.
func (p *proof) pauseBalancer(ctx context.Context, i int) error {
	p.step("pause %s for %v", p.balancers[i].name, balancerPause)
	p.watcher.markUnavailable(p.layout.balancers[i].name)
	paused := make(chan error, 1)
	go func() { paused <- p.balancers[i].pauseFor(ctx, balancerPause) }()
	err := p.putContract(ctx)
	if pauseErr := <-paused; pauseErr != nil {
		return pauseErr
	}
	p.watcher.markAvailable(p.layout.balancers[i].name)
	return err
}

// setPlatformFaults changes the faults that the platform injects. faults is a JSON
// object.
func (p *proof) setPlatformFaults(ctx context.Context, faults string) error {
	p.step("platform %s", faults)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, p.platformURL()+"/admin/switches", strings.NewReader(faults))
	if err != nil {
		return oops.Wrap(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return oops.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return oops.Errorf("set platform faults: status %d", response.StatusCode)
	}
	return nil
}

// pauseFor suspends the process for d without ending it.
func (p *process) pauseFor(ctx context.Context, d time.Duration) error {
	if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return oops.Wrap(err)
	}
	// A process that stays suspended would not end with the others.
	defer func() { _ = p.command.Process.Signal(syscall.SIGCONT) }()
	return sleep(ctx, d)
}
