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

// A server takes a stamp request and its connection breaks before the answer.
// Nobody can say whether the stamp was issued. Sent to another server it could
// be issued twice; refused as not run, its caller would ask again and get two.
func TestLostAnswerOfOnceOnlyRequest(t *testing.T) {
	b := newBench(t, hangUp, answerOK("second"))
	g := b.ask(t, "r1", http.MethodPost, "/once/x")
	if g.status != http.StatusBadGateway || g.header.Get("Retry-After") != "" {
		t.Errorf("got %+v", g)
	}
	if b.servers[0].count()+b.servers[1].count() != 1 {
		t.Errorf("the request reached %d and %d", b.servers[0].count(), b.servers[1].count())
	}
}

// The same with a read: its caller gets the other server's answer.
func TestLostAnswerOfReadIsRepeated(t *testing.T) {
	b := newBench(t, hangUp, answerOK("second"))
	if g := b.ask(t, "r1", http.MethodGet, "/read/x"); g.status != http.StatusOK || g.body != "second" {
		t.Errorf("got %+v", g)
	}
}

// A server is full and says that it hasn't run the request. Another one may run
// it, also if it must not run twice; if all refuse, the caller is told that it
// hasn't run and when to come back.
func TestRefusedRequestGoesOn(t *testing.T) {
	full := answerStatus(http.StatusServiceUnavailable, "A-Not-Run: 1\r\n")
	b := newBench(t, full, answerOK("second"))
	if g := b.ask(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusOK || g.body != "second" {
		t.Errorf("got %+v", g)
	}
	b = newBench(t, full, full)
	if g := b.ask(t, "r2", http.MethodPost, "/once/x"); g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", g)
	}
}

// A failure that may have run must never be answered with a status that says
// otherwise, even if the server itself used that status without its word.
func TestOverloadWithoutTheWordPromisesNothing(t *testing.T) {
	b := newBench(t, answerStatus(http.StatusServiceUnavailable, "A-Stamp: x\r\n"))
	g := b.ask(t, "r1", http.MethodPost, "/once/x")
	if g.status == http.StatusServiceUnavailable && g.header.Get("A-Stamp") == "" {
		t.Errorf("the entry promises what it doesn't know: %+v", g)
	}
}

// A server answers a request twice. The second answer lies on the kept
// connection when the next caller's request is sent; that caller would get
// somebody else's certificate.
func TestSecondAnswerIsNotGivenToTheNextCaller(t *testing.T) {
	twice := func(s *standin, c net.Conn, q *http.Request) bool {
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
	b := newBench(t, twice)
	for _, id := range []string{"r1", "r2", "r3"} {
		if g := b.ask(t, id, http.MethodGet, "/read/x"); g.body != id {
			t.Errorf("%s got %+v", id, g)
		}
	}
}

// An answer to an earlier request, whose time had run out, comes right before
// this one's.
func TestLateAnswerIsPassedOver(t *testing.T) {
	late := func(_ *standin, c net.Conn, q *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: old\r\nA-Stamp: x\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Length: 3\r\n\r\nnew", q.Header.Get("A-Id"))
		return err == nil
	}
	b := newBench(t, late)
	if g := b.ask(t, "r1", http.MethodPost, "/once/x"); g.body != "new" {
		t.Errorf("got %+v", g)
	}
}

// A server breaks off in the middle of its answer. What it sent is no answer:
// a caller that took it for one would file half a certificate.
func TestShortAnswerIsNone(t *testing.T) {
	short := func(_ *standin, c net.Conn, q *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: x\r\nContent-Length: 10\r\n\r\nhalf", q.Header.Get("A-Id"))
		return false
	}
	b := newBench(t, short, answerOK("whole"))
	if g := b.ask(t, "r1", http.MethodGet, "/read/x"); g.body != "whole" {
		t.Errorf("got %+v", g)
	}
	b = newBench(t, short)
	if g := b.ask(t, "r2", http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
		t.Errorf("got %+v", g)
	}
}

// A success without the server's mark comes from something else at its address.
func TestSuccessWithoutMarkIsNone(t *testing.T) {
	b := newBench(t, answerStatus(http.StatusOK, ""))
	if g := b.ask(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusBadGateway {
		t.Errorf("got %+v", g)
	}
}

// A server's own failure is passed on as it is, with its mark.
func TestFailureIsPassedOnUnchanged(t *testing.T) {
	b := newBench(t, answerStatus(http.StatusInternalServerError, "A-Stamp: y\r\n"))
	if g := b.ask(t, "r1", http.MethodPost, "/once/x"); g.status != http.StatusInternalServerError || g.header.Get("A-Stamp") != "y" || g.body != "no" {
		t.Errorf("got %+v", g)
	}
}

// streamOf sends events from the one after the caller's last up to end and then
// either ends the stream or breaks off within the next event.
func streamOf(name string, end int, whole bool) script {
	return func(_ *standin, c net.Conn, q *http.Request) bool {
		last := 0
		_, _ = fmt.Sscan(q.Header.Get("A-Last"), &last)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("A-Id"), name)
		for i := last + 1; i <= end; i++ {
			e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, name)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		_, _ = fmt.Fprintf(c, "%x\r\nid: %d\nda\r\n", len(fmt.Sprintf("id: %d\nda", end+1)), end+1)
		return false
	}
}

// An engine crashes in the middle of an event. The stream goes on at another
// one after the last whole event; the caller sees one stream with no event
// missing or doubled, under the first engine's headers.
func TestStreamGoesOnElsewhere(t *testing.T) {
	b := newBench(t, streamOf("a", 2, false), streamOf("b", 4, true))
	g := b.ask(t, "r1", http.MethodPost, "/resume/x")
	want := "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: b\n\nid: 4\ndata: b\n\n"
	if g.err != nil || g.body != want || g.header.Get("A-Stamp") != "a" {
		t.Errorf("got %+v", g)
	}
}

// The same where the stream may not go on: it must not look complete, and no
// second engine may run the request.
func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	b := newBench(t, streamOf("a", 2, false), streamOf("b", 4, true))
	g := b.ask(t, "r1", http.MethodPost, "/stream/x")
	if g.err == nil || strings.Contains(g.body, "data: b") || b.servers[1].count() != 0 {
		t.Errorf("got %+v", g)
	}
}

