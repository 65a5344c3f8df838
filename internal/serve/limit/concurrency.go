package limit

import (
	"math"
	"time"
)

const (
	// maxConcurrencyGrowth bounds how far an entry's share exceeds what it kept in flight lately.
	maxConcurrencyGrowth = 1.25
	// paceFactor is how much faster requests become due than the server can run them, so that one is ready
	// whenever another one ends.
	paceFactor = 1.2
	// topShare is the part of a fraction of a slot that an entry uses: all of them may use theirs at the same moment.
	topShare = 0.8
	// maxRest bounds for how long an entry doesn't use its fraction of a slot.
	maxRest = 2 * time.Second
	// minConcurrencyWait is the shortest wait for the end of a request, which may take longer than others.
	minConcurrencyWait = 20 * time.Millisecond
	// minPaceWork is the work time for the pace while that is unknown.
	minPaceWork = 20 * time.Millisecond
)

// concurrency is how many requests this entry keeps in flight at a brittle server.
type concurrency struct {
	inFlight int
	// mean is the mean number of requests in flight lately, until changed.
	mean    float64
	changed time.Time
	// whole is how many requests this entry may keep in flight at any time, fraction how much of the time one
	// more. That one has been in flight since topAt. When it has ended, none follows until restUntil, so that
	// time in flight / (time in flight + rest) is fraction.
	whole            int
	fraction         float64
	topAt, restUntil time.Time
}

func (c *concurrency) beginConcurrency(inFlight int, now time.Time) {
	*c = concurrency{inFlight: inFlight, mean: float64(inFlight), changed: now}
}

// observeInFlight records that so many requests are in flight from now on.
func (c *concurrency) observeInFlight(n int, now time.Time) {
	since := max(0, now.Sub(c.changed))
	c.mean += (float64(c.inFlight) - c.mean) * (1 - math.Exp(-since.Seconds()/rateWindow.Seconds()))
	c.observeTop(n, now)
	c.inFlight, c.changed = max(0, n), now
}

// observeTop records that one more than whole requests are in flight from now on, or not any more.
func (c *concurrency) observeTop(n int, now time.Time) {
	switch {
	case c.inFlight <= c.whole && n > c.whole:
		c.topAt = now
	case c.inFlight > c.whole && n <= c.whole && c.fraction > 0:
		used := max(0, now.Sub(c.topAt)).Seconds()
		rest := min(used*(1/c.fraction-1), maxRest.Seconds())
		c.restUntil = now.Add(time.Duration(rest * float64(time.Second)))
	}
}

// slotEach returns whether the server has a slot for each entry.
func (q *brittleQuota) slotEach(entries int) bool {
	return q.slots >= entries
}

// most updates whole and fraction, and returns how many requests this entry may keep in flight now, one at least.
func (q *brittleQuota) most(entries int, now time.Time) int {
	share := max(1, q.share(entries))
	q.whole = int(share)
	q.fraction = topShare * (share - float64(q.whole))
	if q.fraction > 0 && !now.Before(q.restUntil) {
		return q.whole + 1
	}
	return q.whole
}

// share returns the mean number of requests that this entry may keep in flight: an equal share of the slots, or what it
// kept in flight lately, as far as the load allows.
func (q *brittleQuota) share(entries int) float64 {
	equal := float64(q.slots) / float64(max(1, entries))
	own := q.mean
	switch {
	case q.load >= 1:
		own /= min(q.load, maxScale)
	case q.load >= 0:
		own = max(q.mean+(1-q.load)*equal, q.mean*min(1/q.load, maxConcurrencyGrowth))
	}
	if !q.slotEach(entries) {
		own++
	}
	return max(q.backoff*equal, own)
}

// pace returns how many requests become due in a second.
func (q *brittleQuota) pace(entries int) float64 {
	work := q.work
	if work == 0 {
		work = minPaceWork
	}
	return max(minEntryRate, q.backoff*paceFactor*max(1, q.share(entries))/work.Seconds())
}

// concurrencyWait returns how long it takes until a request may be in flight if so many wait for that. The requests in
// flight have run at least since their number changed last.
func (q *brittleQuota) concurrencyWait(waiting, entries int, now time.Time) time.Duration {
	most := q.most(entries, now)
	if q.inFlight < most && waiting == 0 {
		return 0
	}
	wait := time.Duration(float64(waiting+1) / float64(most) * float64(q.workTime()))
	return max(minConcurrencyWait, wait-max(0, now.Sub(q.changed)))
}
