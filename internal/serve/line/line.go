package line

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// mostWoken is how many of those in front try again at each change: enough that
// small requests pass one that needs much room.
const mostWoken = 12

// turnPause is how long an entry waits that left room to others: until it hears what they took.
const turnPause = 40 * time.Millisecond

// lookInterval is how long a waiter rests at most before it looks again what it can expect.
const lookInterval = 100 * time.Millisecond

// Line is those who wait.
type Line interface {
	// Wait returns when the waiter may try again, or after a moment to look what it can expect, or when ctx ends.
	Wait(ctx context.Context, w *Waiter) Wake
	// Enter adds a waiter and Leave takes it out; sent says that its request went to an engine.
	Enter(a Ask) *Waiter
	Leave(w *Waiter, sent bool)
	// Direct notes a request that was sent without waiting.
	Direct(a Ask)
	// Forecast returns what the waiter can expect.
	Forecast(w *Waiter) Forecast
	// Changed lets those in front try again: this entry has made room.
	Changed()
	// ChangedElsewhere does so when all entries hear of room at the same moment: at
	// once in its turn, else a moment later. others is how many wait at other entries.
	ChangedElsewhere(others int)
	// Len returns how many wait.
	Len() int
}

// Wake is why a wait has ended.
type Wake uint8

const (
	// Ended means that the context has.
	Ended Wake = iota
	// Look means that nothing has changed for a while.
	Look
	// Room means that there may be room, and that it is the waiter's turn.
	Room
)

// Ask is what a request waits for.
type Ask struct {
	// Rank says who goes first.
	Rank Rank
	// Tokens is the room that the request takes at an engine.
	Tokens int
	// Last is until when it must be sent for its caller to get the answer.
	Last time.Time
}

// competes returns whether the request stands in the way of b when it goes first.
func (a Ask) competes(b Ask) bool {
	return a.Tokens <= largerTimes*b.Tokens
}

// Waiter is one who waits.
type Waiter struct {
	Ask
	wake chan struct{}
}

type line struct {
	mu      sync.Mutex
	waiters []*Waiter
	flow    flow
	// postponed says that a turn is due in a moment.
	postponed bool
}

// New returns an empty Line.
func New() Line {
	return &line{}
}

// Enter implements Line.
func (l *line) Enter(a Ask) *Waiter {
	w := &Waiter{Ask: a, wake: make(chan struct{}, 1)}
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

// Direct implements Line.
func (l *line) Direct(a Ask) {
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
func (l *line) Wait(ctx context.Context, w *Waiter) Wake {
	look := time.NewTimer(lookInterval)
	defer look.Stop()
	select {
	case <-w.wake:
		return Room
	case <-look.C:
		return Look
	case <-ctx.Done():
		return Ended
	}
}

// Changed implements Line.
func (l *line) Changed() {
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
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// ChangedElsewhere implements Line.
//
// All entries hear of the same room at the same moment. If each sent a request
// there, most would wait at that engine behind the others; so each goes in
// proportion to how many wait there, and the others look again once they know
// what was taken.
func (l *line) ChangedElsewhere(others int) {
	l.mu.Lock()
	own := len(l.waiters)
	if own == 0 || l.postponed {
		l.mu.Unlock()
		return
	}
	if rand.IntN(own+max(0, others)) < own {
		l.mu.Unlock()
		l.Changed()
		return
	}
	l.postponed = true
	l.mu.Unlock()
	time.AfterFunc(turnPause, func() {
		l.mu.Lock()
		l.postponed = false
		l.mu.Unlock()
		l.ChangedElsewhere(others)
	})
}

// Len implements Line.
func (l *line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}
