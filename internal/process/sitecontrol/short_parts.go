package sitecontrol

import (
	"context"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/watch"
)

const (
	// shortPartsTimeShare is the share of its time that a process spends on sending
	// short parts to entries. They are nine tenths of what a replica has to send after
	// it got the lease, so they are sent one store at a time.
	shortPartsTimeShare = 1.0 / 3
	// partSendTime is the time that sending one part to one entry takes.
	partSendTime = 5 * time.Microsecond
	// maxShortPartsPause is the longest pause after the short parts of a store.
	maxShortPartsPause = time.Second
)

// shortParts holds the short parts of a store's first list.
type shortParts struct {
	store *followedStore
	parts []stores.Part
}

// queueShortParts queues the short parts of a store behind those of earlier stores.
func (l *storeFollower) queueShortParts(x *followedStore, short []stores.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shortPartsQueue = append(l.shortPartsQueue, shortParts{x, short})
}

// showShortParts shows the queued short parts, one store after the other, until ctx ends.
func (l *storeFollower) showShortParts(ctx context.Context) {
	for pause := followInterval; wait.For(ctx, pause); {
		next, ok := l.nextShortParts()
		if !ok {
			pause = followInterval
			continue
		}
		l.showStoreParts(next.store, "short", false, next.parts)
		pause = shortPartsPause(len(next.parts), entriesPerProcess(l.watchServer.Entries(), len(l.replica.Status().Members)))
	}
}

// nextShortParts removes the first short parts from the queue and returns false when it
// is empty. It skips stores that are no longer followed, because the pause after each of
// them would delay the others.
func (l *storeFollower) nextShortParts() (shortParts, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.shortPartsQueue) > 0 {
		next := l.shortPartsQueue[0]
		l.shortPartsQueue = l.shortPartsQueue[1:]
		if !next.store.isUnfollowed() {
			return next, true
		}
	}
	return shortParts{}, false
}

// shortPartsPause returns the pause after a store with the given number of short parts,
// when one process sends them to the given number of entries.
func shortPartsPause(parts, entries int) time.Duration {
	return min(maxShortPartsPause, time.Duration(float64(parts*entries)*float64(partSendTime)/shortPartsTimeShare))
}

// entriesPerProcess returns to how many entries one process sends parts. On a small
// site the lease holder serves all entries; on a large one each relay serves its share.
func entriesPerProcess(entries, replicas int) int {
	if entries <= watch.MaxSingleRelayEntries {
		return entries
	}
	return (entries + replicas - 1) / max(1, replicas)
}
