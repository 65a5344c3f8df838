package sitecontrol

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// applySum records the sum of loads of the relay at address.
func (r *relay) applySum(address string, row rowtable.Row) {
	s, err := codec.Unmarshal[share.Sum](row.Value)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "sum of loads", "peer": address, "error": err.Error()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerSums[address] = s
}

// showLoads shows sums of loads until ctx ends: the sum of this relay's entries to the
// other relays, and the sum of all entries to its own entries.
func (r *relay) showLoads(ctx context.Context) {
	size := 0
	for ctx.Err() == nil {
		n := r.entries.Entries()
		wait.For(ctx, r.siteInterval(sumsInterval(n, size)))
		own := r.loads.Sum(time.Now())
		r.putSum(r.localHints, share.Sum{Loads: own.Loads})
		if n > 0 {
			size = r.putSum(r.allHints, r.total(own))
		}
	}
}

// total returns own with the other relays' loads added.
func (r *relay) total(own share.Sum) share.Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.peerSums {
		own = own.WithLoads(s)
	}
	return own
}

// putSum sets the row of the sum in a table and returns its size in bytes.
func (r *relay) putSum(table rowtable.Table, s share.Sum) int {
	encoded, err := codec.Marshal(s)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "loads", "error": err.Error()})
		return 0
	}
	table.Put(topic.Loads, "", encoded)
	return len(encoded)
}
