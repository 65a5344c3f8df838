package directory

import "time"

// sweepShards is the number of shards in one sweep; sweeping all of them at once would use a core for 100 ms with a million pieces.
const sweepShards = 4

// Sweep implements Directory.
func (d *directory) Sweep(now time.Time) {
	d.forget(now)
	peers := *d.peers.all.Load()
	stale := d.isStale(peers, now)
	from := int(d.swept.Add(sweepShards))
	for i := range sweepShards {
		d.shards[(from+i)%shardCount].sweep(stale)
	}
	d.pins.expire(now)
}

// forget removes engines and stores that were not seen for the time Forget; identities that never
// return would otherwise fill the directory.
func (d *directory) forget(now time.Time) {
	forget := uint64(d.config.Forget.Milliseconds())
	millis := d.millis(now)
	if millis < forget {
		return
	}
	for _, i := range d.peers.forget(millis - forget) {
		d.deletions.forget(i)
	}
}

// isStale returns a function that reports whether a location is stale.
func (d *directory) isStale(peers []*peer, now time.Time) func(l *location) bool {
	millis := d.millis(now)
	tombstone := uint64(d.config.Tombstone / time.Second)
	return func(l *location) bool {
		if int(l.peer) >= len(peers) {
			return false
		}
		switch {
		case l.epoch != peers[l.peer].currentEpoch():
			return true
		case l.state == Writing:
			return l.number < millis
		case l.state == Freed:
			return uint64(l.bytes)+tombstone < millis/1000
		}
		return false
	}
}

func (s *shard) sweep(stale func(l *location) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.heads {
		s.drop(k, stale)
	}
}
