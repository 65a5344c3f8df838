package completion

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/policy/admission"
)

// The servers are saturated with long requests. Further requests wait at the
// entry instead of at a server. They are sent when there is capacity, and leave
// the queue when their caller disconnects.
func TestLongRequestsWaitForTheirTurn(t *testing.T) {
	const full = 10_000 * 15
	f := newFixture(t, 1, full)
	f.engines.scripts[address("engine-1")] = script{events: []string{"whole"}}
	ctx, disconnect := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	result := make(chan error, 1)
	waiting.Go(func() {
		_, err := f.router.Complete(ctx, newRequest("a draft whose caller leaves", 2))
		result <- err
	})
	answers := make(chan string, 1)
	waiting.Go(func() {
		s, err := f.router.Complete(context.Background(), newRequest("a draft that waits", 2))
		if err != nil {
			answers <- err.Error()
			return
		}
		got, _ := drain(s)
		answers <- got
	})
	urgent, err := f.router.Complete(context.Background(), newRequest("urgent", 7))
	if err != nil {
		t.Fatalf("an urgent request must not wait at the entry: %v", err)
	}
	_, _ = drain(urgent)
	disconnect()
	if err := <-result; verdict.Of(err) != verdict.NotRun {
		t.Errorf("the caller that left got %v", err)
	}
	f.announceFree(t)
	if got := <-answers; got != "whole" {
		t.Errorf("the waiting request got %q", got)
	}
	waiting.Wait()
}

// The servers stay saturated, or accept requests and answer none. A queued
// request must be refused once it can't meet its deadline any more. Otherwise its
// caller would wait until it disconnects by itself, without knowing that nothing
// has run.
func TestWaitingRequestEndsBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const full = 10_000 * 15
		f := newFixture(t, 1, full)
		ctx, disconnect := context.WithTimeout(context.Background(), 10*time.Minute)
		defer disconnect()
		start := time.Now()
		_, err := f.router.Complete(ctx, newRequest("a draft that waits", 2))
		e, ok := verdict.As(err)
		if !ok || e.Verdict != verdict.NotRun || e.Code != string(admission.DeadlineMissed) || e.RetryAfter <= 0 {
			t.Errorf("got %v", err)
		}
		if waited := time.Since(start); waited > time.Minute {
			t.Errorf("the refusal came after %s", waited)
		}
	})
}
