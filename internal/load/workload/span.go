package workload

import "math/rand/v2"

// Span is a range of whole numbers from which each is as likely as any other.
type Span struct {
	// Min is the smallest number.
	Min int
	// Max is the largest number.
	Max int
}

// Draw returns a number of the range.
func (s Span) Draw(r *rand.Rand) int {
	if s.Max <= s.Min {
		return s.Min
	}
	return s.Min + r.IntN(s.Max-s.Min+1)
}
