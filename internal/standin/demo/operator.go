package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"github.com/samber/oops"
)

// putting is an operator's command that writes a contract.
type putting struct {
	process *process
	output  *bytes.Buffer
}

// putResult is the outcome of an operator's command. Without an error and not
// written it was a conflict with another operator.
type putResult struct {
	revision uint64
	written  bool
	err      error
}

// startPut starts to write the contract file as the next revision; name is the
// name of the log. With expected the command replaces only that revision.
func (s *system) startPut(name, file string, expected *uint64) (*putting, error) {
	arguments := []string{"contract", "put", "--json", "--platform", s.platformURL()}
	if expected != nil {
		arguments = append(arguments, "--expect-revision", strconv.FormatUint(*expected, 10))
	}
	p := &putting{output: &bytes.Buffer{}}
	var err error
	p.process, err = s.processes.start(otherStage, name, p.output, productBinary, append(arguments, file)...)
	return p, err
}

// wait returns the outcome once the command has ended.
func (p *putting) wait(ctx context.Context) putResult {
	select {
	case <-ctx.Done():
		return putResult{err: ctx.Err()}
	case <-p.process.ended:
	}
	p.process.stopping = true
	r, ok := parsePut(p.output.Bytes(), p.process.err == nil)
	if !ok {
		r.err = oops.Wrap(p.process.failure())
	}
	return r
}

// parsePut reads the command's output. It returns false for anything but a
// written revision or a conflict that shows both documents.
func parsePut(output []byte, succeeded bool) (putResult, bool) {
	var answer struct {
		Revision uint64          `json:"revision"`
		Current  json.RawMessage `json:"current"`
		Proposed json.RawMessage `json:"proposed"`
	}
	if err := json.Unmarshal(output, &answer); err != nil {
		return putResult{}, false
	}
	if succeeded {
		return putResult{revision: answer.Revision, written: true}, answer.Revision > 0
	}
	return putResult{}, len(answer.Current) > 0 && len(answer.Proposed) > 0
}

// writeVariant writes a contract that differs from the first one by the deadline
// of weigh-ins, and returns its file.
func (s *system) writeVariant(name string, deadlineMillis int64) (string, error) {
	variant := newContract(s.layout)
	variant.Services[1].Kinds[0].DeadlineMillis = deadlineMillis
	path := s.files.path(name + ".yaml")
	return path, s.files.writeYAML(path, variant)
}
