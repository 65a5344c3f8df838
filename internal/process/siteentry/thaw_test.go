package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/node/boottime"
)

// An entry stands still for two seconds while a server says that it leaves.
// When the entry wakes, requests lie in its sockets; sent on at once they would
// reach the server after it was promised no more. They must wait for news that
// were asked for after the entry woke, and not for ever if none come.
func TestWokenEntryWaitsForNews(t *testing.T) {
	w := newThaw(func(time.Duration) {})
	began := time.Now()
	w.settle(t.Context())
	if took := time.Since(began); took > thawWait/4 {
		t.Fatalf("a request of a running process waited %s", took)
	}
	asked := time.Now()
	w.ran.Store(int64(boottime.Now() - 2*time.Second))
	w.look()
	w.heard(asked)
	done := make(chan time.Duration, 1)
	go func() {
		began := time.Now()
		w.settle(t.Context())
		done <- time.Since(began)
	}()
	select {
	case <-done:
		t.Fatal("an answer from before the standstill was taken for news")
	case <-time.After(50 * time.Millisecond):
	}
	w.heard(time.Now())
	if took := <-done; took >= thawWait {
		t.Errorf("waited %s with the news there", took)
	}
	w.ran.Store(int64(boottime.Now() - 2*time.Second))
	began = time.Now()
	w.settle(t.Context())
	if took := time.Since(began); took < thawWait/2 || took > 4*thawWait {
		t.Errorf("without any news it waited %s", took)
	}
}
