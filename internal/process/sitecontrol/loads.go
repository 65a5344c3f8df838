package sitecontrol

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
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
	entriesPerInterval = 16
	// loadsRate is how many bytes a second of sums each entry gets at most: a
	// sixtieth of a link of 10 Mbit/s.
	loadsRate = 20_000
)

// showLoads puts the sum of the entries' loads on the board until ctx ends.
func (p *process) showLoads(ctx context.Context) {
	size := 0
	for ctx.Err() == nil {
		wait.For(ctx, loadsPause(p.watched.Entries(), size))
		if p.holder.number() == 0 {
			continue
		}
		b, err := codec.Marshal(p.loads.Sum(time.Now()))
		if err != nil {
			event.NoticeRefused.Write(p.config.Logger, log.Fields{"notice": "loads", "error": err.Error()})
			continue
		}
		size = len(b)
		p.board.Put(topic.Loads, "", b)
	}
}

// loadsPause returns how long to wait between two sums of so many bytes for so many entries.
func loadsPause(entries, size int) time.Duration {
	byEntries := time.Duration(1+entries/entriesPerInterval) * loadsInterval
	byBytes := time.Duration(float64(size) / loadsRate * float64(time.Second))
	return max(byEntries, byBytes)
}
