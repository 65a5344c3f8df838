package stores

import (
	"context"
	"time"
)

// Feed is a store's answer to a poll for changes.
type Feed struct {
	// Epoch changes with each start of the store; a store starts empty.
	Epoch int64
	// Next is the cursor of the next poll.
	Next int64
	// Lost is set when earlier changes are missing.
	Lost bool
	// Changes are the changes, the oldest first.
	Changes []Change
	// Clock is the servers' clock in Unix milliseconds when the answer was sent, zero when the answer has none.
	Clock int64
}

// Change is a part that was added or removed.
type Change struct {
	// Part identifies the part.
	Part Part
	// Added is true when the part is now complete in the store, false when it was removed.
	Added bool
	// Tokens is the part's size.
	Tokens int
}

// Listing is the full content of a store.
type Listing struct {
	// Epoch and Next are as in a Feed.
	Epoch, Next int64
	// Held are the complete parts with their sizes.
	Held map[Part]int
	// Partial are parts that are being written, or whose writer has failed; they occupy capacity.
	Partial map[Part]int
	// Clock is as in a Feed.
	Clock int64
}

// Client calls stores.
type Client interface {
	// Events returns the changes since next; the store may wait that long for the first one.
	Events(ctx context.Context, address string, next int64, wait time.Duration) (Feed, error)
	// List returns the full content of the store; the store stalls for a moment meanwhile.
	List(ctx context.Context, address string) (Listing, error)
	// Free frees parts; the store refuses when its epoch differs or its clock is past until.
	Free(ctx context.Context, address string, epoch int64, parts []Part, until int64) error
}
