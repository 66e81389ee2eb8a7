package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/oops"
)

const raceTrials = 3

// putContract writes a new contract as the next revision.
func (p *proof) putContract(ctx context.Context) error {
	file, err := p.writeNextVariant()
	if err != nil {
		return err
	}
	command, err := p.startPut(p.uniqueName("contract-put"), file, nil)
	if err != nil {
		return err
	}
	r := command.wait(ctx)
	if r.err != nil {
		return r.err
	}
	if !r.written {
		return oops.Errorf("contract put reported a conflict although no other operator was writing")
	}
	p.watcher.recordWrite(r.revision)
	p.revision = r.revision
	p.step("contract at revision %d", r.revision)
	return nil
}

// writeNextVariant writes a contract file that differs from all earlier ones.
func (p *proof) writeNextVariant() (string, error) {
	p.lastNumber++
	return p.writeVariant(fmt.Sprintf("contract-%d", p.lastNumber), 3000+p.lastNumber)
}

// overload runs races between operators, lost responses to writes and forged input
// from an unauthenticated peer, while the clients request more than the slots can
// serve.
func (p *proof) overload(ctx context.Context, _ *round) error {
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	if err := p.putContract(ctx); err != nil {
		return err
	}
	for range raceTrials {
		if err := p.race(ctx); err != nil {
			return err
		}
		if err := p.loseResponse(ctx); err != nil {
			return err
		}
	}
	if err := p.attackAsUnauthenticatedPeer(ctx); err != nil {
		return err
	}
	// This gives the last writes time to come into effect.
	return sleep(ctx, effectLimit.Duration())
}

// race lets two operators replace the same revision. One of them must succeed, and
// the other must learn that it did not.
func (p *proof) race(ctx context.Context) error { return p.racePuts(ctx, 2) }

// racePuts lets one or more operators replace the last revision at the same time.
func (p *proof) racePuts(ctx context.Context, operators int) error {
	expected := p.revision
	files := make([]string, operators)
	for i := range files {
		var err error
		if files[i], err = p.writeNextVariant(); err != nil {
			return err
		}
	}
	var commands []*pendingPut
	for _, file := range files {
		command, err := p.startPut(p.uniqueName("contract-put"), file, &expected)
		if err != nil {
			return err
		}
		commands = append(commands, command)
	}
	var results []putResult
	for _, command := range commands {
		results = append(results, command.wait(ctx))
	}
	return p.judgeRace(expected, results)
}

// hasOneWinner reports whether exactly one operator replaced the expected revision
// by the next one and no command failed.
func hasOneWinner(expected uint64, results []putResult) bool {
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

func (p *proof) judgeRace(expected uint64, results []putResult) error {
	p.evidence.races++
	if !hasOneWinner(expected, results) {
		p.evidence.raceFaults++
		p.step("race on revision %d: %+v", expected, results)
	}
	for _, r := range results {
		if r.err != nil {
			return r.err
		}
		if r.written {
			p.watcher.recordWrite(r.revision)
			p.revision = max(p.revision, r.revision)
		}
	}
	return nil
}

// loseResponse makes the platform lose the response to a write. The operator must
// learn that the contract was written, and it must be written only once.
func (p *proof) loseResponse(ctx context.Context) error {
	if err := p.setPlatformFaults(ctx, `{"lost-responses":1}`); err != nil {
		return err
	}
	return p.racePuts(ctx, 1)
}
