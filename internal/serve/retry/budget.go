package retry

import (
	"sync"
	"time"
)

const (
	// ratioShare is the share of the ratio that an entry spends, because requests that never
	// reached one of its servers do not count in the fleet's budget.
	ratioShare = 0.75
	// slackShare is the share of the slack that an entry spends in a window, half of it at once.
	// The rest is for entries that have just started and are not counted yet.
	slackShare = 0.7
	// assumedEntries is the assumed number of entries until a replica reports it.
	assumedEntries = 12
)

// Terms are the fleet's retry budget for one service.
type Terms struct {
	// Ratio is the share of the requests that may be retried within Window.
	Ratio float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Slack is how many further retries all entries together may send in a window.
	Slack float64
}

// Budget grants retries for each service.
type Budget interface {
	// RecordRequest records a caller's request for the service.
	RecordRequest(service string, now time.Time)
	// Spend returns whether one retry at the service may be sent, and spends it.
	Spend(service string, now time.Time) bool
	// Available returns whether a retry at the service could be sent now, without spending it.
	Available(service string, now time.Time) bool
	// SetEntries sets how many entries share the slack.
	SetEntries(n int)
}

type budget struct {
	terms   Terms
	mu      sync.Mutex
	entries int
	buckets map[string]*bucket
}

// bucket is the budget of one service: earned grows with requests, slack with time.
type bucket struct {
	earned, slack float64
	filled        time.Time
}

// NewBudget returns a Budget with full slack.
func NewBudget(t Terms) Budget {
	return &budget{terms: t, entries: assumedEntries, buckets: map[string]*bucket{}}
}

// SetEntries implements Budget.
func (b *budget) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > 0 {
		b.entries = n
	}
}

// RecordRequest implements Budget.
func (b *budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, now)
	// What was earned more than a window ago is no longer in the fleet's window. The bound keeps
	// requests of a quiet hour from paying for a burst of retries.
	k.earned = min(k.earned+b.terms.Ratio*ratioShare, b.entrySlack())
}

// Spend implements Budget.
func (b *budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, now)
	switch {
	case k.earned >= 1:
		k.earned--
	case k.slack >= 1:
		k.slack--
	default:
		return false
	}
	return true
}

// Available implements Budget.
func (b *budget) Available(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service, now)
	return k.earned >= 1 || k.slack >= 1
}

// entrySlack is an entry's share of the slack in half a window.
func (b *budget) entrySlack() float64 {
	return max(1, b.terms.Slack*slackShare/2/float64(b.entries))
}

func (b *budget) bucket(service string, now time.Time) *bucket {
	k, ok := b.buckets[service]
	if !ok {
		k = &bucket{slack: b.entrySlack(), filled: now}
		b.buckets[service] = k
	}
	if b.terms.Window > 0 {
		k.slack = min(b.entrySlack(), k.slack+b.entrySlack()*now.Sub(k.filled).Seconds()/b.terms.Window.Seconds())
	}
	k.filled = now
	return k
}
