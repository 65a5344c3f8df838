package dial

import (
	"context"
	"sync"
	"time"

	"hornbeamwood/internal/policy/reach"
)

// probeTick is the interval of the check which servers are to be probed.
const probeTick = 200 * time.Millisecond

// probe tries direct connections to servers that are cut off until ctx ends. While kept connections suffice, nothing
// else connects to them.
func (d *dialer) probe(ctx context.Context) {
	t := time.NewTicker(probeTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var running sync.WaitGroup
		for _, x := range d.Paths.Probes(time.Now()) {
			running.Go(func() { d.probeServer(ctx, x) })
		}
		running.Wait()
	}
}

func (d *dialer) probeServer(ctx context.Context, x reach.Probe) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := result{path: reach.Direct}
	began := time.Now()
	r.conn, r.err = d.Direct(ctx, x.Address)
	d.record(reach.Attempt{Server: x.Server, Address: x.Address, Path: r.path, Outcome: outcomeOf(r), Began: began, Ended: time.Now(), Probe: true})
	if r.err == nil {
		_ = r.conn.Close()
	}
}
