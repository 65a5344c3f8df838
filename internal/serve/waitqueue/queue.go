package waitqueue

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxWoken is how many of the first waiters are woken at each change. Several are needed so
// that small requests can pass one that needs much capacity.
const maxWoken = 12

// RecheckInterval is the longest time a waiter sleeps before it checks its forecast again.
const RecheckInterval = 100 * time.Millisecond

// Queue holds the requests that wait for capacity.
type Queue interface {
	// Wait returns when the waiter may try again, when the timeout has passed, or when ctx ends.
	Wait(ctx context.Context, w *Waiter, timeout time.Duration) WakeReason
	// Enter adds a waiter and Leave removes it; sent is true if its request was sent to an engine.
	Enter(a Item) *Waiter
	Leave(w *Waiter, sent bool)
	// RecordImmediate records a request that was sent without waiting.
	RecordImmediate(a Item)
	// Forecast returns what the waiter can expect.
	Forecast(w *Waiter) Forecast
	// Preview returns what a request that doesn't wait yet could expect.
	Preview(a Item) Forecast
	// LocalCapacityFreed wakes the first waiters because this entry has freed capacity.
	LocalCapacityFreed()
	// SharedCapacityFreed wakes the first waiters because capacity was freed of which all entries
	// learn at the same moment.
	SharedCapacityFreed()
	// WaitingTokens returns the tokens that waiters need, by urgency.
	WaitingTokens() map[int]int
	// Len returns the number of waiters.
	Len() int
}

// WakeReason is why a wait has ended.
type WakeReason uint8

const (
	// ContextDone means that the context is done.
	ContextDone WakeReason = iota
	// Recheck means that the timeout passed without a change.
	Recheck
	// LocalCapacity means that there may be capacity that this entry freed and knows of first.
	LocalCapacity
	// SharedCapacity means that there may be capacity of which all entries learn at the same
	// moment.
	SharedCapacity
)

// Item describes a waiting request.
type Item struct {
	// Rank determines the order among waiters.
	Rank Rank
	// Tokens is the engine memory that the request needs, in tokens.
	Tokens int
	// SendBy is the latest time to send the request for its caller to get the response.
	SendBy time.Time
	// Engines are those that the request may be sent to; the zero value means all.
	Engines Engines
}

// Engines are some of the engines of a service.
type Engines struct {
	// Group is the name that requests for the same engines have in common.
	Group string
	// Share is the share of the service's capacity that they have.
	Share float64
}

// share returns the share of the service's capacity.
func (e Engines) share() float64 {
	if e == (Engines{}) {
		return 1
	}
	return e.Share
}

// load returns which part of the tokens of a request for the engines o is sent to these.
func (e Engines) load(o Engines) float64 {
	switch {
	case o == (Engines{}):
		return e.share()
	case e == (Engines{}) || e.Group == o.Group:
		return 1
	}
	return 0
}

// competes returns whether the request delays b when it goes first.
func (a Item) competes(b Item) bool {
	return a.Tokens <= competingSizeFactor*b.Tokens
}

// Waiter is a request in the queue.
type Waiter struct {
	Item
	wake chan WakeReason
}

type queue struct {
	mu      sync.Mutex
	waiters []*Waiter
	rate    rateEstimator
}

// New returns an empty Queue.
func New() Queue {
	return &queue{}
}

// Enter implements Queue.
func (q *queue) Enter(a Item) *Waiter {
	w := &Waiter{Item: a, wake: make(chan WakeReason, 1)}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = append(q.waiters, w)
	q.rate.advance(now, true)
	q.rate.recordArrival(now, a)
	return w
}

// Leave implements Queue.
func (q *queue) Leave(w *Waiter, sent bool) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
	}
	if sent {
		q.rate.recordSent(now, w.Tokens)
	}
	q.rate.advance(now, len(q.waiters) > 0)
}

// RecordImmediate implements Queue.
func (q *queue) RecordImmediate(a Item) {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate.advance(now, len(q.waiters) > 0)
	q.rate.recordArrival(now, a)
	q.rate.recordSent(now, a.Tokens)
}

// Forecast implements Queue.
func (q *queue) Forecast(w *Waiter) Forecast {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rate.advance(now, len(q.waiters) > 0)
	return forecast(q.waiters, w, &q.rate, now)
}

// Preview implements Queue.
func (q *queue) Preview(a Item) Forecast {
	return q.Forecast(&Waiter{Item: a})
}

// Wait implements Queue.
func (q *queue) Wait(ctx context.Context, w *Waiter, timeout time.Duration) WakeReason {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reason := <-w.wake:
		return reason
	case <-timer.C:
		return Recheck
	case <-ctx.Done():
		return ContextDone
	}
}

// LocalCapacityFreed implements Queue.
func (q *queue) LocalCapacityFreed() {
	q.wakeFirst(LocalCapacity)
}

// wakeFirst wakes the highest-ranked waiters.
func (q *queue) wakeFirst(reason WakeReason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) == 0 {
		return
	}
	now := time.Now()
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int {
		switch {
		case a.Rank.before(b.Rank, now):
			return -1
		case b.Rank.before(a.Rank, now):
			return 1
		}
		return 0
	})
	for _, w := range q.waiters[:min(len(q.waiters), maxWoken)] {
		select {
		case w.wake <- reason:
		default:
		}
	}
}

// SharedCapacityFreed implements Queue.
func (q *queue) SharedCapacityFreed() {
	q.wakeFirst(SharedCapacity)
}

// Len implements Queue.
func (q *queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// WaitingTokens implements Queue.
func (q *queue) WaitingTokens() map[int]int {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := map[int]int{}
	for _, w := range q.waiters {
		all[w.Rank.Urgency] += w.Item.Tokens
	}
	return all
}
