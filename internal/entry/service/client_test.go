package service

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"hornbeamwood/internal/base/verdict"
)

// A caller loses the answer and resends the call through another entry. It must
// get the first answer again, and the call must not run a second time.
func TestResendThroughAnotherEntryRepeatsTheOutcome(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	one := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 1})
	two := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e2", Incarnation: 1})
	first, err := one.Call(context.Background(), callOf("w", "k", "lot 7"))
	if err != nil || first.Verdict != verdict.Ran || first.Repeated {
		t.Fatalf("got %+v, %v", first, err)
	}
	second, err := two.Call(context.Background(), callOf("w", "k", "lot 7"))
	if err != nil || string(second.Body) != string(first.Body) || !second.Repeated || second.Header.Get("Content-Type") != "text/plain" {
		t.Fatalf("got %+v, %v", second, err)
	}
	if n := fake.ran("w", "k"); n != 1 {
		t.Fatalf("the call ran %d times", n)
	}
}

// A caller uses one key for two different bodies. The second call must not get the
// answer of the first one.
func TestSameKeyWithAnotherBodyIsRefused(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	c := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 1})
	if _, err := c.Call(context.Background(), callOf("w", "k", "lot 7")); err != nil {
		t.Fatal(err)
	}
	_, err := c.Call(context.Background(), callOf("w", "k", "lot 8"))
	var e verdict.Error
	if !errors.As(err, &e) || e.Status != 422 || e.Verdict != verdict.NotRun {
		t.Fatalf("got %v", err)
	}
	if a, err := c.Call(context.Background(), callOf("v", "k", "lot 8")); err != nil || a.Repeated {
		t.Fatalf("the key of another workspace: %+v, %v", a, err)
	}
}

// A caller disconnects while its call is running. The call continues, and the
// caller's next send must get the outcome instead of an unknown one.
func TestCallerThatLeavesDoesNotCancelTheCall(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	ctx, disconnect := context.WithCancel(context.Background())
	proceed := make(chan struct{})
	fake.arrived = func(*http.Request) {
		disconnect()
		<-proceed
	}
	c := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 1})
	_, err := c.Call(ctx, callOf("w", "k", "x"))
	if verdict.Of(err) != verdict.MayHaveRun || err == nil {
		t.Fatalf("got %v", err)
	}
	close(proceed)
	if err := c.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	a, err := c.Call(context.Background(), callOf("w", "k", "x"))
	if err != nil || !a.Repeated || fake.ran("w", "k") != 1 {
		t.Fatalf("got %+v, %v after %d runs", a, err, fake.ran("w", "k"))
	}
}