// The engine that a stream goes on at begins with a later event than it should.
// Joined, the answer would lack a piece of text without anybody noticing.
func TestStreamWithAGapIsCut(t *testing.T) {
	gap := func(_ *standin, c net.Conn, q *http.Request) bool {
		e := "id: 5\ndata: b\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: b\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", q.Header.Get("A-Id"), len(e), e)
		return true
	}
	b := newBench(t, streamOf("a", 2, false), gap)
	if g := b.ask(t, "r1", http.MethodPost, "/resume/x"); g.err == nil || strings.Contains(g.body, "id: 5") {
		t.Errorf("got %+v", g)
	}
}

// A caller leaves while an engine writes for it. The engine is told at once, by
// the end of its connection, and works for others.
func TestEngineIsToldThatTheCallerLeft(t *testing.T) {
	gone := make(chan error, 1)
	hang := func(_ *standin, c net.Conn, q *http.Request) bool {
		_, err := c.Read(make([]byte, 1))
		gone <- err
		return false
	}
	b := newBench(t, hang)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, b.front.URL+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h"
	if r, err := http.DefaultClient.Do(q); err == nil {
		_ = r.Body.Close()
		t.Fatal("the request was answered")
	}
	select {
	case <-gone:
	case <-time.After(2 * time.Second):
		t.Error("the engine still works for a caller that has left")
	}
}

