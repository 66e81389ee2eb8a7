package measure

import (
	"container/heap"

	"github.com/orioledyke/orioledyke/internal/common/clock"
)

// micros is a time or a duration in microseconds. clock.Millis is too coarse, because
// some latencies are not whole milliseconds.
type micros int64

const (
	millisecond micros = 1000
	second             = 1000 * millisecond
)

func fromMillis(m clock.Millis) micros { return micros(m) * millisecond }

type event struct {
	at       micros
	sequence uint64
	run      func()
}

// events is a heap in order of time, then of insertion.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// eventQueue runs events in virtual time.
type eventQueue struct {
	time     micros
	sequence uint64
	events   events
}

func (q *eventQueue) now() clock.Millis { return clock.Millis(q.time / millisecond) }

func (q *eventQueue) at(time micros, run func()) {
	q.sequence++
	heap.Push(&q.events, event{at: max(time, q.time), sequence: q.sequence, run: run})
}

func (q *eventQueue) after(delay micros, run func()) { q.at(q.time+delay, run) }

// every calls run periodically until it returns false.
func (q *eventQueue) every(period micros, run func() bool) {
	q.after(period, func() {
		if run() {
			q.every(period, run)
		}
	})
}

// runUntil runs the events up to and including the given time.
func (q *eventQueue) runUntil(end micros) {
	for len(q.events) > 0 && q.events[0].at <= end {
		next := heap.Pop(&q.events).(event)
		q.time = next.at
		next.run()
	}
	q.time = end
}
