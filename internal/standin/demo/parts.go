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
	// noticeTime is how long the fabric goes on sending to a balancer that ends or
	// died.
	noticeTime = 500 * time.Millisecond
	// balancerPause and sidecarPause are longer than the 3.5 s after which
	// watchers declare a silent member dead.
	balancerPause = 4 * time.Second
	sidecarPause  = 5 * time.Second
	// leaveWatch is how long an upstream is watched after it began to leave, well
	// beyond the limit of 3 s.
	leaveWatch = 8 * time.Second
	// reloadTime is longer than the default reload interval of the key ring.
	reloadTime = 1500 * time.Millisecond

	// drainedOnly is an upstream that drains while its sidecar stays.
	drainedOnly = 4

	killedSidecar = 1
	pausedSidecar = 2
)

// leavers are the upstreams that leave for good in one round: one of each
// service. Only the first also drains.
var leavers = []int{0, growerPortalCount}

// parts returns the rounds in order. The sidecars' failures come before their
// restart, because the reused addresses are those of the first sidecars.
func (p *proof) parts() []part {
	surge := loadOptions{bookingRate: 300, weighInRate: 20, boardRate: 2}
	return []part{
		{
			name: "balancer-restarts", done: "SIGTERM to each balancer in turn, started anew; a contract written between",
			planned: true, duration: 20 * time.Second, load: ordinaryLoad, disturb: p.restartBalancers,
		},
		{
			name: "sidecar-failures", done: "a sidecar killed, one paused, one replaced on its address by another service",
			duration: 22 * time.Second, load: ordinaryLoad, disturb: p.failSidecars, after: p.returnAddress,
		},
		{
			name: "sidecar-restarts", done: "SIGTERM to each sidecar in turn, started anew beside it; a contract written between",
			planned: true, duration: 22 * time.Second, load: ordinaryLoad, disturb: p.restartSidecars,
		},
		{
			name: "departures", done: "two upstreams leave, one of them draining; one drains and stays; key ring rotated",
			planned: true, duration: 18 * time.Second, load: ordinaryLoad, disturb: p.leave, after: p.removeGeneration,
		},
		{
			name: "balancer-failures", done: "a balancer killed; platform down while one starts and one restarts; a balancer paused",
			duration: 28 * time.Second, load: ordinaryLoad, disturb: p.failBalancers,
		},
		{
			name: "overload", done: "bookings beyond the slots; operators racing, lost answers of writes, a stranger",
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
		if err := p.revise(ctx); err != nil {
			return err
		}
	}
	return nil
}

// restartBalancer ends a balancer gracefully and starts it anew.
func (p *proof) restartBalancer(ctx context.Context, i int) error {
	b, old := p.layout.balancers[i], p.balancers[i]
	p.watcher.gone(b.name)
	old.terminate()
	ending := pendingStop{process: old, began: time.Now()}
	if err := sleep(ctx, noticeTime); err != nil {
		return err
	}
	if err := p.removeBalancer(ctx, b); err != nil {
		return err
	}
	if err := p.awaitStop(ctx, ending); err != nil {
		return err
	}
	p.step("%s ended", old.name)
	return p.renewBalancer(ctx, i)
}

// renewBalancer starts a balancer in place of one that ended.
func (p *proof) renewBalancer(ctx context.Context, i int) error {
	b := p.layout.balancers[i]
	started, err := p.startBalancer(b, p.freshName(b.name))
	if err != nil {
		return err
	}
	p.balancers[i] = started
	if err := p.awaitReady(ctx, started, b); err != nil {
		return err
	}
	p.watcher.back(b.name)
	p.step("%s is ready", started.name)
	return p.addBalancer(ctx, b)
}

func (p *proof) awaitReady(ctx context.Context, started *process, h host) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return started.waitReady(ctx, readyURL(h))
}

// freshName returns the name of a further log of a process.
func (p *proof) freshName(name string) string {
	p.variants++
	return fmt.Sprintf("%s-%d", name, p.variants)
}

