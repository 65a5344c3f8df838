package siteentry

import (
	"testing"
	"time"

	"hornbeamwood/internal/node/boottime"
)

// An entry is suspended for two seconds while a server announces that it leaves. When the entry resumes,
// requests are in its socket buffers. If they were sent on at once, they would reach the server after it was
// promised no more. They must wait for the answer to a poll that was sent after the resume, but not
// indefinitely.
func TestResumedEntryWaitsForUpdate(t *testing.T) {
	guard := newSuspensionGuard(func(time.Duration) {})
	began := time.Now()
	guard.awaitUpdate(t.Context())
	if took := time.Since(began); took > resumeWait/4 {
		t.Fatalf("a request of a running process waited %s", took)
	}
	sent := time.Now()
	guard.lastRun.Store(int64(boottime.Now() - 2*time.Second))
	guard.detect()
	guard.pollAnswered(sent)
	done := make(chan time.Duration, 1)
	go func() {
		began := time.Now()
		guard.awaitUpdate(t.Context())
		done <- time.Since(began)
	}()
	select {
	case <-done:
		t.Fatal("an answer to a poll from before the suspension ended the wait")
	case <-time.After(50 * time.Millisecond):
	}
	guard.pollAnswered(time.Now())
	if took := <-done; took >= resumeWait {
		t.Errorf("waited %s after the answer had arrived", took)
	}
	guard.lastRun.Store(int64(boottime.Now() - 2*time.Second))
	began = time.Now()
	guard.awaitUpdate(t.Context())
	if took := time.Since(began); took < resumeWait/2 || took > 4*resumeWait {
		t.Errorf("without an answer it waited %s", took)
	}
}
