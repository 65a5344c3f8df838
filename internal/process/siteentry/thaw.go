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
	// thawTick is how often the process notes that it runs.
	thawTick = 100 * time.Millisecond
	// thawAfter is for how long it must not have, to count as having stood still:
	// half of the time that a leaving server still takes requests, less than the
	// shortest freeze that matters, more than a busy VM's delays.
	thawAfter = 700 * time.Millisecond
	// thawWait is how long requests wait for news after that: a new poll and, where
	// the connection is gone, its handshake. An entry that is cut off serves on
	// with what it has.
	thawWait = 500 * time.Millisecond
)

// thaw holds requests back for a moment in a process that has stood still.
//
// While it stood, a server may have said that it leaves and have been
// acknowledged. The requests that lay in this process's sockets would be sent
// there as its first deed, seconds too late, and be cut off with the server.
type thaw struct {
	// woke is called with how long the process has stood still, before it serves on.
	woke func(stood time.Duration)
	// ran is when the process last noted that it runs, by the boot clock.
	ran atomic.Int64

	mu sync.Mutex
	// woken is when it was found to have stood still, heardAt the latest sending of a poll that was answered.
	woken   time.Time
	heardAt time.Time
	news    chan struct{}
}

func newThaw(woke func(stood time.Duration)) *thaw {
	t := &thaw{woke: woke, news: make(chan struct{})}
	t.ran.Store(int64(boottime.Now()))
	return t
}

// run notes that the process runs until ctx ends.
func (t *thaw) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.look()
		t.ran.Store(int64(boottime.Now()))
		wait.For(ctx, thawTick)
	}
}

// look finds out whether the process has stood still.
func (t *thaw) look() {
	last := time.Duration(t.ran.Load())
	stood := boottime.Now() - last
	if stood < thawAfter {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Duration(t.ran.Load()) != last {
		return
	}
	t.woke(stood)
	t.woken = time.Now()
	t.ran.Store(int64(boottime.Now()))
}

// heard notes that a poll that was sent at that time has been answered.
func (t *thaw) heard(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !sent.After(t.heardAt) {
		return
	}
	t.heardAt = sent
	close(t.news)
	t.news = make(chan struct{})
}

// settle waits until news have come that were asked for after the process woke.
func (t *thaw) settle(ctx context.Context) {
	t.look()
	for {
		t.mu.Lock()
		left, known, news := thawWait-time.Since(t.woken), t.heardAt.After(t.woken), t.news
		t.mu.Unlock()
		if left <= 0 || known {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-news:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}
