package fabric

import "math/rand/v2"

// Faults holds the rates, from 0 to 1, of the faults that affect datagrams in each
// direction. Zero values mean no faults.
type Faults struct {
	Loss        float64
	Duplication float64
	// Reordering is the rate of datagrams that are held back until the next one has
	// been sent. While one is held back, no other is.
	Reordering float64
}

// faultInjector applies the faults to the datagrams of one direction. It is not
// safe for concurrent use.
type faultInjector[T any] struct {
	faults Faults
	random *rand.Rand
	// held is the datagram that is held back for reordering, or nil.
	held *T
}

func newFaultInjector[T any](faults Faults, seed, stream uint64) *faultInjector[T] {
	return &faultInjector[T]{faults: faults, random: rand.New(rand.NewPCG(seed, stream))}
}

// apply takes the next datagram and returns the datagrams to send now, in order. A
// datagram that is held back for reordering follows the next one that is sent.
func (f *faultInjector[T]) apply(datagram T) []T {
	// Three random numbers are drawn for every datagram, so that a change of one
	// rate does not change the decisions about the other two.
	lost := f.random.Float64() < f.faults.Loss
	duplicated := f.random.Float64() < f.faults.Duplication
	reordered := f.random.Float64() < f.faults.Reordering
	if lost {
		return nil
	}
	if reordered && f.held == nil {
		f.held = &datagram
		return nil
	}
	out := []T{datagram}
	if duplicated {
		out = append(out, datagram)
	}
	if f.held != nil {
		out = append(out, *f.held)
		f.held = nil
	}
	return out
}
