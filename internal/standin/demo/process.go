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
	tailLines = 15
	// tailBytes limits the tail of a log. It also limits how much of a response body
	// is read before the body is closed.
	tailBytes   = 16 << 10
	readyPeriod = 100 * time.Millisecond
	// probeTimeout limits one HTTP request of the demo to a process.
	probeTimeout = 2 * time.Second
)

// stage is the position of a process in the order in which processes are stopped.
type stage int

// The clients stop first, so that they close their flows while the rest of the
// system is intact. The sidecars stop next, so that their last responses still
// pass the balancers.
const (
	clientStage stage = iota
	sidecarStage
	otherStage
	stageCount
)

// process is a process that the demo started.
type process struct {
	name    string
	stage   stage
	command *exec.Cmd
	logPath string
	// ended is closed when the process has ended. err is set before that.
	ended chan struct{}
	err   error
	// stopping is true once the demo has told the process to stop or expects it to
	// end.
	stopping bool
	killed   bool
}

// processes starts, monitors and stops processes. Its methods must not be called
// concurrently.
type processes struct {
	binaries string
	logs     string
	all      []*process
	// exits receives each process when it has ended.
	exits chan *process
}

const exitBufferSize = 64

func newProcesses(binaries, logs string) *processes {
	return &processes{binaries: binaries, logs: logs, exits: make(chan *process, exitBufferSize)}
}

// start starts a binary, whose output goes to the log of the given name. If stdout
// is not nil, the standard output goes there instead.
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
	// In a process group of its own, the process does not receive the SIGINT of the
	// terminal. The demo stops the processes in order instead.
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

// run starts a binary and waits until it has ended. It returns an error if the
// process failed.
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

// waitReady waits until a GET of the URL returns status 200. It fails if the
// process or ctx ends first.
func (p *process) waitReady(ctx context.Context, url string) error {
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	lastResult := "no response"
	for {
		status, err := requestStatus(ctx, http.MethodGet, url)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err == nil {
			lastResult = fmt.Sprintf("status %d", status)
		}
		select {
		case <-p.ended:
			return p.failure()
		case <-ctx.Done():
			if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
				return fmt.Errorf("%s is not ready: GET %s returned %s; last lines of its log:\n%s", p.name, url, lastResult, tail(p.logPath))
			}
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// failure returns an error that describes a process that ended by itself.
func (p *process) failure() error {
	cause := "exit status 0"
	if p.err != nil {
		cause = p.err.Error()
	}
	return fmt.Errorf("%s ended (%s); last lines of its log:\n%s", p.name, cause, tail(p.logPath))
}

// terminate sends SIGTERM only once, because a second SIGTERM makes a sidecar end
// immediately.
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

// stop stops the processes stage by stage. It sends SIGTERM, and SIGKILL to those
// that still run after the timeout of the stage. It returns a line for each
// process that it had to kill or that ended with an error.
func (p *processes) stop(timeouts [stageCount]time.Duration) []string {
	var faults []string
	for s, timeout := range timeouts {
		faults = append(faults, p.stopStage(stage(s), timeout)...)
	}
	return faults
}

func (p *processes) stopStage(s stage, timeout time.Duration) []string {
	var members []*process
	for _, proc := range p.all {
		if proc.stage == s {
			members = append(members, proc)
			proc.terminate()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var faults []string
	for _, proc := range members {
		if !proc.endsBefore(ctx) {
			faults = append(faults, proc.name+" did not end after SIGTERM and was killed")
			proc.kill()
			<-proc.ended
		}
		if proc.err != nil && !proc.killed {
			faults = append(faults, fmt.Sprintf("%s ended with %v", proc.name, proc.err))
		}
	}
	return faults
}

// endsBefore reports whether the process ends before ctx. If both have ended, it
// returns true.
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

// requestStatus sends a request without a body and returns the response status.
func requestStatus(ctx context.Context, method, url string) (int, error) {
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

// tail returns the last lines of a log, indented.
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
