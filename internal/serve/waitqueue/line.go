package waitqueue

import (
	"context"
	"slices"
	"sync"
	"time"
)

// mostWoken is how many of those in front try again at each change: enough that
// small requests pass one that needs much room.
const mostWoken = 12

// RecheckInterval is how long a waiter rests at most before it looks again what it can expect.
const RecheckInterval = 100 * time.Millisecond

// Queue is those who wait.
type Queue interface {
	// Wait returns when the waiter may try again, or after a rest, or when ctx ends.
	Wait(ctx context.Context, w *Waiter, rest time.Duration) WakeReason
	// Enter adds a waiter and Leave takes it out; sent says that its request went to an engine.
	Enter(a Item) *Waiter
	Leave(w *Waiter, sent bool)
	// RecordImmediate notes a request that was sent without waiting.
	RecordImmediate(a Item)
	// Forecast returns what the waiter can expect.
	Forecast(w *Waiter) Forecast
	// LocalCapacityFreed lets those in front try again: this entry has made room.
	LocalCapacityFreed()
	// SharedCapacityFreed does so when all entries hear of room at the same moment.
	SharedCapacityFreed()
	// WaitingTokens returns the room that waiters want, by their urgency.
	WaitingTokens() map[int]int
	// Len returns how many wait.
	Len() int
}

// WakeReason is why a wait has ended.
type WakeReason uint8

const (
	// ContextDone means that the context has.
	ContextDone WakeReason = iota
	// Recheck means that nothing has changed for a while.
	Recheck
	// LocalCapacity means that there may be room, of which this entry knows first.
	LocalCapacity
	// SharedCapacity means that there may be room, of which all entries hear at the same moment.
	SharedCapacity
)

// Item is what a request waits for.
type Item struct {
	// Rank says who goes first.
	Rank Rank
	// Tokens is the room that the request takes at an engine.
	Tokens int
	// SendBy is until when it must be sent for its caller to get the answer.
	SendBy time.Time
}

// competes returns whether the request stands in the way of b when it goes first.
func (a Item) competes(b Item) bool {
	return a.Tokens <= largerTimes*b.Tokens
}

// Waiter is one who waits.
type Waiter struct {
	Item
	wake chan WakeReason
}

type line struct {
	mu      sync.Mutex
	waiters []*Waiter
	flow    flow
}

// New returns an empty Line.
func New() Queue {
	return &line{}
}

// Enter implements Line.
func (l *line) Enter(a Item) *Waiter {
	w := &Waiter{Item: a, wake: make(chan WakeReason, 1)}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = append(l.waiters, w)
	l.flow.pass(now, true)
	l.flow.arrive(now, a)
	return w
}

// Leave implements Line.
func (l *line) Leave(w *Waiter, sent bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
	if sent {
		l.flow.leave(now, w.Tokens)
	}
	l.flow.pass(now, len(l.waiters) > 0)
}

// RecordImmediate implements Line.
func (l *line) RecordImmediate(a Item) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow.pass(now, len(l.waiters) > 0)
	l.flow.arrive(now, a)
	l.flow.leave(now, a.Tokens)
}

// Forecast implements Line.
func (l *line) Forecast(w *Waiter) Forecast {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flow.pass(now, len(l.waiters) > 0)
	return forecast(l.waiters, w, &l.flow, now)
}

// Wait implements Line.
func (l *line) Wait(ctx context.Context, w *Waiter, rest time.Duration) WakeReason {
	look := time.NewTimer(rest)
	defer look.Stop()
	select {
	case why := <-w.wake:
		return why
	case <-look.C:
		return Recheck
	case <-ctx.Done():
		return ContextDone
	}
}

// LocalCapacityFreed implements Line.
func (l *line) LocalCapacityFreed() {
	l.wakeFront(LocalCapacity)
}

// wakeFront wakes those in front.
func (l *line) wakeFront(why WakeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiters) == 0 {
		return
	}
	now := time.Now()
	slices.SortStableFunc(l.waiters, func(a, b *Waiter) int {
		switch {
		case a.Rank.before(b.Rank, now):
			return -1
		case b.Rank.before(a.Rank, now):
			return 1
		}
		return 0
	})
	for _, w := range l.waiters[:min(len(l.waiters), mostWoken)] {
		select {
		case w.wake <- why:
		default:
		}
	}
}

// SharedCapacityFreed implements Line.
func (l *line) SharedCapacityFreed() {
	l.wakeFront(SharedCapacity)
}

// Len implements Line.
func (l *line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// WaitingTokens implements Line.
func (l *line) WaitingTokens() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[int]int{}
	for _, w := range l.waiters {
		all[w.Rank.Urgency] += w.Item.Tokens
	}
	return all
}
