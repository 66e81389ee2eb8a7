package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// stopLimit is when a process counts as hanging after SIGTERM. It has 6 s by its settings.
const stopLimit = time.Minute

// host is a host of the system with its process and its path to the store.
type host struct {
	name     string
	role     string
	settings string
	store    *proxy
	command  *exec.Cmd
	ended    chan struct{}
	// stopping tells that the end of the process is expected.
	stopping bool
	// gone tells that the host has left for good.
	gone bool
	// paused is the time until which the process is stopped by a signal.
	paused clock.Millis
}

// start starts the process, whose output is added to the log of the host.
func (h *host) start(program []string, logs string) error {
	log, err := os.OpenFile(filepath.Join(logs, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program[0], append(program[1:], h.role)...)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), processEnvironment+"=1", "ORIOLEDYKE_CONFIG="+h.settings)
	if err := command.Start(); err != nil {
		return err
	}
	h.command, h.stopping, h.ended = command, false, make(chan struct{})
	ended := h.ended
	go func() {
		// How a process ends is told by its log; the soak only needs to know when.
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	if h.command == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. One that has ended needs none.
func (h *host) signal(s syscall.Signal) {
	if h.running() {
		_ = h.command.Process.Signal(s)
	}
}

// kill ends the process without notice.
func (h *host) kill() {
	h.stopping = true
	h.signal(syscall.SIGKILL)
	if h.command != nil {
		<-h.ended
	}
}

// stop ends the process as an operator does.
func (h *host) stop() {
	h.stopping = true
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
}

// end waits for the end of a process that was stopped.
func (h *host) end() error {
	if h.command == nil {
		return nil
	}
	select {
	case <-h.ended:
		return nil
	case <-time.After(stopLimit):
		h.kill()
		return fmt.Errorf("%s did not end after SIGTERM", h.name)
	}
}
