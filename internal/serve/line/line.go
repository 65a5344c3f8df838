package line

import (
	"context"
	"slices"
	"sync"
	"time"
)

// mostWoken is how many of those in front try again at each change: enough that
// small requests pass one that needs much room.
const mostWoken = 12

// LookInterval is how long a waiter rests at most before it looks again what it can expect.
const LookInterval = 100 * time.Millisecond

// Line is those who wait.
type Line interface {
	// Wait returns when the waiter may try again, or after a rest, or when ctx ends.
	Wait(ctx context.Context, w *Waiter, rest time.Duration) Wake
	// Enter adds a waiter and Leave takes it out; sent says that its request went to an engine.
	Enter(a Ask) *Waiter
	Leave(w *Waiter, sent bool)
	// Direct notes a request that was sent without waiting.
	Direct(a Ask)
	// Forecast returns what the waiter can expect.
	Forecast(w *Waiter) Forecast
	// Changed lets those in front try again: this entry has made room.
	Changed()
	// ChangedElsewhere does so when all entries hear of room at the same moment.
	ChangedElsewhere()
	// Tokens returns the room that waiters want, by their urgency.
	Tokens() map[int]int
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
	// Room means that there may be room, of which this entry knows first.
	Room
	// RoomElsewhere means that there may be room, of which all entries hear at the same moment.
	RoomElsewhere
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
	wake chan Wake
}

type line struct {
	mu      sync.Mutex
	waiters []*Waiter
	flow    flow
}

// New returns an empty Line.
func New() Line {
	return &line{}
}

// Enter implements Line.
func (l *line) Enter(a Ask) *Waiter {
	w := &Waiter{Ask: a, wake: make(chan Wake, 1)}
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
func (l *line) Wait(ctx context.Context, w *Waiter, rest time.Duration) Wake {
	look := time.NewTimer(rest)
	defer look.Stop()
	select {
	case why := <-w.wake:
		return why
	case <-look.C:
		return Look
	case <-ctx.Done():
		return Ended
	}
}

// Changed implements Line.
func (l *line) Changed() {
	l.wakeFront(Room)
}

// wakeFront wakes those in front.
func (l *line) wakeFront(why Wake) {
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

// ChangedElsewhere implements Line.
func (l *line) ChangedElsewhere() {
	l.wakeFront(RoomElsewhere)
}

// Len implements Line.
func (l *line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiters)
}

// Tokens implements Line.
func (l *line) Tokens() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[int]int{}
	for _, w := range l.waiters {
		all[w.Rank.Urgency] += w.Ask.Tokens
	}
	return all
}
