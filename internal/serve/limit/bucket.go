package limit

import (
	"math"
	"time"
)

const (
	// usableShare is the part of a limit that the counted entries use. The rest is for entries
	// that have just started, and for the chance that many send at once.
	usableShare = 0.75
	// burstWindow is for how long an entry may still send a request that it could have sent
	// earlier. minBurst is how many such requests all entries together may keep in any case.
	burstWindow = 500 * time.Millisecond
	minBurst    = 1.0
	// A server tolerates toleranceRequests more than toleranceFactor times its limit in
	// toleranceWindow.
	toleranceWindow   = 4 * time.Second
	toleranceFactor   = 1.5
	toleranceRequests = 5.0
	// minRate is the lowest limit in requests per second. A server that never gets a request could
	// not announce the end of its limit.
	minRate = 0.1
	// logChangeFactor is the factor by which a limit must change to be logged again.
	logChangeFactor = 1.25
)

// bucket is an entry's share of one server's limit.
type bucket struct {
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
	return &bucket{rate: rate, logged: rate, available: random, filled: now, observed: now}
}

// update sets the limit announced in a further response and returns whether it differs much
// from the logged one.
func (b *bucket) update(rate float64, entries int, now time.Time) bool {
	b.fill(entries, now)
	b.rate, b.observed = max(minRate, rate), now
	if b.rate < b.logged*logChangeFactor && b.logged < b.rate*logChangeFactor {
		return false
	}
	b.logged = b.rate
	return true
}

// entryRate returns the requests per second of one entry.
func (b *bucket) entryRate(entries int) float64 {
	return usableShare * b.rate / float64(max(1, entries))
}

// interval returns how long it takes an entry to gain a request.
func (b *bucket) interval(entries int) time.Duration {
	return time.Duration(float64(time.Second) / b.entryRate(entries))
}

// burst returns how many requests beyond one, including fractions, an entry may keep.
//
// Few entries may keep what a server tolerates even if all of them send it at once. With many
// entries, each of which seldom has a request to send, the total is limited to a few requests.
func (b *bucket) burst(entries int) float64 {
	n := float64(max(1, entries))
	tolerated := toleranceRequests + (toleranceFactor-usableShare)*b.rate*toleranceWindow.Seconds()
	return max(b.entryRate(entries)*burstWindow.Seconds(), minBurst/n, tolerated/n-1)
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
