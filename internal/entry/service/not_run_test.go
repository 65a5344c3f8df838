package service

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/rules"
)

// slack is more than the two ways of sending differ by; a fake that waited for
// more bytes than come would hang.
const slack = 32

// sizeOf returns the bytes of the request on the wire.
func sizeOf(t testing.TB, r Request) int {
	t.Helper()
	request, err := newRequest(context.Background(), Server{Address: "127.0.0.1:10000"}, r, "0123456789abcdef0123456789abcdef")
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	var b bytes.Buffer
	if err := request.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Len()
}

// breakOnce sends one call to a service that breaks and returns what is wrong, empty for nothing.
func breakOnce(t testing.TB, seed uint64, nonIdempotent bool) string {
	random := rand.New(rand.NewPCG(seed, 4))
	r := callOf("w", "k", string(make([]byte, random.IntN(300))))
	r.Rules = rules.Rules{NonIdempotent: nonIdempotent}
	fake := newBreakingService(t, random, sizeOf(t, r)-slack)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fake.leave = cancel
	var serving sync.WaitGroup
	address := fake.listener.Addr().String()
	serving.Go(fake.serve)
	if random.IntN(10) == 0 {
		address = deadAddress
	}
	c := New(Config{Entry: "e", Incarnation: 1}).(*client)
	a, err := c.deliver(ctx, address, r)
	c.transport.(interface{ CloseIdleConnections() }).CloseIdleConnections()
	fake.listener.Close()
	serving.Wait()
	ran := fake.ran.Load()
	switch {
	case ran > 1 && nonIdempotent:
		return fmt.Sprintf("%s: it ran %d times", fake, ran)
	case err != nil && verdict.Of(err) == verdict.NotRun && ran > 0:
		return fmt.Sprintf("%s: it ran, and the verdict is %v", fake, err)
	case err == nil && string(a.Body) != "done":
		return fmt.Sprintf("%s: half an answer passed for a whole one: %q", fake, a.Body)
	case err == nil && fake.ending != endAnswer:
		return fmt.Sprintf("%s: answered", fake)
	}
	return ""
}

// deliver sends r to one address.
func (c *client) deliver(ctx context.Context, address string, r Request) (Answer, error) {
	s := Server{Identity: "s", Address: address}
	if r.Rules.NonIdempotent {
		return c.sendOnce(ctx, s, r, c.NewAttempt())
	}
	return c.send(ctx, s, r, c.NewAttempt())
}

// A connection to a service is refused, reset before, during or after the
// request, half closed, the answer is lost, cut or nonsense, or the service
// refuses by its own word. A caller that reads "not run" issues the stamp by
// another way; when it is false, two certificates are on one lot.
func TestNotRunIsTrueWhereverTheConnectionBreaks(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*firstSeed)
	parameters.MinSuccessfulTests = *breaks
	properties := gopter.NewProperties(parameters)
	properties.Property("not-run only where nothing ran, non-idempotent", prop.ForAllNoShrink(func(seed uint64) string {
		return breakOnce(t, seed, true)
	}, gen.UInt64()))
	properties.Property("not-run only where nothing ran, idempotent", prop.ForAllNoShrink(func(seed uint64) string {
		return breakOnce(t, seed, false)
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// A service closes a connection that the entry kept, just as the next call is
// sent on it. Sent again by the transport, the call could run twice; a
// non-idempotent call therefore has its own connection each time.
func TestNonIdempotentCallsShareNoConnection(t *testing.T) {
	log, fake := newFakeLog(), newFakeService(t)
	c := New(Config{Log: log, Picker: onePicker(fake.address()), Entry: "e1", Incarnation: 1})
	var mu sync.Mutex
	peers := map[string]bool{}
	fake.arrived = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		peers[r.RemoteAddr] = true
	}
	const calls = 5
	for i := range calls {
		if _, err := c.Call(context.Background(), callOf("w", fmt.Sprint("k", i), "x")); err != nil {
			t.Fatal(err)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(peers) != calls {
		t.Errorf("%d calls used %d connections", calls, len(peers))
	}
}

// A refusal of the service's own reaches the caller as it was meant: not run,
// with its time to come back, and the key is free for the next send.
func TestServicesOwnRefusalFreesTheKey(t *testing.T) {
	log := newFakeLog()
	s := newFakeService(t)
	refusing := true
	s.refuse = func() bool { return refusing }
	c := New(Config{Log: log, Picker: onePicker(s.address()), Entry: "e1", Incarnation: 1})
	_, err := c.Call(context.Background(), callOf("w", "k", "x"))
	if e, ok := verdict.As(err); !ok || e.Verdict != verdict.NotRun || e.Status != 503 || e.RetryAfter == 0 {
		t.Fatalf("got %v", err)
	}
	refusing = false
	if a, err := c.Call(context.Background(), callOf("w", "k", "x")); err != nil || a.Repeated || s.ran("w", "k") != 1 {
		t.Fatalf("got %+v, %v", a, err)
	}
}
