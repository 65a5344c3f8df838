package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamwood/internal/node/dial"
	"hornbeamwood/internal/policy/reach"
	"hornbeamwood/internal/serve/backend"
	"hornbeamwood/internal/serve/limit"
	"hornbeamwood/internal/serve/quarantine"
)

// unframed responds with a body that ends with its connection, and dies after it if it is to.
func unframed(body string, dies bool) script {
	return func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		if q.URL.Path == "/read/framed" {
			return answerOK("framed")(s, c, q)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\n\r\n%s", q.Header.Get("A-Id"), body)
		if dies {
			s.die()
		}
		return false
	}
}

// eventTexts returns events from the one after last up to end.
func eventTexts(last, end int) string {
	var b strings.Builder
	for i := last + 1; i <= end; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// Guards against a part of an answer that passes for the whole because its server was killed, whose connections then
// end in order; and against the loss of one whose server lives.
func TestEndOfConnectionIsProved(t *testing.T) {
	large := strings.Repeat("x", 2*maxBufferedBytes)
	for _, c := range []struct {
		name, path, body string
		dies             bool
		complete         bool
		status           int
	}{
		{"read", "/read/x", "whole", false, true, http.StatusOK},
		{"read-killed", "/read/x", "part", true, false, http.StatusBadGateway},
		{"once", "/once/x", "whole", false, true, http.StatusOK},
		{"once-killed", "/once/x", "part", true, false, http.StatusBadGateway},
		{"large", "/once/x", large, false, true, http.StatusOK},
		{"large-killed", "/once/x", large, true, false, http.StatusOK},
		{"stream", "/stream/x", eventTexts(0, 3), false, true, http.StatusOK},
		{"stream-killed", "/stream/x", eventTexts(0, 2), true, false, http.StatusOK},
		{"stream-killed-at-once", "/stream/x", "", true, false, http.StatusBadGateway},
	} {
		for _, idle := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/idle=%t", c.name, idle), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, unframed(c.body, c.dies))
				if idle {
					f.requestAtOnce(t, 4, "/read/framed")
				}
				g := f.request(t, "r1", http.MethodPost, c.path)
				complete := g.err == nil && g.status == http.StatusOK
				if complete != c.complete || g.status != c.status && g.status != 0 {
					t.Errorf("status %d with %d bytes, %v", g.status, len(g.body), g.err)
				}
				if complete && g.body != c.body {
					t.Errorf("got %d bytes, want %d", len(g.body), len(c.body))
				}
			})
		}
	}
}

// requestAtOnce sends requests at once, which then leave idle connections if they reuse none, and returns the responses.
func (f *fixture) requestAtOnce(t *testing.T, n int, path string) []result {
	t.Helper()
	got := make([]result, n)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() { got[i] = f.request(t, fmt.Sprint("c", i), http.MethodPost, path) })
	}
	running.Wait()
	return got
}

// Guards against a stream that ends at a killed server although another one of its software could go on with it, and
// against a plain answer in part that another server could give whole.
func TestUnprovedEndGoesOnElsewhere(t *testing.T) {
	whole := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		if strings.HasPrefix(q.URL.Path, "/read/") {
			return answerOK("whole")(s, c, q)
		}
		return streamOf("x", 4, true)(s, c, q)
	}
	f := newFixture(t, unframed(eventTexts(0, 2), true), whole)
	if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err != nil || g.body != eventTexts(0, 4) {
		t.Errorf("stream: got %+v", g)
	}
	f = newFixture(t, unframed("part", true), whole)
	if g := f.request(t, "r2", http.MethodPost, "/read/x"); g.err != nil || g.body != "whole" {
		t.Errorf("plain: got %+v", g)
	}
}

// Guards against a stream that is cut off after its last event, or whole without its end: it is whole if the server at
// which it resumes has no further event and the end of that answer is proved.
func TestResumedStreamMayEndWithoutEvent(t *testing.T) {
	for _, c := range []struct {
		name     string
		second   script
		complete bool
	}{
		{"last chunk", streamOf("a", 2, true), true},
		{"live server", unframed("", false), true},
		{"killed server", unframed("", true), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, streamOf("a", 2, false), c.second)
			g := f.request(t, "r1", http.MethodPost, "/resume/x")
			if (g.err == nil) != c.complete || g.status != http.StatusOK || strings.Count(g.body, "id: ") != 2 {
				t.Errorf("got %+v", g)
			}
			if last := f.servers[1].last; len(last) == 0 || last[0] != "2" {
				t.Errorf("the second server was told the positions %v, want 2", last)
			}
		})
	}
}

