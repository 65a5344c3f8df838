package backoff

import (
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against requests during a backoff, against many of them at its end, and against a server that gets none
// any more.
func TestServerGetsOneRequestAfterItsBackoff(t *testing.T) {
	r := New()
	if !r.Request("s", 3*time.Second, start) || r.Request("s", time.Second, at(100*time.Millisecond)) {
		t.Fatal("only the first response begins a backoff")
	}
	if w := r.Wait("s", at(time.Second)); w != 2*time.Second {
		t.Fatalf("wait %s, the longer backoff holds", w)
	}
	if w := r.Wait("other", start); w != 0 {
		t.Errorf("another server waits %s", w)
	}
	if w, ok := r.Reserve("s", time.Second, at(2*time.Second)); !ok || w != time.Second {
		t.Errorf("the first request waits %s", w)
	}
	if !r.Active("s", at(2*time.Second)) || r.Active("s", at(3*time.Second)) {
		t.Error("the reserved request counts as backoff")
	}
	if w, ok := r.Reserve("s", time.Second, at(2*time.Second)); ok {
		t.Errorf("the second one may wait for a second, and is to wait for %s", w)
	}
	if w := r.Wait("s", at(3*time.Second)); w != probeTimeout {
		t.Errorf("the second one waits %s while the first is not answered", w)
	}
	r.Request("s", 2*time.Second, at(3*time.Second))
	if w := r.Wait("s", at(3*time.Second)); w != 2*time.Second {
		t.Errorf("after another refusal: %s", w)
	}
	r.Reserve("s", 0, at(5*time.Second))
	if r.Accept("s", at(2*time.Second)) || !r.Accept("s", at(5*time.Second)) {
		t.Error("only a request that was sent after the refusal shows that the server accepts again")
	}
	if w := r.Wait("s", at(5*time.Second)); w != 0 || r.Len() != 0 {
		t.Errorf("after it was accepted: %s, %d servers", w, r.Len())
	}
}

// Guards against a server that is never used again because a request that was to be sent wasn't, or because of a
// wrong time.
func TestBackoffEnds(t *testing.T) {
	r := New()
	r.Request("s", 1<<62, start)
	if w := r.Wait("s", start); w != Max {
		t.Errorf("a huge backoff: %s", w)
	}
	r.Reserve("s", 0, at(Max))
	r.Release("s")
	if w := r.Wait("s", at(Max)); w != 0 {
		t.Errorf("after a released request: %s", w)
	}
	r.Reserve("s", 0, at(Max))
	if w := r.Wait("s", at(Max+probeTimeout)); w != 0 {
		t.Errorf("after a request without an answer: %s", w)
	}
	if r.Request("s", -time.Second, start) || r.Request("t", 0, start) || r.Len() != 1 {
		t.Error("a backoff of no time counts")
	}
}
