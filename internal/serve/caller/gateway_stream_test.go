package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// streamOf sends events from the one after the caller's last event up to end, and then either
// ends the stream or breaks off within the next event.
func streamOf(name string, end int, whole bool) script {
	return func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
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

// An engine crashes in the middle of an event. The stream must resume at another engine after
// the last whole event; the caller gets one stream with no event missing or duplicated, under
// the first engine's headers.
func TestStreamGoesOnElsewhere(t *testing.T) {
	f := newFixture(t, streamOf("a", 2, false), streamOf("b", 4, true))
	g := f.request(t, "r1", http.MethodPost, "/resume/x")
	want := "id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: b\n\nid: 4\ndata: b\n\n"
	if g.err != nil || g.body != want || g.header.Get("A-Stamp") != "a" {
		t.Errorf("got %+v", g)
	}
}

// The same on a route whose streams may not resume: the stream must not look complete, and no
// second engine may run the request.
func TestNonResumableStreamIsAborted(t *testing.T) {
	f := newFixture(t, streamOf("a", 2, false), streamOf("b", 4, true))
	g := f.request(t, "r1", http.MethodPost, "/stream/x")
	if g.err == nil || strings.Contains(g.body, "data: b") || f.servers[1].count() != 0 {
		t.Errorf("got %+v", g)
	}
}

// The engine at which a stream resumes starts with a later event than it should. The joined
// response would lack a piece of text unnoticed.
func TestStreamWithMissingEventIsAborted(t *testing.T) {
	gap := func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		e := "id: 5\ndata: b\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nA-Id: %s\r\nA-Stamp: b\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", q.Header.Get("A-Id"), len(e), e)
		return true
	}
	f := newFixture(t, streamOf("a", 2, false), gap)
	if g := f.request(t, "r1", http.MethodPost, "/resume/x"); g.err == nil || strings.Contains(g.body, "id: 5") {
		t.Errorf("got %+v", g)
	}
}

// A caller disconnects while an engine generates its response. The engine must notice at once,
// by the end of its connection, so that it can work for others.
func TestEngineConnectionClosesWhenCallerLeaves(t *testing.T) {
	gone := make(chan error, 1)
	hang := func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		_, err := c.Read(make([]byte, 1))
		gone <- err
		return false
	}
	f := newFixture(t, hang)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/stream/x", nil)
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
		t.Error("the engine still works for a caller that has disconnected")
	}
}
