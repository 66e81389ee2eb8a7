package placement

// Choice selects one of the candidates that Add has collected for a new flow. The zero
// value with a Random function is ready for use; Reset keeps its memory for the next flow.
type Choice[T any] struct {
	// Random returns a random number from 0 to n-1.
	Random     func(n int) int
	candidates []T
	// local are the indices of the candidates in the own data centre.
	local []int
}

// Reset removes all candidates.
func (c *Choice[T]) Reset() { c.candidates, c.local = c.candidates[:0], c.local[:0] }

// Add adds a candidate. local is set if it is in the own data centre.
func (c *Choice[T]) Add(candidate T, local bool) {
	if local {
		c.local = append(c.local, len(c.candidates))
	}
	c.candidates = append(c.candidates, candidate)
}

// Len returns the number of candidates.
func (c *Choice[T]) Len() int { return len(c.candidates) }

// OfTwo returns the cheaper one of two random candidates, of which one is in the own data
// centre if any is, so that balancers that know the same loads do not all choose the same
// sidecar. A sidecar whose estimated cost is too low gets at most twice its even share of
// the flows. There must be a candidate.
func (c *Choice[T]) OfTwo(cost func(T) float64) T {
	if len(c.candidates) < 3 {
		return c.OfAll(cost)
	}
	var first int
	if len(c.local) > 0 {
		first = c.local[c.Random(len(c.local))]
	} else {
		first = c.Random(len(c.candidates))
	}
	second := c.Random(len(c.candidates) - 1)
	if second >= first {
		second++
	}
	if cost(c.candidates[second]) < cost(c.candidates[first]) {
		return c.candidates[second]
	}
	return c.candidates[first]
}

// OfAll returns the cheapest candidate, the first one among equals. There must be a
// candidate.
func (c *Choice[T]) OfAll(cost func(T) float64) T {
	best, bestCost := c.candidates[0], cost(c.candidates[0])
	for _, candidate := range c.candidates[1:] {
		if x := cost(candidate); x < bestCost {
			best, bestCost = candidate, x
		}
	}
	return best
}
