package inbound

import (
	"context"
	"time"
)

// Reserve reserves n bytes until the request with that context has ended. It waits for a body's longest time until other
// clients have released or lost theirs, and returns ErrNoMemory then, or ErrTooLarge at once if there can never be so much.
func Reserve(ctx context.Context, n int64) error {
	c := connOf(ctx)
	if c == nil {
		return nil
	}
	return c.server.account.reserve(c, n, time.Now().Add(c.server.account.bounds().BodyTimeout))
}

// TryReserve reserves n bytes until the request with that context has ended, if they are free.
func TryReserve(ctx context.Context, n int64) bool {
	c := connOf(ctx)
	return c == nil || c.server.account.tryReserve(c, n)
}

// Charge reserves n bytes that are held already, such as an answer that can't be refused any more, until the request with
// that context has ended.
func Charge(ctx context.Context, n int64) {
	if c := connOf(ctx); c != nil {
		c.server.account.charge(c, n)
	}
}
