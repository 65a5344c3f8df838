package choose

import (
	"slices"
	"time"
)

// Bounds of an engine's slowness.
const (
	minSlowness = 0.5
	maxSlowness = 4.0
)

// medianEventGap returns the median of the candidates' event gaps, zero if none is known.
func medianEventGap(all []Candidate) time.Duration {
	gaps := make([]time.Duration, 0, len(all))
	for _, c := range all {
		if c.Stats.EventGap > 0 {
			gaps = append(gaps, c.Stats.EventGap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}

// slowness returns how many times as long as the median engine the candidate takes for the same
// work, 1 while that is unknown.
//
// Engines of one service may run on different accelerators. A prompt whose prefill takes most
// of its target is late at a slow one and on time at the others.
func (e EnginePicker) slowness(c Candidate) float64 {
	if e.medianGap <= 0 || c.Stats.EventGap <= 0 {
		return 1
	}
	return min(maxSlowness, max(minSlowness, float64(c.Stats.EventGap)/float64(e.medianGap)))
}