// A path is the caller's own; cleaned or redirected it would be another request.
func TestTargetGoesOnByteForByte(t *testing.T) {
	seen := make(chan string, 1)
	echo := func(s *standin, c net.Conn, q *http.Request) bool {
		seen <- q.RequestURI
		return answerOK("x")(s, c, q)
	}
	b := newBench(t, echo)
	c, err := net.Dial("tcp", b.front.Listener.Addr().String())
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

// A read comes back shortly before its caller's time is up. Its server needs
// most of what is left; given up half-way, the answer would be made anew by a
// server that can't finish it any more.
func TestLastMomentsBelongToOneServer(t *testing.T) {
	slow := func(s *standin, c net.Conn, q *http.Request) bool {
		time.Sleep(250 * time.Millisecond)
		return answerOK("slow")(s, c, q)
	}
	b := newBench(t, slow, slow)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, b.front.URL+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h"
	q.Header.Set("A-Id", "r1")
	q.Header.Set("A-Patience", "400")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK || b.servers[0].count()+b.servers[1].count() != 1 {
		t.Errorf("status %d after %d and %d arrivals", r.StatusCode, b.servers[0].count(), b.servers[1].count())
	}
}

// A server takes longer than usual while the budget for repeats is used up. If the
// attempt were given up for a second one that isn't allowed, the caller would get a
// failure although its answer was about to come.
func TestSlowAnswerIsAwaitedWithoutABudget(t *testing.T) {
	slow := func(s *standin, c net.Conn, q *http.Request) bool {
		time.Sleep(500 * time.Millisecond)
		return answerOK("slow")(s, c, q)
	}
	b := newBench(t, slow, slow)
	c := b.config
	c.Budget = retry.NewBudget(retry.Terms{Window: time.Hour})
	for c.Budget.Spend("s", time.Now()) {
	}
	b.front.Config.Handler = New(c)
	if got := b.ask(t, "r1", http.MethodGet, "/read/x"); got.status != http.StatusOK || got.body != "slow" {
		t.Errorf("got %+v", got)
	}
}

// An operator bounds the headers of requests, so that no caller fills the
// memory of a small entry with them. One byte more than that is refused, and the
// request within the bound is served.
func TestDocumentBoundsHeaders(t *testing.T) {
	b := newBench(t, answerOK("x"))
	d := b.site.table.Document()
	const most = 600
	d.Limits.HeaderBytes = most
	b.site.table = document.NewTable(d)
	head := "GET /read/a HTTP/1.1\r\nHost: h\r\nA-Id: r\r\nPadding: %s\r\n\r\n"
	for _, x := range []struct {
		bytes, status int
	}{{most, http.StatusOK}, {most + 1, http.StatusRequestHeaderFieldsTooLarge}} {
		text := fmt.Sprintf(head, strings.Repeat("x", x.bytes-len(head)+len("%s")))
		if len(text) != x.bytes {
			t.Fatalf("the head has %d bytes", len(text))
		}
		if got := b.send(t, text); got != x.status {
			t.Errorf("%d bytes: %d", x.bytes, got)
		}
	}
	if n := b.servers[0].count(); n != 1 {
		t.Errorf("%d requests reached the server", n)
	}
}

// send sends a request as it stands and returns the status of its answer.
func (b *bench) send(t *testing.T, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", b.front.Listener.Addr().String())
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

// prompt asks with a prompt and tells the status, and 0 for a connection that is closed without an answer.
func (b *bench) prompt(t *testing.T) <-chan int {
	t.Helper()
	status := make(chan int, 1)
	go func() {
		q, err := http.NewRequest(http.MethodPost, b.front.URL+"/prompt/a", nil)
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

// waitInLine waits until a request stands in line.
func (b *bench) waitInLine(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); b.line.Len() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no request waits")
		}
	}
}

// All engines of a small site load new weights at the same moment. Prompts wait
// for the first that is done; refused, their callers would come back to the same.
func TestPromptWaitsForAnEngineThatLoads(t *testing.T) {
	b := newBench(t, streamOf("a", 2, true))
	b.site.set(true, false)
	status := b.prompt(t)
	b.waitInLine(t)
	b.site.set(false, false)
	b.line.LocalCapacityFreed()
	if got := <-status; got != http.StatusOK {
		t.Errorf("got %d", got)
	}
}

// Prompts wait for room and the last engine leaves. Each caller must hear at once
// that its prompt has not run; here the handler had panicked, and all of those
// callers found their connections closed without a word.
func TestPromptIsRefusedWhenTheLastEngineLeaves(t *testing.T) {
	b := newBench(t, answerOK("x"))
	b.site.set(true, false)
	status := b.prompt(t)
	b.waitInLine(t)
	b.site.set(true, true)
	b.line.LocalCapacityFreed()
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("got %d", got)
	}
}

// panicking is a site with a defect.
type panicking struct{ *fakeSite }

func (panicking) AwaitFreshState(context.Context) { panic("a defect") }

// A defect ends the handling of a request. The caller must not be left with a
// closed connection and no word; what it gets promises nothing, since nobody
// knows how far the request has come.
func TestDefectIsAnswered(t *testing.T) {
	b := newBench(t, answerOK("x"))
	c := b.config
	c.Site = panicking{b.site}
	b.front.Config.Handler = New(c)
	if got := b.ask(t, "r", http.MethodGet, "/read/a"); got.err != nil || got.status != http.StatusBadGateway {
		t.Errorf("got %+v", got)
	}
}

// New weights were named and the last engine gets them late. A prompt that began
// on its old weights after the promised time would be an answer that the operator
// had forbidden; it must wait for an engine with the new ones.
func TestPromptWaitsForNamedWeights(t *testing.T) {
	b := newBench(t, streamOf("a", 2, true))
	set := func(version int64, outdated bool) {
		b.site.mu.Lock()
		defer b.site.mu.Unlock()
		b.site.version, b.site.newest, b.site.outdated = version, 2, outdated
	}
	set(1, true)
	status := b.prompt(t)
	b.waitInLine(t)
	if n := b.servers[0].count(); n != 0 {
		t.Fatalf("%d requests went to old weights", n)
	}
	set(2, true)
	b.line.LocalCapacityFreed()
	if got := <-status; got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	set(1, false)
	if got := <-b.prompt(t); got != http.StatusOK {
		t.Errorf("before that time got %d", got)
	}
}