// other returns the addresses that the current sidecar of an upstream does not
// use.
func (p *proof) other(i int) upstreamHost {
	if p.current[i].tunnel == p.layout.upstreams[i].tunnel {
		return p.layout.spares[i]
	}
	return p.layout.upstreams[i]
}

// renewSidecar starts a sidecar of an upstream at the given addresses.
func (p *proof) renewSidecar(ctx context.Context, i int, u upstreamHost) error {
	started, err := p.startSidecar(u, p.freshName(u.name+"-sidecar"))
	if err != nil {
		return err
	}
	p.sidecars[i], p.current[i] = started, u
	return p.awaitReady(ctx, started, u.host)
}

func (p *proof) restartSidecars(ctx context.Context, _ *round) error {
	for i := range p.sidecars {
		if err := sleep(ctx, noticeTime); err != nil {
			return err
		}
		p.endGracefully(p.sidecars[i])
		if err := p.renewSidecar(ctx, i, p.other(i)); err != nil {
			return err
		}
		if i%5 == 0 {
			if err := p.revise(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// failSidecars kills one sidecar and starts it anew, pauses one, and replaces one
// by a sidecar of another service at the same addresses. The boards of these
// three are not claimed.
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
	if err := p.killSidecar(ctx, r, killedSidecar); err != nil {
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
	if err := p.pauseSidecar(ctx, r, pausedSidecar); err != nil {
		return err
	}
	return p.renewSidecar(ctx, killedSidecar, p.layout.upstreams[killedSidecar])
}

func (p *proof) awaitURL(ctx context.Context, started *process, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return started.waitReady(ctx, url)
}

func (p *proof) killSidecar(ctx context.Context, r *round, i int) error {
	if err := p.unclaim(ctx, r, p.current[i]); err != nil {
		return err
	}
	p.sidecars[i].kill()
	<-p.sidecars[i].ended
	p.step("killed %s", p.sidecars[i].name)
	return nil
}

// pauseSidecar stops a sidecar for longer than its watchers wait. Boards that
// open while it is paused or that it takes at once afterwards count as its own.
func (p *proof) pauseSidecar(ctx context.Context, r *round, i int) error {
	if err := p.unclaim(ctx, r, p.current[i]); err != nil {
		return err
	}
	p.step("pause %s for %v", p.sidecars[i].name, sidecarPause)
	if err := p.sidecars[i].pauseFor(ctx, sidecarPause); err != nil {
		return err
	}
	return p.unclaim(ctx, r, p.current[i])
}

// returnAddress ends the sidecar on the reused addresses and starts the first
// one anew.
func (p *proof) returnAddress(ctx context.Context, _ *round) error {
	old := p.sidecars[reusedIndex]
	p.endGracefully(old)
	if err := p.awaitStops(ctx); err != nil {
		return err
	}
	return p.renewSidecar(ctx, reusedIndex, p.layout.upstreams[reusedIndex])
}

// leave lets upstreams leave without a replacement and rotates the key ring
// meanwhile.
func (p *proof) leave(ctx context.Context, _ *round) error {
	if err := p.keys(ctx, "add"); err != nil {
		return err
	}
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	began := p.watcher.clock.Now()
	for _, i := range []int{leavers[0], drainedOnly} {
		if err := setDrain(ctx, p.layout.upstreams[i], true); err != nil {
			return err
		}
	}
	for _, i := range leavers {
		p.endGracefully(p.sidecars[i])
	}
	if err := sleep(ctx, reloadTime); err != nil {
		return err
	}
	if err := p.keys(ctx, "activate", "--activate", "2"); err != nil {
		return err
	}
	if err := p.revise(ctx); err != nil {
		return err
	}
	if err := p.watchDrain(ctx, began); err != nil {
		return err
	}
	for _, i := range leavers {
		if err := p.departed(ctx, p.layout.upstreams[i], began); err != nil {
			return err
		}
	}
	for _, i := range []int{leavers[0], drainedOnly} {
		if err := setDrain(ctx, p.layout.upstreams[i], false); err != nil {
			return err
		}
	}
	for _, i := range leavers {
		if err := p.renewSidecar(ctx, i, p.other(i)); err != nil {
			return err
		}
	}
	return nil
}

// watchDrain waits until the leavers have been watched long enough, and counts
// the work that came to the draining upstream whose sidecar stays after the limit
// for leavers.
func (p *proof) watchDrain(ctx context.Context, began clock.Millis) error {
	if err := sleep(ctx, (began + leaveLimit - p.watcher.clock.Now()).Duration()); err != nil {
		return err
	}
	before, err := activity(ctx, p.layout.upstreams[drainedOnly])
	if err != nil {
		return err
	}
	if err := sleep(ctx, leaveWatch-leaveLimit.Duration()); err != nil {
		return err
	}
	after, err := activity(ctx, p.layout.upstreams[drainedOnly])
	if err != nil {
		return err
	}
	p.evidence.drained = after.Arrivals - before.Arrivals
	p.step("%s drains while its sidecar stays: %d requests after %v", p.layout.upstreams[drainedOnly].name, p.evidence.drained, leaveLimit.Duration())
	return nil
}

// keys changes the key ring with the operator's command.
func (p *proof) keys(ctx context.Context, name string, flags ...string) error {
	arguments := append(append([]string{"keys", "rotate"}, flags...), p.files.keyRing())
	p.step("keys rotate %s", strings.Join(flags, " "))
	return p.processes.run(ctx, "keys-"+name, productBinary, arguments...)
}

// removeGeneration removes the first generation, whose flows have ended.
func (p *proof) removeGeneration(ctx context.Context, _ *round) error {
	if err := p.awaitStops(ctx); err != nil {
		return err
	}
	if err := p.keys(ctx, "remove", "--remove", "1"); err != nil {
		return err
	}
	return sleep(ctx, reloadTime)
}

// failBalancers kills a balancer, keeps the platform down while it and another
// one start anew, and pauses the third.
func (p *proof) failBalancers(ctx context.Context, _ *round) error {
	if err := sleep(ctx, 2*time.Second); err != nil {
		return err
	}
	killed := p.layout.balancers[0]
	p.watcher.gone(killed.name)
	p.balancers[0].kill()
	<-p.balancers[0].ended
	p.step("killed %s", p.balancers[0].name)
	if err := sleep(ctx, removalDelay); err != nil {
		return err
	}
	if err := p.removeBalancer(ctx, killed); err != nil {
		return err
	}
	if err := p.switchPlatform(ctx, `{"outage":true}`); err != nil {
		return err
	}
	if err := p.renewBalancer(ctx, 0); err != nil {
		return err
	}
	if err := p.restartBalancer(ctx, 1); err != nil {
		return err
	}
	if err := p.switchPlatform(ctx, `{"outage":false}`); err != nil {
		return err
	}
	if err := p.revise(ctx); err != nil {
		return err
	}
	return p.pauseBalancer(ctx, 2)
}

// pauseBalancer stops a balancer that the fabric goes on using, and writes a
// contract meanwhile.
func (p *proof) pauseBalancer(ctx context.Context, i int) error {
	p.step("pause %s for %v", p.balancers[i].name, balancerPause)
	p.watcher.gone(p.layout.balancers[i].name)
	paused := make(chan error, 1)
	go func() { paused <- p.balancers[i].pauseFor(ctx, balancerPause) }()
	err := p.revise(ctx)
	if failed := <-paused; failed != nil {
		return failed
	}
	p.watcher.back(p.layout.balancers[i].name)
	return err
}

// switchPlatform changes the faults of the platform.
func (p *proof) switchPlatform(ctx context.Context, switches string) error {
	p.step("platform %s", switches)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, p.platformURL()+"/admin/switches", strings.NewReader(switches))
	if err != nil {
		return oops.Wrap(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return oops.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return oops.Errorf("platform switches: status %d", response.StatusCode)
	}
	return nil
}

// pauseFor stops the process without ending it.
func (p *process) pauseFor(ctx context.Context, d time.Duration) error {
	if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return oops.Wrap(err)
	}
	// A process that stays stopped would not end with the others.
	defer func() { _ = p.command.Process.Signal(syscall.SIGCONT) }()
	return sleep(ctx, d)
}
