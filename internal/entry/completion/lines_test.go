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

// Servers are full of long work. Requests wait at the entry for their turn
// instead of at a server, go when there is room, and leave when their caller does.
func TestLongRequestsWaitForTheirTurn(t *testing.T) {
	const full = 10_000 * 15
	b := newBench(t, 1, full)
	b.engines.scripts[address("engine-1")] = script{events: []string{"whole"}}
	ctx, leave := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	gone := make(chan error, 1)
	waiting.Go(func() {
		_, err := b.router.Complete(ctx, newCall("a draft whose caller leaves", 2))
		gone <- err
	})
	answers := make(chan string, 1)
	waiting.Go(func() {
		s, err := b.router.Complete(context.Background(), newCall("a draft that waits", 2))
		if err != nil {
			answers <- err.Error()
			return
		}
		got, _ := drain(s)
		answers <- got
	})
	urgent, err := b.router.Complete(context.Background(), newCall("urgent", 7))
	if err != nil {
		t.Fatalf("an urgent request does not wait at the entry: %v", err)
	}
	_, _ = drain(urgent)
	leave()
	if err := <-gone; verdict.Of(err) != verdict.NotRun {
		t.Errorf("the caller that left got %v", err)
	}
	b.announceFree(t)
	if got := <-answers; got != "whole" {
		t.Errorf("the waiting request got %q", got)
	}
	waiting.Wait()
}

// Servers are full and stay so, or take requests and answer none. A request that
// waits for its turn must get its refusal once it can't make its deadline any
// more; its caller would otherwise hang until it leaves by itself, and could not
// tell that nothing has run.
func TestWaitingRequestEndsBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const full = 10_000 * 15
		b := newBench(t, 1, full)
		ctx, leave := context.WithTimeout(context.Background(), 10*time.Minute)
		defer leave()
		start := time.Now()
		_, err := b.router.Complete(ctx, newCall("a draft that waits", 2))
		e, ok := verdict.As(err)
		if !ok || e.Verdict != verdict.NotRun || e.Code != string(admission.DeadlineMissed) || e.RetryAfter <= 0 {
			t.Errorf("got %v", err)
		}
		if waited := time.Since(start); waited > time.Minute {
			t.Errorf("the refusal came after %s", waited)
		}
	})
}
