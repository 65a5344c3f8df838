package siteentry

import "math"

// rendezvous returns the score of a candidate with the given weight for a
// uniform u in (0, 1): the highest score wins, each candidate as often as its
// weight says, and a candidate that goes moves only what it had.
func rendezvous(u, weight float64) float64 {
	return -weight / math.Log(u)
}
