package siteentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/boottime"
)

const (
	// suspensionCheckInterval is the interval at which the process records that it runs.
	suspensionCheckInterval = 100 * time.Millisecond
	// suspendedAfter is the gap between two records from which the process counts as suspended. It is half of
	// the time for which a leaving server still takes requests, less than the shortest suspension that matters,
	// and more than the delays of a busy VM.
	suspendedAfter = 700 * time.Millisecond
	// resumeWait is how long requests wait for a fresh answer after that: a new poll and, if the connection is
	// lost, its handshake. An entry that is cut off continues with the state that it has.
	resumeWait = 500 * time.Millisecond
)

// suspensionGuard holds requests back for a moment in a process that was suspended.
//
// During the suspension a server may have announced that it leaves, and the announcement may have been
// acknowledged. Requests in this process's socket buffers would be sent there right after the resume, seconds too
// late, and be cut off when the server ends.
type suspensionGuard struct {
	// onResume is called with the length of the suspension before the process continues to serve.
	onResume func(suspended time.Duration)
	// lastRun is when the process last recorded that it runs, by the boot clock.
	lastRun atomic.Int64

	mu sync.Mutex
	// resumedAt is when the last suspension was detected, lastPollSent the latest send time of an answered poll.
	resumedAt    time.Time
	lastPollSent time.Time
	updated      chan struct{}
}

func newSuspensionGuard(onResume func(suspended time.Duration)) *suspensionGuard {
	g := &suspensionGuard{onResume: onResume, updated: make(chan struct{})}
	g.lastRun.Store(int64(boottime.Now()))
	return g
}

// run records that the process runs until ctx ends.
func (g *suspensionGuard) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.detect()
		g.lastRun.Store(int64(boottime.Now()))
		wait.For(ctx, suspensionCheckInterval)
	}
}

// detect checks whether the process was suspended.
func (g *suspensionGuard) detect() {
	last := time.Duration(g.lastRun.Load())
	suspended := boottime.Now() - last
	if suspended < suspendedAfter {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Duration(g.lastRun.Load()) != last {
		return
	}
	g.onResume(suspended)
	g.resumedAt = time.Now()
	g.lastRun.Store(int64(boottime.Now()))
}

// pollAnswered records the answer to a poll that was sent at that time.
func (g *suspensionGuard) pollAnswered(sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !sent.After(g.lastPollSent) {
		return
	}
	g.lastPollSent = sent
	close(g.updated)
	g.updated = make(chan struct{})
}

// awaitUpdate waits until a poll that was sent after the resume has been answered, for resumeWait at most.
func (g *suspensionGuard) awaitUpdate(ctx context.Context) {
	g.detect()
	for {
		g.mu.Lock()
		remaining, answered, updated := resumeWait-time.Since(g.resumedAt), g.lastPollSent.After(g.resumedAt), g.updated
		g.mu.Unlock()
		if remaining <= 0 || answered {
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-updated:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
