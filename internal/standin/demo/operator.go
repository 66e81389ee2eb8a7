package demo

import (
	"context"
	"errors"
	"os"

	"github.com/orioledyke/orioledyke/internal/control/contract"
	"github.com/orioledyke/orioledyke/internal/control/platform"
	"github.com/samber/oops"
)

// putRevision writes the contract file as the next revision, as an operator's
// command does. With expected it replaces only that revision. It reports false
// after a conflict with another operator.
func (s *system) putRevision(ctx context.Context, file string, expected *uint64) (revision uint64, written bool, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0, false, oops.Wrap(err)
	}
	next, err := contract.Parse(data)
	if err != nil {
		return 0, false, oops.Wrap(err)
	}
	document, err := platform.New(platform.Config{Address: s.platformURL()}).PutContract(ctx, next, expected)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, oops.Wrap(err)
	}
	return document.Revision(), true, nil
}

// putFirst writes the first contract without the operator's command.
func putFirst(ctx context.Context, s *system) error {
	_, _, err := s.putRevision(ctx, s.files.contract(), nil)
	return err
}

// writeVariant writes a contract that differs from the first one by the deadline
// of weigh-ins, and returns its file.
func (s *system) writeVariant(name string, deadlineMillis int64) (string, error) {
	variant := newContract(s.layout)
	variant.Services[1].Kinds[0].DeadlineMillis = deadlineMillis
	path := s.files.path(name + ".yaml")
	return path, s.files.writeYAML(path, variant)
}
