package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/serve/retry"
	"hornbeamwood/internal/site/document"
)

// A server accepts a stamp request and its connection breaks before the response. It is
// unknown whether the stamp was issued. Sent to another server, the request could issue it
// twice; refused as not run, its caller would send it again and get two.
func TestLostResponseOfNonIdempotentRequest(t *testing.T) {
	f := newFixture(t, hangUp, answerOK("second"))
	g := f.request(t, "r1", http.MethodPost, "/once/x")
	if g.status != http.StatusBadGateway || g.header.Get("Retry-After") != "" {
		t.Errorf("got %+v", g)
	}
	if f.servers[0].count()+f.servers[1].count() != 1 {
		t.Errorf("the request reached %d and %d", f.servers[0].count(), f.servers[1].count())
	}
}

// The same with an idempotent request: its caller gets the other server's response.
func TestLostResponseOfIdempotentRequestIsRetried(t *testing.T) {
	f := newFixture(t, hangUp, answerOK("second"))
	if g := f.request(t, "r1", http.MethodGet, "/read/x"); g.status != http.StatusOK || g.body != "second" {
		t.Errorf("got %+v", g)
	}
}

// A server without capacity guarantees that it has not run the request. Another server may run
// it, even if it must not run twice. If all servers refuse, the caller must learn that it has
// not run and when to retry.
func TestRefusedRequestIsSentElsewhere(t *testing.T) {
	full := answerStatus(http.StatusServiceUnavailable, "A-Not-Run: 1\r\n")
	f := newFixture(t, full, answerOK("second"))
	if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusOK || g.body != "second" {
		t.Errorf("got %+v", g)
	}
	f = newFixture(t, full, full)
	if g := f.request(t, "r2", http.MethodPost, "/once/x"); g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", g)
	}
}

// A server responds twice to a request. The second response is already on the kept connection
// when the next caller's request is sent; that caller would get another caller's certificate.
func TestDuplicateResponseIsNotGivenToNextCaller(t *testing.T) {
	twice := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		id := q.Header.Get("A-Id")
		text := "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Length: %d\r\n\r\n%s"
		if id == "r1" {
			text += text
			_, err := fmt.Fprintf(c, text, id, len(id), id, id, len(id), id)
			return err == nil
		}
		_, err := fmt.Fprintf(c, text, id, len(id), id)
		return err == nil
	}
	f := newFixture(t, twice)
	for _, id := range []string{"r1", "r2", "r3"} {
		if g := f.request(t, id, http.MethodGet, "/read/x"); g.body != id {
			t.Errorf("%s got %+v", id, g)
		}
	}
}

// The response to an earlier request that timed out arrives right before the response to this
// one.
func TestStaleResponseIsSkipped(t *testing.T) {
	stale := func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: old\r\nA-Stamp: x\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Length: 3\r\n\r\nnew", q.Header.Get("A-Id"))
		return err == nil
	}
	f := newFixture(t, stale)
	if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.body != "new" {
		t.Errorf("got %+v", g)
	}
}

// A server breaks off in the middle of its response. A caller that took the part for the whole
// would file half a certificate.
func TestTruncatedResponseIsNotForwarded(t *testing.T) {
	short := func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Length: 10\r\n\r\nhalf", q.Header.Get("A-Id"))
		return false
	}
	f := newFixture(t, short, answerOK("whole"))
	if g := f.request(t, "r1", http.MethodGet, "/read/x"); g.body != "whole" {
		t.Errorf("got %+v", g)
	}
	f = newFixture(t, short)
	if g := f.request(t, "r2", http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
		t.Errorf("got %+v", g)
	}
}

// A success without the server's stamp comes from something else at its address.
func TestSuccessWithoutStampIsNotForwarded(t *testing.T) {
	f := newFixture(t, answerStatus(http.StatusOK, ""))
	if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
		t.Errorf("got %+v", g)
	}
}

// A server's own failure is forwarded unchanged, with its stamp.
func TestFailureIsForwardedUnchanged(t *testing.T) {
	f := newFixture(t, answerStatus(http.StatusInternalServerError, "A-Stamp: y\r\n"))
	if g := f.request(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusInternalServerError || g.header.Get("A-Stamp") != "y" || g.body != "no" {
		t.Errorf("got %+v", g)
	}
}

// A path must reach the server unchanged; cleaned or redirected it would be another request.
func TestTargetIsForwardedByteForByte(t *testing.T) {
	seen := make(chan string, 1)
	echo := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		seen <- q.RequestURI
		return answerOK("x")(s, c, q)
	}
	f := newFixture(t, echo)
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	target := "/read//a/../b%2f%20?"
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nA-Id: r\r\n\r\n", target); err != nil {
		t.Fatal(err)
	}
	select {
	case got := <-seen:
		if got != target {
			t.Errorf("got %q", got)
		}
	case <-time.After(2 * time.Second):
		t.Error("nothing reached the server")
	}
}

