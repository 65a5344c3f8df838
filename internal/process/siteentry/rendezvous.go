package siteentry

import "math"

// rendezvous returns the score of a candidate in weighted rendezvous hashing, for a number that is uniformly
// distributed in (0, 1). The highest score wins, each candidate wins in proportion to its weight, and removing a
// candidate reassigns only its own keys.
func rendezvous(uniform, weight float64) float64 {
	return -weight / math.Log(uniform)
}
