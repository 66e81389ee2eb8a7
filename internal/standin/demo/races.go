package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/oops"
)

const raceTrials = 3

// revise writes a contract as the next revision.
func (p *proof) revise(ctx context.Context) error {
	file, err := p.nextVariant()
	if err != nil {
		return err
	}
	revision, written, err := p.putRevision(ctx, file, nil)
	if err != nil {
		return err
	}
	if !written {
		return oops.Errorf("contract: a conflict without another operator")
	}
	p.watcher.accepted(revision)
	p.revision = revision
	p.step("contract at revision %d", revision)
	return nil
}

// nextVariant writes a contract file that differs from all before.
func (p *proof) nextVariant() (string, error) {
	p.variants++
	return p.writeVariant(fmt.Sprintf("contract-%d", p.variants), 3000+p.variants)
}

// overload lets operators race and lose answers and a stranger try its luck
// while the clients ask for more than the slots.
func (p *proof) overload(ctx context.Context, _ *round) error {
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	if err := p.revise(ctx); err != nil {
		return err
	}
	for range raceTrials {
		if err := p.race(ctx); err != nil {
			return err
		}
		if err := p.loseAnswer(ctx); err != nil {
			return err
		}
	}
	if err := p.beStranger(ctx); err != nil {
		return err
	}
	// The last writes have their time to come into effect.
	return sleep(ctx, effectLimit.Duration())
}

// race lets two operators replace the same revision: one must win, and the other
// must learn of it.
func (p *proof) race(ctx context.Context) error {
	expected := p.revision
	results := make([]raceResult, 2)
	var wait sync.WaitGroup
	for i := range results {
		file, err := p.nextVariant()
		if err != nil {
			return err
		}
		wait.Go(func() {
			r := &results[i]
			r.revision, r.written, r.err = p.putRevision(ctx, file, &expected)
		})
	}
	wait.Wait()
	return p.settleRace(expected, results)
}

// raceResult is the outcome of one operator's command.
type raceResult struct {
	revision uint64
	written  bool
	err      error
}

// rightRace reports whether exactly one operator replaced the revision.
func rightRace(expected uint64, results []raceResult) bool {
	winners := 0
	for _, r := range results {
		if r.err != nil {
			return false
		}
		if r.written {
			winners++
			if r.revision != expected+1 {
				return false
			}
		}
	}
	return winners == 1
}

func (p *proof) settleRace(expected uint64, results []raceResult) error {
	p.evidence.races++
	if !rightRace(expected, results) {
		p.evidence.raceFaults++
		p.step("race on revision %d: %+v", expected, results)
	}
	for _, r := range results {
		if r.err != nil {
			return r.err
		}
		if r.written {
			p.watcher.accepted(r.revision)
			p.revision = max(p.revision, r.revision)
		}
	}
	return nil
}

// loseAnswer lets the platform lose the answer of a write: the operator must
// learn that it was written, once.
func (p *proof) loseAnswer(ctx context.Context) error {
	if err := p.switchPlatform(ctx, `{"lost-responses":1}`); err != nil {
		return err
	}
	file, err := p.nextVariant()
	if err != nil {
		return err
	}
	expected := p.revision
	var r raceResult
	r.revision, r.written, r.err = p.putRevision(ctx, file, &expected)
	return p.settleRace(expected, []raceResult{r})
}
