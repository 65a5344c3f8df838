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
	// observed is when the server last announced the limit.
	observed time.Time
}

// newBucket returns a bucket that holds a random part of one request. Many entries learn of a
// limit at the same moment, and one request of each would exceed it.
func newBucket(rate, random float64, now time.Time) *bucket {
	rate = max(minRate, rate)
	return &bucket{quota: announcedQuota(rate), rate: rate, logged: rate, available: random, filled: now, observed: now}
}

// newColdBucket returns the bucket of a cold server that accepts up to most requests in any second.
func newColdBucket(most, random float64, now time.Time) *bucket {
	return &bucket{quota: coldQuota(most), available: random, filled: now, observed: now}
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
	return time.Duration(float64(time.Second) / b.entryRate(entries))
}

// fill adds the requests gained since the last call and drops whole requests that were kept
// for too long. Otherwise entries that seldom have a request to send would each keep one
// ready, and send all of them in the same burst.
func (b *bucket) fill(entries int, now time.Time) {
	b.available += b.entryRate(entries) * max(0, now.Sub(b.filled).Seconds())
	b.filled = now
	if over := b.available - 1 - b.burst(entries); over > 0 {
		b.available -= math.Ceil(over)
	}
}

// wait returns how long it is until the next request may be sent.
func (b *bucket) wait(entries int) time.Duration {
	if b.available >= 1 {
		return 0
	}
	return time.Duration((1 - b.available) * float64(b.interval(entries)))
}