// An idempotent request is sent shortly before its caller times out. Its server needs most of
// the remaining time; if the attempt were cut off half-way, another server would start anew
// and could not finish any more.
func TestShortRemainingTimeGoesToOneServer(t *testing.T) {
	slow := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		time.Sleep(250 * time.Millisecond)
		return answerOK("slow")(s, c, q)
	}
	f := newFixture(t, slow, slow)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.front.URL+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h"
	q.Header.Set("A-Id", "r1")
	q.Header.Set("A-Timeout", "400")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK || f.servers[0].count()+f.servers[1].count() != 1 {
		t.Errorf("status %d after %d and %d arrivals", r.StatusCode, f.servers[0].count(), f.servers[1].count())
	}
}

// A server takes longer than usual while the retry budget is used up. If the attempt were cut
// off in favor of a second one that is not allowed, the caller would get a failure although
// its response was about to arrive.
func TestSlowResponseIsAwaitedWithoutBudget(t *testing.T) {
	slow := func(s *scriptedServer, c net.Conn, q *http.Request) bool {
		time.Sleep(500 * time.Millisecond)
		return answerOK("slow")(s, c, q)
	}
	f := newFixture(t, slow, slow)
	c := f.config
	c.Budget = retry.NewBudget(retry.Terms{Window: time.Hour})
	for c.Budget.Spend("s", time.Now()) {
	}
	f.front.Config.Handler = New(c)
	if got := f.request(t, "r1", http.MethodGet, "/read/x"); got.status != http.StatusOK || got.body != "slow" {
		t.Errorf("got %+v", got)
	}
}

// An operator limits the header size of requests, so that no caller can fill the memory of a
// small entry with headers. A request at the limit must be served, one with a single byte more
// refused.
func TestDocumentBoundsHeaders(t *testing.T) {
	f := newFixture(t, answerOK("x"))
	d := f.site.table.Document()
	const most = 600
	d.Limits.HeaderBytes = most
	f.site.table = document.NewTable(d)
	head := "GET /read/a HTTP/1.1\r\nHost: h\r\nA-Id: r\r\nPadding: %s\r\n\r\n"
	for _, x := range []struct {
		bytes, status int
	}{{most, http.StatusOK}, {most + 1, http.StatusRequestHeaderFieldsTooLarge}} {
		text := fmt.Sprintf(head, strings.Repeat("x", x.bytes-len(head)+len("%s")))
		if len(text) != x.bytes {
			t.Fatalf("the head has %d bytes", len(text))
		}
		if got := f.send(t, text); got != x.status {
			t.Errorf("%d bytes: %d", x.bytes, got)
		}
	}
	if n := f.servers[0].count(); n != 1 {
		t.Errorf("%d requests reached the server", n)
	}
}

// send sends a request byte for byte and returns the status of its response.
func (f *fixture) send(t *testing.T, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", f.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// panickingSite is a site whose methods panic.
type panickingSite struct{ *fakeSite }

func (panickingSite) AwaitFreshState(context.Context) { panic("a defect") }

// A defect makes the handling of a request panic. The caller must get a response instead of a
// closed connection; the response guarantees nothing, since it is unknown how far the request
// has come.
func TestPanicIsAnswered(t *testing.T) {
	f := newFixture(t, answerOK("x"))
	c := f.config
	c.Site = panickingSite{f.site}
	f.front.Config.Handler = New(c)
	if got := f.request(t, "r", http.MethodGet, "/read/a"); got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got %+v", got)
	}
}

// A new target version was set and the last engine loads it late. A prompt that started on its old
// weights after the guaranteed time would violate the operator's setting; it must wait for an
// engine with the new ones.
func TestPromptWaitsForNamedWeights(t *testing.T) {
	f := newFixture(t, streamOf("a", 2, true))
	set := func(version int64, outdated bool) {
		f.site.mu.Lock()
		defer f.site.mu.Unlock()
		f.site.version, f.site.target, f.site.outdated = version, 2, outdated
	}
	set(1, true)
	status := f.prompt(t)
	f.awaitQueued(t)
	if n := f.servers[0].count(); n != 0 {
		t.Fatalf("%d requests went to old weights", n)
	}
	set(2, true)
	f.queue.LocalCapacityFreed()
	if got := <-status; got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	set(1, false)
	if got := <-f.prompt(t); got != http.StatusOK {
		t.Errorf("before that time got %d", got)
	}
}
