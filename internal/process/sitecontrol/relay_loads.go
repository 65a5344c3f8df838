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

func (r *relay) takeSum(address string, row rowtable.Row) {
	s, err := codec.Unmarshal[share.Sum](row.Value)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "sum of loads", "peer": address, "error": err.Error()})
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sums[address] = s
}

// showLoads shows the sum of the loads until ctx ends: to other relays that of the
// entries of this one, to those entries that of all.
func (r *relay) showLoads(ctx context.Context) {
	size := 0
	for ctx.Err() == nil {
		n := r.entries.Entries()
		wait.For(ctx, r.paced(loadsPause(n, size)))
		own := r.loads.Sum(time.Now())
		r.putSum(r.told, share.Sum{Loads: own.Loads})
		if n > 0 {
			size = r.putSum(r.shown, r.total(own))
		}
	}
}

// total adds the other relays' loads.
func (r *relay) total(own share.Sum) share.Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sums {
		own = own.WithLoads(s)
	}
	return own
}

// putSum shows a sum on a board and returns its bytes.
func (r *relay) putSum(b rowtable.Table, s share.Sum) int {
	encoded, err := codec.Marshal(s)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "loads", "error": err.Error()})
		return 0
	}
	b.Put(topic.Loads, "", encoded)
	return len(encoded)
}
