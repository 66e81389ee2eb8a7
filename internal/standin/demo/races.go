package demo

import (
	"context"
	"fmt"
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
	command, err := p.startPut(p.freshName("contract-put"), file, nil)
	if err != nil {
		return err
	}
	r := command.wait(ctx)
	if r.err != nil {
		return r.err
	}
	if !r.written {
		return oops.Errorf("contract: a conflict without another operator")
	}
	p.watcher.accepted(r.revision)
	p.revision = r.revision
	p.step("contract at revision %d", r.revision)
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
func (p *proof) race(ctx context.Context) error { return p.compete(ctx, 2) }

// compete lets a number of operators replace the last revision at once.
func (p *proof) compete(ctx context.Context, operators int) error {
	expected := p.revision
	files := make([]string, operators)
	for i := range files {
		var err error
		if files[i], err = p.nextVariant(); err != nil {
			return err
		}
	}
	var commands []*putting
	for _, file := range files {
		command, err := p.startPut(p.freshName("contract-put"), file, &expected)
		if err != nil {
			return err
		}
		commands = append(commands, command)
	}
	var results []putResult
	for _, command := range commands {
		results = append(results, command.wait(ctx))
	}
	return p.settleRace(expected, results)
}

// rightRace reports whether exactly one operator replaced the revision.
func rightRace(expected uint64, results []putResult) bool {
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

func (p *proof) settleRace(expected uint64, results []putResult) error {
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
	return p.compete(ctx, 1)
}
