package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"

	"github.com/samber/oops"
)

// pendingPut is a running "contract put" command of an operator.
type pendingPut struct {
	process *process
	output  *bytes.Buffer
}

// putResult is the result of an operator's command. If err is nil and written is
// false, the write conflicted with that of another operator.
type putResult struct {
	revision uint64
	written  bool
	err      error
}

// startPut starts a command that writes the contract file as the next revision.
// Its log has the given name. If expected is not nil, the command replaces only
// that revision.
func (s *system) startPut(name, file string, expected *uint64) (*pendingPut, error) {
	arguments := []string{"contract", "put", "--json", "--platform", s.platformURL()}
	if expected != nil {
		arguments = append(arguments, "--expect-revision", strconv.FormatUint(*expected, 10))
	}
	p := &pendingPut{output: &bytes.Buffer{}}
	var err error
	p.process, err = s.processes.start(otherStage, name, p.output, productBinary, append(arguments, file)...)
	return p, err
}

// wait waits until the command has ended and returns its result.
func (p *pendingPut) wait(ctx context.Context) putResult {
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

// parsePut parses the output of the command. It returns false for any output
// other than a written revision or a conflict that shows both documents.
func parsePut(output []byte, succeeded bool) (putResult, bool) {
	var response struct {
		Revision uint64          `json:"revision"`
		Current  json.RawMessage `json:"current"`
		Proposed json.RawMessage `json:"proposed"`
	}
	if err := json.Unmarshal(output, &response); err != nil {
		return putResult{}, false
	}
	if succeeded {
		return putResult{revision: response.Revision, written: true}, response.Revision > 0
	}
	return putResult{}, len(response.Current) > 0 && len(response.Proposed) > 0
}

// writeVariant writes a contract that differs from the first one only in the
// deadline of weigh-ins. It returns the path of the file.
func (s *system) writeVariant(name string, deadlineMillis int64) (string, error) {
	variant := newContract(s.layout)
	variant.Services[1].Kinds[0].DeadlineMillis = deadlineMillis
	path := s.files.path(name + ".yaml")
	return path, s.files.writeYAML(path, variant)
}
