package sitecontrol

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/watch"
)

const (
	// shortShare is the part of its time that telling entries of short parts takes a
	// process. They are nine tenths of what a replica owes them that has just got the
	// lease, so that those of one store follow those of the other.
	shortShare = 1.0 / 3
	// partTime is what one part to one entry takes.
	partTime = 5 * time.Microsecond
	// shortPause is the longest pause after a store.
	shortPause = time.Second
)

// shortParts are the short parts of a store as it was first listed.
type shortParts struct {
	shelf *shelf
	parts []stores.Part
}

// later has the short parts of a store shown after those of the stores before it.
func (l *librarian) later(x *shelf, short []stores.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shorts = append(l.shorts, shortParts{x, short})
}

// showShorts shows the short parts of one store after the other until ctx ends.
func (l *librarian) showShorts(ctx context.Context) {
	for pause := followInterval; wait.For(ctx, pause); {
		next, ok := l.nextShort()
		if !ok {
			pause = followInterval
			continue
		}
		l.showShelf(next.shelf, "short", false, next.parts)
		pause = pauseOfShort(len(next.parts), servedTogether(l.watched.Entries(), len(l.replica.Status().Members)))
	}
}

// nextShort takes the short parts that are shown next, and false when there are none.
// Those of stores that were left are passed over: they would hold up the others.
func (l *librarian) nextShort() (shortParts, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.shorts) > 0 {
		next := l.shorts[0]
		l.shorts = l.shorts[1:]
		if !next.shelf.isLeft() {
			return next, true
		}
	}
	return shortParts{}, false
}

// pauseOfShort returns how long after so many short parts those of the next store are
// shown, when one process tells so many entries of them.
func pauseOfShort(parts, entries int) time.Duration {
	return min(shortPause, time.Duration(float64(parts*entries)*float64(partTime)/shortShare))
}

// servedTogether returns how many of the entries one process tells of parts: the
// holder all of few, and each relay its share of many.
func servedTogether(entries, replicas int) int {
	if entries <= watch.MaxSingleRelayEntries {
		return entries
	}
	return (entries + replicas - 1) / max(1, replicas)
}
