package fabric

import "math/rand/v2"

// Faults are the rates, from 0 to 1, at which datagrams are disturbed in each
// direction.
type Faults struct {
	Loss        float64
	Duplication float64
	// Reordering is the rate of datagrams that are sent after their successor.
	Reordering float64
}

// shaper decides for one direction what happens to each datagram. It is not
// safe for concurrent use.
type shaper[T any] struct {
	faults Faults
	random *rand.Rand
	held   *T
}

func newShaper[T any](faults Faults, seed, stream uint64) *shaper[T] {
	return &shaper[T]{faults: faults, random: rand.New(rand.NewPCG(seed, stream))}
}

// pass takes the next datagram and returns those to send now, in order. A
// datagram that is held for reordering follows the next one that is sent.
func (s *shaper[T]) pass(datagram T) []T {
	// Three numbers are drawn for every datagram, so that changing one rate
	// leaves the decisions of the others as they are.
	lost := s.random.Float64() < s.faults.Loss
	duplicated := s.random.Float64() < s.faults.Duplication
	reordered := s.random.Float64() < s.faults.Reordering
	if lost {
		return nil
	}
	if reordered && s.held == nil {
		s.held = &datagram
		return nil
	}
	out := []T{datagram}
	if duplicated {
		out = append(out, datagram)
	}
	if s.held != nil {
		out = append(out, *s.held)
		s.held = nil
	}
	return out
}
