package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// stopTimeout is how long after SIGTERM a process may take to end. The settings give a
// process a drain timeout of 6 s.
const stopTimeout = time.Minute

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// host is a simulated host: one balancer or sidecar process and the proxy between it and the
// store.
type host struct {
	name         string
	role         string
	settingsPath string
	storeProxy   *proxy
	command      *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// stopping is set while the end of the process is expected.
	stopping bool
	// retired is set while the host has left and its process must not be restarted.
	retired bool
	// pausedUntil is when a process paused by SIGSTOP resumes, 0 if it is not paused.
	pausedUntil clock.Millis
}

// start starts the process. The output of the process is appended to the log of the host.
func (h *host) start(program []string, logFolder string) error {
	log, err := os.OpenFile(filepath.Join(logFolder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program[0], append(program[1:], h.role)...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), processVariable+"=1", "ORIOLEDYKE_CONFIG="+h.settingsPath)
	if err := command.Start(); err != nil {
		return err
	}
	h.command, h.stopping, h.exited = command, false, make(chan struct{})
	exited := h.exited
	go func() {
		// The result does not matter here. The soak only needs to know when the process
		// ended. The log of the host holds what the process printed.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// running reports whether the process has started and not ended.
func (h *host) running() bool {
	if h.command == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, unless it has ended.
func (h *host) signal(s syscall.Signal) {
	if h.running() {
		_ = h.command.Process.Signal(s)
	}
}

// kill ends the process without notice and waits for its end.
func (h *host) kill() {
	h.stopping = true
	h.signal(syscall.SIGKILL)
	if h.command != nil {
		<-h.exited
	}
}

// stop requests a graceful stop with SIGTERM, as an operator does. It resumes a paused process
// first.
func (h *host) stop() {
	h.stopping = true
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
}

// waitExit waits until a process that was told to stop has ended. It kills the process after
// stopTimeout and returns an error.
func (h *host) waitExit() error {
	if h.command == nil {
		return nil
	}
	select {
	case <-h.exited:
		return nil
	case <-time.After(stopTimeout):
		h.kill()
		return fmt.Errorf("%s did not end within the timeout after SIGTERM", h.name)
	}
}
