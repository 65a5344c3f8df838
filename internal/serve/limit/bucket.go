package limit

import (
	"math"
	"time"
)

const (
	// minRate is the lowest limit in requests per second. A server that never gets a request could
	// not announce the end of its limit.
	minRate = 0.1
	// logChangeFactor is the factor by which a limit must change to be logged again.
	logChangeFactor = 1.25
)

// quota is how many requests a server accepts from all entries, divided among them.
type quota interface {
	// entryRate returns the requests per second of one of the entries.
	entryRate(entries int) float64
	// burst returns how many requests beyond one, including fractions, an entry may keep.
	burst(entries int) float64
}

// bucket is an entry's share of one server's limit.
type bucket struct {
	quota
	// rate is the requests per second that the server accepts from all entries, logged the rate
	// that was logged last.
	rate, logged float64
	// available is how many requests may be sent; negative when some wait for their reserved time.
	available float64
	filled    time.Time
	// created is when the limit began.
	created time.Time
	// observed is when the server last announced the limit.
	observed time.Time
	// brittle is the quota of a brittle server, nil for other limits. Until unlimitedUntil the entry sends
	// as without a limit, until pausedUntil it sends nothing.
	brittle                     *brittleQuota
	unlimitedUntil, pausedUntil time.Time
	// queue are the requests that wait until fewer are in flight at a brittle server.
	queue []*entrant
}

const (
	// minBrittleInterval and maxBrittleInterval bound the time between two attempts of waiting requests
	// at a brittle server, whose rate changes with each response.
	minBrittleInterval, maxBrittleInterval = 50 * time.Millisecond, time.Second
)

// newBucket returns a bucket that holds a random part of one request. Many entries learn of a
// limit at the same moment, and one request of each would exceed it.
func newBucket(rate, random float64, now time.Time) *bucket {
	rate = max(minRate, rate)
	return &bucket{quota: announcedQuota(rate), rate: rate, logged: rate, available: random, filled: now, created: now, observed: now}
}

// newColdBucket returns the bucket of a cold server that accepts up to most requests in any second.
func newColdBucket(most, random float64, now time.Time) *bucket {
	return &bucket{quota: coldQuota(most), available: random, filled: now, created: now, observed: now}
}

// newBrittleBucket returns the bucket of a brittle server, with a random part of one request.
func newBrittleBucket(q *brittleQuota, random float64, now time.Time) *bucket {
	return &bucket{quota: q, brittle: q, available: random, filled: now, created: now, observed: now}
}

// observeBrittle processes a response of a brittle server. After a rejection the entry pauses.
func (b *bucket) observeBrittle(o Observation, entries int, random float64, now time.Time) {
	idle := max(0, earlier(b.pausedUntil, now).Sub(b.brittle.updated))
	b.fill(entries, now)
	b.brittle.announce(o)
	b.brittle.update(o, idle, entries, now)
	b.observed = now
	if !o.Rejected || now.Before(b.pausedUntil) {
		return
	}
	// One request may be due at the end of the pause. It is not counted as a debt until then, because the rate may
	// fall meanwhile, and the debt would last far longer than the pause.
	pause := b.brittle.pause(entries, random)
	b.pausedUntil = now.Add(pause)
	b.available = min(1, b.available+b.entryRate(entries)*pause.Seconds())
}

// most returns how many requests may be in flight at a brittle server, none more during a pause.
func (b *bucket) most(entries int, now time.Time) int {
	if now.Before(b.pausedUntil) {
		return 0
	}
	return b.brittle.most(entries, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// update sets the limit announced in a further response and returns whether it differs much
// from the logged one.
func (b *bucket) update(rate float64, entries int, now time.Time) bool {
	b.fill(entries, now)
	b.rate, b.observed = max(minRate, rate), now
	b.quota = announcedQuota(b.rate)
	if b.rate < b.logged*logChangeFactor && b.logged < b.rate*logChangeFactor {
		return false
	}
	b.logged = b.rate
	return true
}

// interval returns how long it takes an entry to gain a request.
func (b *bucket) interval(entries int) time.Duration {
	d := time.Duration(float64(time.Second) / b.entryRate(entries))
	if b.brittle != nil {
		return max(minBrittleInterval, min(d, maxBrittleInterval))
	}
	return d
}

// fill adds the requests gained since the last call, or since the end of a pause, and drops whole requests that were kept
// for too long. Otherwise entries that seldom have a request to send would each keep one
// ready, and send all of them in the same burst.
func (b *bucket) fill(entries int, now time.Time) {
	from := b.filled
	if b.pausedUntil.After(from) {
		from = b.pausedUntil
	}
	b.available += b.entryRate(entries) * max(0, now.Sub(from).Seconds())
	b.filled = now
	if over := b.available - 1 - b.burst(entries); over > 0 {
		b.available -= math.Ceil(over)
	}
}

// covers returns whether a reservation that was made at that time counts in the bucket.
func (b *bucket) covers(reservedAt time.Time) bool {
	return !reservedAt.Before(b.created)
}

// wait returns how long it is until the next request may be sent.
func (b *bucket) wait(entries int, now time.Time) time.Duration {
	paused, inFlight := max(0, b.pausedUntil.Sub(now)), time.Duration(0)
	if b.brittle != nil {
		inFlight = b.brittle.concurrencyWait(len(b.queue), entries, now)
	}
	if b.available >= 1 || max(paused, inFlight) == 0 && now.Before(b.unlimitedUntil) {
		return max(paused, inFlight)
	}
	return max(paused+time.Duration((1-b.available)/b.entryRate(entries)*float64(time.Second)), inFlight)
}
