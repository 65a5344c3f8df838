package inbound

import "time"

// searchInterval is the interval at which clients to evict are searched.
const searchInterval = 50 * time.Millisecond

// evictForQueue evicts clients for the first reservation that waits.
func (a *account) evictForQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) > 0 {
		a.evict(a.queue[0].bytes)
	}
}

// evict ends the clients that hold most for the longest time without progress, until n bytes are free once they have
// released what they hold.
func (a *account) evict(n int64) {
	now := time.Now()
	if now.Sub(a.searchedAt) < searchInterval {
		return
	}
	a.searchedAt = now
	missing := a.reserved + n - a.config.Bounds.Bytes
	receiving := false
	for c := range a.conns {
		if c.isEnding() {
			missing -= c.held
		}
		receiving = receiving || c.held > 0 && c.isReceiving()
	}
	for missing > 0 {
		victim := a.victim(now)
		if victim == nil {
			break
		}
		missing -= victim.held
		victim.interrupt(ErrNoMemory)
		a.endings.count(endedForMemory, a.reserved)
	}
	if missing > 0 && !receiving {
		a.refuseLargest()
	}
}

// victim returns the client with the largest product of what it holds and the time since it made progress, nil if all make
// progress.
func (a *account) victim(now time.Time) *conn {
	var victim *conn
	most := 0.0
	for c := range a.conns {
		if stalled := c.stalled(now); c.held > 0 && stalled >= a.config.Bounds.StallTime {
			if score := float64(c.held) * stalled.Seconds(); score > most {
				victim, most = c, score
			}
		}
	}
	return victim
}

// refuseLargest refuses the waiting reservation whose client holds most. When all that receive wait for each other, none of
// them could go on.
func (a *account) refuseLargest() {
	var largest *waiter
	for _, w := range a.queue {
		if w.conn.held > 0 && (largest == nil || w.conn.held > largest.conn.held) {
			largest = w
		}
	}
	if largest != nil && a.withdraw(largest) {
		largest.done <- ErrNoMemory
		a.endings.count(endedForMemory, a.reserved)
	}
}
