package workload

import "math/rand/v2"

// Span is a range of integers with a uniform distribution.
type Span struct {
	// Min is the smallest number.
	Min int
	// Max is the largest number.
	Max int
}

// Draw returns a random number of the range.
func (s Span) Draw(r *rand.Rand) int {
	if s.Max <= s.Min {
		return s.Min
	}
	return s.Min + r.IntN(s.Max-s.Min+1)
}
