package sitecontrol

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/topic"
)

const (
	// loadsInterval is the time between two sums on the board while there are few
	// entries. A long prompt is read for a quarter of a second; news within a tenth
	// of that keep two entries from choosing the same engine for the next one.
	loadsInterval = 25 * time.Millisecond
	// entriesPerInterval is for how many entries the interval holds; it grows with
	// more, so that the cost of the sums stays what it is.
	entriesPerInterval = 8
)

// showLoads puts the sum of the entries' loads on the board until ctx ends.
func (p *process) showLoads(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1 + p.watched.Entries()/entriesPerInterval
		wait.For(ctx, time.Duration(n)*loadsInterval)
		if p.holder.number() != 0 {
			p.put(topic.Loads, "", p.loads.Sum(time.Now()))
		}
	}
}
