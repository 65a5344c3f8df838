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
func (sf *storeFollower) queueShortParts(x *followedStore, short []stores.Part) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	sf.shortPartsQueue = append(sf.shortPartsQueue, shortParts{x, short})
}

// showShortParts shows the queued short parts, one store after the other, until ctx ends.
func (sf *storeFollower) showShortParts(ctx context.Context) {
	for pause := followInterval; wait.For(ctx, pause); {
		next, ok := sf.nextShortParts()
		if !ok {
			pause = followInterval
			continue
		}
		sf.showStoreParts(next.store, "short", false, next.parts)
		pause = shortPartsPause(len(next.parts), entriesPerProcess(sf.watchServer.Entries(), len(sf.replica.Status().Members)))
	}
}

// nextShortParts removes the first short parts from the queue and returns false when it
// is empty. It skips stores that are no longer followed, because the pause after each of
// them would delay the others.
func (sf *storeFollower) nextShortParts() (shortParts, bool) {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	for len(sf.shortPartsQueue) > 0 {
		next := sf.shortPartsQueue[0]
		sf.shortPartsQueue = sf.shortPartsQueue[1:]
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
