package client

import "github.com/orioledyke/orioledyke/internal/common/clock"

// board checks the event stream of one open board. The result is 0 until a fault is
// found or the stream ends.
type board struct {
	service    string
	number     uint64
	stallLimit clock.Millis
	lastEvent  clock.Millis
	sequence   uint64
	result     Result
}

func newBoard(service string, number uint64, stallLimit, now clock.Millis) *board {
	return &board{service: service, number: number, stallLimit: stallLimit, lastEvent: now}
}

// checkEvent checks one received event. The first fault decides the result.
func (b *board) checkEvent(service string, number, sequence uint64, now clock.Millis) {
	b.checkStall(now)
	b.lastEvent = now
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

// endedEarly records that the stream ended or became unreadable while the client
// still wanted it open, and returns the result.
func (b *board) endedEarly() Result {
	if b.result == 0 {
		b.result = BrokenFlow
	}
	return b.result
}

// closedByClient records that the client closes the stream, and returns the result.
func (b *board) closedByClient(now clock.Millis) Result {
	b.checkStall(now)
	if b.result == 0 {
		b.result = Completed
	}
	return b.result
}

// checkStall sets the result to BrokenFlow if the last event is older than the
// stall limit. Such a stream is open, but what it shows is out of date.
func (b *board) checkStall(now clock.Millis) {
	if b.result == 0 && now-b.lastEvent > b.stallLimit {
		b.result = BrokenFlow
	}
}
