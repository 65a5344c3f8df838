package retry

import (
	"sync"
	"time"
)

const (
	// ratioShare is the part of the ratio that an entry spends: requests that
	// never reached a server of this entry's don't count towards the fleet's.
	ratioShare = 0.75
	// slackShare is the part of the slack that an entry spends in a window,
	// half of it at once: entries that started a moment ago aren't counted yet.
	slackShare = 0.7
	// unknownEntries stands for the number of entries until a replica has told it.
	unknownEntries = 12
)

// Terms are the fleet's budget for repeats at one service.
type Terms struct {
	// Ratio is the part of the requests that may be repeated within Window.
	Ratio float64
	// Window is the span that is counted in.
	Window time.Duration
	// Slack is how many more repeats all entries may make in a window.
	Slack float64
}

// Budget grants repeats, service by service.
type Budget interface {
	// RecordRequest notes a caller's request for the service.
	RecordRequest(service string, now time.Time)
	// Spend returns whether one repeat at the service may be sent, and spends it.
	Spend(service string, now time.Time) bool
	// Available returns whether a repeat at the service could be sent now; it spends nothing.
	Available(service string, now time.Time) bool
	// SetEntries tells how many entries share the slack.
	SetEntries(n int)
}

type budget struct {
	terms   Terms
	mu      sync.Mutex
	entries int
	buckets map[string]*bucket
}

// bucket holds what may be spent at one service: earned grows with requests, slack with time.
type bucket struct {
	earned, slack float64
	filled        time.Time
}

// NewBudget returns a Budget with full slack.
func NewBudget(t Terms) Budget {
	return &budget{terms: t, entries: unknownEntries, buckets: map[string]*bucket{}}
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
	// What was earned longer than a window ago doesn't count in the fleet's
	// window any more; the bound keeps a quiet hour from paying for a storm.
	k.earned = min(k.earned+b.terms.Ratio*ratioShare, b.share())
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

// share is an entry's part of the slack in half a window.
func (b *budget) share() float64 {
	return max(1, b.terms.Slack*slackShare/2/float64(b.entries))
}

func (b *budget) bucket(service string, now time.Time) *bucket {
	k, ok := b.buckets[service]
	if !ok {
		k = &bucket{slack: b.share(), filled: now}
		b.buckets[service] = k
	}
	if b.terms.Window > 0 {
		k.slack = min(b.share(), k.slack+b.share()*now.Sub(k.filled).Seconds()/b.terms.Window.Seconds())
	}
	k.filled = now
	return k
}
