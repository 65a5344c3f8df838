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

// Rank says who goes first.
type Rank struct {
	// OnTime is until when the answer has its full worth.
	OnTime time.Time
	// Urgency is the request's rank, 0 the most urgent.
	Urgency int
	// Arrived is when it came.
	Arrived time.Time
}

// before returns whether r goes before o.
//
// One that can still be on time goes before one that is late already: served in
// the order of arrival, in a burst everybody would be late.
func (r Rank) before(o Rank, now time.Time) bool {
	late, otherLate := now.After(r.OnTime), now.After(o.OnTime)
	switch {
	case late != otherLate:
		return otherLate
	case r.Urgency != o.Urgency:
		return r.Urgency < o.Urgency
	}
	return r.Arrived.Before(o.Arrived)
}

// Line is those who wait.
type Line interface {
	// Wait returns when the waiter may try again; false when ctx ends before.
	Wait(ctx context.Context, w *Waiter) bool
	// Enter adds a waiter and Leave takes it out.
	Enter(r Rank) *Waiter
	Leave(w *Waiter)
	// Changed lets those in front try again: this entry has made room.
	Changed()
	// ChangedElsewhere does so when all entries hear of room at the same moment: at
	// once in its turn, else a moment later. others is how many wait at other entries.
	ChangedElsewhere(others int)
	// Len returns how many wait.
	Len() int
}

// Waiter is one who waits.
type Waiter struct {
	rank Rank
	wake chan struct{}
}

type line struct {
	mu      sync.Mutex
	waiters []*Waiter
	// postponed says that a turn is due in a moment.
	postponed bool
}

// New returns an empty Line.
func New() Line {
	return &line{}
}

// Enter implements Line.
func (l *line) Enter(r Rank) *Waiter {
	w := &Waiter{rank: r, wake: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = append(l.waiters, w)
	return w
}

// Leave implements Line.
func (l *line) Leave(w *Waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiters, w); i >= 0 {
		l.waiters = slices.Delete(l.waiters, i, i+1)
	}
}

// Wait implements Line.
func (l *line) Wait(ctx context.Context, w *Waiter) bool {
	select {
	case <-w.wake:
		return true
	case <-ctx.Done():
		return false
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
		case a.rank.before(b.rank, now):
			return -1
		case b.rank.before(a.rank, now):
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
