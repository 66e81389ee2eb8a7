package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samber/oops"
)

const (
	tailLines    = 15
	tailBytes    = 16 << 10
	readyPeriod  = 100 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// stage orders the ends of processes.
type stage int

// Clients end first and close their flows over an intact system. Sidecars end
// next, so that their answers still pass the balancers.
const (
	clientStage stage = iota
	sidecarStage
	otherStage
	stageCount
)

// process is one process that the demo started.
type process struct {
	name    string
	stage   stage
	command *exec.Cmd
	logPath string
	// ended is closed when the process has ended; err is set before.
	ended chan struct{}
	err   error
	// stopping is true once the demo has told the process to end.
	stopping bool
	killed   bool
}

// processes starts, watches and ends processes. Its methods are for one
// goroutine.
type processes struct {
	binaries string
	logs     string
	all      []*process
	// exits receives each process that ended.
	exits chan *process
}

const exitBacklog = 64

func newProcesses(binaries, logs string) *processes {
	return &processes{binaries: binaries, logs: logs, exits: make(chan *process, exitBacklog)}
}

// start starts a binary; its output goes to the log of that name. If stdout is
// not nil, it takes the standard output instead.
func (p *processes) start(s stage, name string, stdout io.Writer, binary string, arguments ...string) (*process, error) {
	log, err := os.Create(filepath.Join(p.logs, name+".log"))
	if err != nil {
		return nil, oops.Wrapf(err, "create log")
	}
	defer log.Close()
	command := exec.Command(filepath.Join(p.binaries, binary), arguments...)
	command.Stderr = log
	command.Stdout = log
	if stdout != nil {
		command.Stdout = stdout
	}
	// A group of its own keeps the terminal's SIGINT from processes that the
	// demo ends in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return nil, oops.Code("start-failed").Wrapf(err, "start %s", name)
	}
	started := &process{name: name, stage: s, command: command, logPath: log.Name(), ended: make(chan struct{})}
	p.all = append(p.all, started)
	go func() {
		started.err = command.Wait()
		close(started.ended)
		p.exits <- started
	}()
	return started, nil
}

// run starts a binary and waits for its success.
func (p *processes) run(ctx context.Context, name, binary string, arguments ...string) error {
	started, err := p.start(otherStage, name, nil, binary, arguments...)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-started.ended:
	}
	started.stopping = true
	if started.err != nil {
		return started.failure()
	}
	return nil
}

// waitReady returns when the URL answers 200. It fails if the process ends or
// ctx does.
func (p *process) waitReady(ctx context.Context, url string) error {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	last := "no answer"
	for {
		status, err := request(ctx, http.MethodGet, url)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil {
			last = fmt.Sprintf("status %d", status)
		}
		select {
		case <-p.ended:
			return p.failure()
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				return fmt.Errorf("%s is not ready: GET %s gave %s; last lines of its log:\n%s", p.name, url, last, tail(p.logPath))
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// failure describes a process that ended by itself.
func (p *process) failure() error {
	cause := "exit status 0"
	if p.err != nil {
		cause = p.err.Error()
	}
	return fmt.Errorf("%s ended (%s); last lines of its log:\n%s", p.name, cause, tail(p.logPath))
}

// terminate sends SIGTERM once: a second one would end a sidecar at once.
func (p *process) terminate() {
	if !p.stopping {
		p.stopping = true
		// An error means that the process has already ended.
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
}

func (p *process) kill() {
	p.stopping, p.killed = true, true
	_ = p.command.Process.Kill()
}

// stop ends the processes stage by stage: SIGTERM, then SIGKILL for those that
// are still there after the stage's timeout. It returns a line for each process
// that it had to kill or that ended with an error.
func (p *processes) stop(timeouts [stageCount]time.Duration) []string {
	var faults []string
	for s, timeout := range timeouts {
		faults = append(faults, p.stopStage(stage(s), timeout)...)
	}
	return faults
}

func (p *processes) stopStage(s stage, timeout time.Duration) []string {
	var members []*process
	for _, one := range p.all {
		if one.stage == s {
			members = append(members, one)
			one.terminate()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var faults []string
	for _, one := range members {
		if !one.endsBefore(ctx) {
			faults = append(faults, one.name+" did not end after SIGTERM and was killed")
			one.kill()
			<-one.ended
		}
		if one.err != nil && !one.killed {
			faults = append(faults, fmt.Sprintf("%s ended with %v", one.name, one.err))
		}
	}
	return faults
}

// endsBefore reports whether the process ends before ctx. A process that has
// ended counts even if ctx has ended too.
func (p *process) endsBefore(ctx context.Context) bool {
	select {
	case <-p.ended:
		return true
	default:
	}
	select {
	case <-p.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// request returns the status of a request without a body.
func request(ctx context.Context, method, url string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, tailBytes))
	return response.StatusCode, nil
}

// tail returns the last lines of a log.
func tail(path string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	data = bytes.TrimRight(data[max(0, len(data)-tailBytes):], "\n")
	if len(data) == 0 {
		return "  (empty)"
	}
	lines := bytes.Split(data, []byte("\n"))
	lines = lines[max(0, len(lines)-tailLines):]
	return "  " + string(bytes.Join(lines, []byte("\n  ")))
}
