package client

import "github.com/orioledyke/orioledyke/internal/common/clock"

// board checks the events of one open board.
type board struct {
	service    string
	number     uint64
	stallLimit clock.Millis
	last       clock.Millis
	sequence   uint64
	result     Result
}

func newBoard(service string, number uint64, stallLimit, now clock.Millis) *board {
	return &board{service: service, number: number, stallLimit: stallLimit, last: now}
}

// event checks one event. The first fault decides the result.
func (b *board) event(service string, number, sequence uint64, now clock.Millis) {
	b.checkStall(now)
	b.last = now
	b.sequence++
	switch {
	case b.result != 0:
	case service != b.service:
		b.result = Misrouted
	case number != b.number:
		b.result = MismatchedResponse
	case sequence != b.sequence:
		b.result = BrokenFlow
	}
}

// ended records that the stream ended although the client wanted it open.
func (b *board) ended() Result {
	if b.result == 0 {
		b.result = BrokenFlow
	}
	return b.result
}

// closed records that the client closes the stream.
func (b *board) closed(now clock.Millis) Result {
	b.checkStall(now)
	if b.result == 0 {
		b.result = Completed
	}
	return b.result
}

// checkStall guards against a stream that is open but no longer current.
func (b *board) checkStall(now clock.Millis) {
	if b.result == 0 && now-b.last > b.stallLimit {
		b.result = BrokenFlow
	}
}
