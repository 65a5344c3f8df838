package stores

import (
	"context"
	"time"
)

// Feed is what a store tells of its changes.
type Feed struct {
	// Epoch differs after each start of the store, which begins empty.
	Epoch int64
	// Next is where the next poll goes on.
	Next int64
	// Lost says that changes before these are missing.
	Lost bool
	// Changes are in their order.
	Changes []Change
	// Clock is the servers' clock in Unix milliseconds when the answer was given, zero where it isn't told.
	Clock int64
}

// Change is a part that came or went.
type Change struct {
	// Part is the piece.
	Part Part
	// Added is true when it is whole in the store now, false when it is gone.
	Added bool
	// Tokens is its size.
	Tokens int
}

// Listing is all that a store holds.
type Listing struct {
	// Epoch and Next are as in a Feed.
	Epoch, Next int64
	// Held are the whole parts with their sizes.
	Held map[Part]int
	// Partial are parts that are being written or broke off; they keep their room.
	Partial map[Part]int
	// Clock is as in a Feed.
	Clock int64
}

// Client speaks to stores.
type Client interface {
	// Events returns the changes since next; the answer may wait that long for one.
	Events(ctx context.Context, address string, next int64, wait time.Duration) (Feed, error)
	// List returns all that the store holds; it stalls the store for a moment.
	List(ctx context.Context, address string) (Listing, error)
	// Free drops parts; the store refuses when its epoch is another one or its clock is past until.
	Free(ctx context.Context, address string, epoch int64, parts []Part, until int64) error
}
