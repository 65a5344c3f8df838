package observe

import (
	"slices"
	"time"
)

const (
	// keptGaps is how many of the last gaps between events are kept for each server.
	keptGaps = 16
	// minGaps is how many gaps an estimate needs.
	minGaps = 4
)

// eventGaps estimates how long an engine takes for the tokens of one event.
//
// Prefills of other prompts lengthen many gaps, so the lower quartile of the last ones counts. A
// few events that arrive together don't lower it.
type eventGaps struct {
	last     [keptGaps]time.Duration
	count    int
	estimate time.Duration
}

// record records the gap between two consecutive events of a stream.
func (g *eventGaps) record(gap time.Duration) {
	g.last[g.count%keptGaps] = gap
	g.count++
	n := min(g.count, keptGaps)
	if n < minGaps {
		return
	}
	sorted := g.last
	slices.Sort(sorted[:n])
	g.estimate = sorted[n/4]
}
