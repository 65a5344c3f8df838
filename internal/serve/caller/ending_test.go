package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// answerMargin is how long an entry has to answer its callers once it can wait for servers no longer.
const answerMargin = 200 * time.Millisecond

// neverAnswers keeps a request without a response until its connection ends.
func neverAnswers(_ *scriptedServer, c net.Conn, _ *http.Request) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

// newEndingFixture returns a fixture whose process ends once the function is called.
func newEndingFixture(t *testing.T, scripts ...script) (*fixture, func()) {
	t.Helper()
	f := newFixture(t, scripts...)
	ctx, end := context.WithCancel(context.Background())
	f.restart(t, func(c *Config) { c.Ending = ctx })
	return f, end
}

// Guards against requests that a stopping process has passed on and cuts without an answer: their callers can't tell
// whether they have run.
func TestPassedOnRequestIsAnsweredBeforeTheEnd(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x", "/resume/x"} {
		f, end := newEndingFixture(t, neverAnswers, neverAnswers)
		got := make(chan result, 1)
		go func() { got <- f.request(t, "r1", http.MethodPost, path) }()
		for f.servers[0].count() == 0 {
			time.Sleep(time.Millisecond)
		}
		start := time.Now()
		end()
		g := <-got
		if took := time.Since(start); g.err != nil || g.status != http.StatusBadGateway || took > answerMargin {
			t.Errorf("%s: got %d, %v after %s", path, g.status, g.err, took)
		}
	}
}

// Guards against a stream that has begun, is cut by the end of the process and looks complete.
func TestBegunStreamIsCutVisibly(t *testing.T) {
	begin := func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: x\r\n2\r\n\n\n\r\n", q.Header.Get("A-Id"))
		return neverAnswers(nil, c, q)
	}
	f, end := newEndingFixture(t, begin)
	time.AfterFunc(100*time.Millisecond, end)
	if g := f.request(t, "r1", http.MethodPost, "/stream/x"); g.err == nil {
		t.Errorf("got %+v, want a broken answer", g)
	}
}

// Guards against a request that is accepted although the process will have ended before it is served, and against
// the refusal of one that still fits.
func TestRequestsThatDontFitBeforeTheEndAreRefused(t *testing.T) {
	const left = 600 * time.Millisecond
	slow := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		time.Sleep(700 * time.Millisecond)
		return answerOK("slow")(s, c, q)
	}
	f := newFixture(t, slow)
	stopping := false
	f.restart(t, func(c *Config) {
		c.Refusing = func(expected time.Duration) bool { return stopping && expected > left }
	})
	if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusOK {
		t.Fatalf("got %+v", g)
	}
	stopping = true
	before := f.servers[0].count()
	if g := f.request(t, "r2", http.MethodPost, "/once/x"); g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
		t.Errorf("a request that takes longer than what is left: got %+v", g)
	}
	if f.servers[0].count() != before {
		t.Error("a refused request reached the server")
	}
	if g := f.request(t, "r3", http.MethodGet, "/read/x"); g.status != http.StatusOK {
		t.Errorf("a request of a route of which nothing is known: got %+v", g)
	}
}

// Guards against estimates that follow the mean only: every second request would be cut.
func TestExpectedTimeCoversNearlyAllRequests(t *testing.T) {
	x := newExpectedTimes()
	if _, known := x.expected("a"); known {
		t.Error("something is expected of a route without requests")
	}
	for i := range 200 {
		x.record("a", time.Duration(100+i%10*20)*time.Millisecond)
	}
	if d, known := x.expected("a"); !known || d < 280*time.Millisecond || d > 600*time.Millisecond {
		t.Errorf("requests of 100 to 280 ms are expected to take %s", d)
	}
	for i := range expectedShards * maxShardRoutes * 2 {
		x.record(fmt.Sprint(i), time.Second)
	}
	total := 0
	for i := range x.shards {
		total += len(x.shards[i].routes)
	}
	if total > expectedShards*maxShardRoutes {
		t.Errorf("%d routes are kept", total)
	}
}
