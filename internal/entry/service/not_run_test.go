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

// slack exceeds the difference in bytes between the two ways of sending; a fake
// service that waited for more bytes than are sent would block.
const slack = 32

// sizeOf returns the size of the request on the wire in bytes.
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

// breakOnce sends one call to a breakingService and returns a description of what is wrong, or an empty string.
func breakOnce(t testing.TB, seed uint64, nonIdempotent bool) string {
	random := rand.New(rand.NewPCG(seed, 4))
	r := callOf("w", "k", string(make([]byte, random.IntN(300))))
	r.Rules = rules.Rules{NonIdempotent: nonIdempotent}
	fake := newBreakingService(t, random, sizeOf(t, r)-slack)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fake.disconnect = cancel
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
		return fmt.Sprintf("%s: a truncated answer was returned as complete: %q", fake, a.Body)
	case err == nil && fake.ending != endAnswer:
		return fmt.Sprintf("%s: got an answer", fake)
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

// A connection to a service is refused, reset before, during or after the request,
// or half closed; the answer is lost, truncated or malformed; or the service
// refuses the call. A caller may run a call by other means after the verdict
// not-run, so that a false one would make the call run twice.
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

// A service closes a pooled connection just as the next call is sent on it. Resent
// by the transport, the call could run twice; each non-idempotent call must
// therefore use a new connection.
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

// A refusal by the service must reach the caller with the verdict not-run and its
// Retry-After, and the key must be free for the next send.
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
