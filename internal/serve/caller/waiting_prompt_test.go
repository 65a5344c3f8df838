package caller

import (
	"net/http"
	"testing"
	"time"
)

// prompt sends a prompt and returns a channel of the status, 0 for a connection that is closed
// without a response.
func (f *fixture) prompt(t *testing.T) <-chan int {
	t.Helper()
	status := make(chan int, 1)
	go func() {
		q, err := http.NewRequest(http.MethodPost, f.front.URL+"/prompt/a", nil)
		if err != nil {
			status <- -1
			return
		}
		q.Host = "h"
		q.Header.Set("A-Id", "r")
		q.Header.Set("A-Prompt", "yes")
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			status <- 0
			return
		}
		_ = r.Body.Close()
		status <- r.StatusCode
	}()
	return status
}

// awaitQueued waits until a request is queued.
func (f *fixture) awaitQueued(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); f.queue.Len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request is queued")
		}
	}
}

// All engines of a small site load new weights at the same moment. Prompts must wait for the
// first that is ready; refused, their callers would retry at the same engines.
func TestPromptWaitsForLoadingEngine(t *testing.T) {
	f := newFixture(t, streamOf("a", 2, true))
	f.site.set(true, false)
	status := f.prompt(t)
	f.awaitQueued(t)
	f.site.set(false, false)
	f.queue.LocalCapacityFreed()
	if got := <-status; got != http.StatusOK {
		t.Errorf("got %d", got)
	}
}

// Prompts wait for capacity and the last engine leaves. Each caller must get a response at
// once that its prompt has not run. Previously the handler panicked, and all of those callers
// found their connections closed without a response.
func TestPromptIsRefusedWhenTheLastEngineLeaves(t *testing.T) {
	f := newFixture(t, answerOK("x"))
	f.site.set(true, false)
	status := f.prompt(t)
	f.awaitQueued(t)
	f.site.set(true, true)
	f.queue.LocalCapacityFreed()
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
}