// Guards against sound answers that are lost, or late, because the ends of many have to be proved at once.
func TestManyEndsAreProvedAtOnce(t *testing.T) {
	const requests, latest = 200, time.Second
	f := newFixture(t, unframed("whole", false))
	began := time.Now()
	for _, g := range f.requestAtOnce(t, requests, "/once/x") {
		if g.err != nil || g.status != http.StatusOK || g.body != "whole" {
			t.Fatalf("got %+v", g)
		}
	}
	took := time.Since(began)
	f.servers[0].mu.Lock()
	defer f.servers[0].mu.Unlock()
	t.Logf("%d answers in %v, %d connections", requests, took, len(f.servers[0].conns))
	if took > latest || len(f.servers[0].conns) > requests+requests/10 {
		t.Errorf("%d answers took %v and %d connections", requests, took, len(f.servers[0].conns))
	}
}

// leavingLimits records when a request left its server.
type leavingLimits struct {
	limit.Limits
	left chan time.Time
}

// Leave implements limit.Limits.
func (l leavingLimits) Leave(server string, now time.Time) {
	l.left <- time.Now()
	l.Limits.Leave(server, now)
}

// Guards against a server that counts as busy, or slow, while it is found out whether it lives.
func TestServerIsFreeWhileAnEndIsProved(t *testing.T) {
	const least = 10 * time.Millisecond
	for _, path := range []string{"/once/x", "/stream/x"} {
		f := newFixture(t, unframed(eventTexts(0, 1), false))
		f.servers[0].healthDelay = 2 * least
		c := f.config
		l := leavingLimits{c.Limits, make(chan time.Time, 1)}
		c.Limits = l
		f.front.Config.Handler = New(c)
		began := time.Now()
		if g := f.request(t, "r1", http.MethodPost, path); g.err != nil || g.status != http.StatusOK {
			t.Fatalf("%s: got %+v", path, g)
		}
		took, busy := time.Since(began), (<-l.left).Sub(began)
		if s := c.Tracker.Stats("s0"); took-busy < least || took-s.WorkTime < least {
			t.Errorf("%s: the answer took %v, the server is free after %v and worked for %v", path, took, busy, s.WorkTime)
		}
	}
}

// dialerThatFails connects to servers for requests only while it is set to fail.
type dialerThatFails struct {
	dial.Dialer
	fails atomic.Bool
	dials atomic.Int64
}

// Dial implements dial.Dialer. The first connection after a reset of the count is that of a request.
func (d *dialerThatFails) Dial(ctx context.Context, server, address string) (net.Conn, error) {
	if d.dials.Add(1) > 1 && d.fails.Load() {
		return nil, fmt.Errorf("%w: no free port", dial.ErrUnreachable)
	}
	return d.Dialer.Dial(ctx, server, address)
}

// countingGuard counts the losses that it is told of.
type countingGuard struct {
	quarantine.Guard
	lost *atomic.Int64
}

// Lost implements quarantine.Guard.
func (g countingGuard) Lost(quarantine.Run) { g.lost.Add(1) }

// Guards against a sound server that gets no requests any more, and sound requests that are blamed, because this process
// couldn't find out in time whether the server lived.
func TestUnprovedEndsEjectNoServer(t *testing.T) {
	f := newFixture(t, unframed("whole", false))
	p := reach.New()
	d := &dialerThatFails{Dialer: dial.New(dial.Config{Paths: p})}
	c := f.config
	g := countingGuard{c.Guard, &atomic.Int64{}}
	c.Guard = g
	c.Client = backend.New(backend.Config{Belongs: func(string, http.Header) bool { return true }, Dialer: d, Paths: p})
	t.Cleanup(c.Client.Close)
	f.front.Config.Handler = New(c)
	d.fails.Store(true)
	for i := range 3 {
		d.dials.Store(0)
		if g := f.request(t, fmt.Sprint("r", i), http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
			t.Fatalf("request %d: got %+v, want an unproved end", i, g)
		}
	}
	d.fails.Store(false)
	// Losses are reported once it is known whether this process is cut off.
	time.Sleep(100 * time.Millisecond)
	if n := g.lost.Load(); n > 0 {
		t.Errorf("%d losses were reported", n)
	}
	if s := c.Tracker.Stats("s0"); s.ConsecutiveLosses > 0 || s.Failures > 0 || s.EjectedUntil.After(time.Now()) {
		t.Errorf("the server counts as lost: %+v", s)
	}
	if g := f.request(t, "r9", http.MethodPost, "/once/x"); g.status != http.StatusOK {
		t.Errorf("got %+v", g)
	}
}
