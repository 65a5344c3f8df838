package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/inbound"
)

func dial(t *testing.T, f *fixture) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A caller sends its headers and only a part of its body. It is refused after
// BodyTimeout; otherwise a few thousand such callers could occupy an entry's
// memory and connections.
func TestSlowBodyIsRefused(t *testing.T) {
	f := newFixture(t, Config{Bounds: inbound.Bounds{BodyTimeout: 50 * time.Millisecond}})
	c := dial(t, f)
	fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: 100\r\n\r\n{\"model\"")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get(verdict.Header) != "not-run" {
		t.Errorf("got %s %v", response.Status, response.Header)
	}
}

// A caller sends only one header line; its connection is closed after HeaderTimeout.
func TestSlowHeaderEndsTheConnection(t *testing.T) {
	f := newFixture(t, Config{HeaderTimeout: 50 * time.Millisecond})
	c := dial(t, f)
	fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection ended with %v", err)
	}
	if f.handler.InFlight() != 0 {
		t.Error("a request was counted")
	}
}

// A body is truncated, or is longer than the workspace's limit without a
// Content-Length.
func TestBrokenAndEndlessBodies(t *testing.T) {
	f := newFixture(t, Config{})
	c := dial(t, f)
	fmt.Fprint(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 10 {
		fmt.Fprintf(c, "400\r\n%s\r\n", strings.Repeat("x", 0x400))
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %v, %v", response, err)
	}
	half := dial(t, f)
	fmt.Fprint(half, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: 100\r\n\r\n{")
	if err := half.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err = http.ReadResponse(bufio.NewReader(half), nil)
	if err != nil || response.StatusCode != http.StatusBadRequest {
		t.Errorf("got %v, %v", response, err)
	}
	if len(f.completer.requests()) != 0 {
		t.Error("something ran")
	}
}

// A VM is shut down while a long answer is running. New requests are refused with
// the verdict not-run, the running one completes, and only then does the drain
// end.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	f := newFixture(t, Config{})
	f.completer.gate = make(chan struct{})
	running := make(chan answer, 1)
	go func() { running <- f.do(t, "POST", "/v1/chat/completions", "key-1", chatBody) }()
	await(t, func() bool { return len(f.completer.requests()) == 1 })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := f.handler.Drain(ended); !errors.Is(err, context.Canceled) {
		t.Fatalf("the drain ended with %v while a request ran", err)
	}
	refused := f.do(t, "POST", "/v1/chat/completions", "key-1", chatBody)
	if refused.status != http.StatusServiceUnavailable || refused.header.Get(verdict.Header) != "not-run" || refused.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", refused)
	}
	drained := make(chan error, 1)
	go func() { drained <- f.handler.Drain(context.Background()) }()
	close(f.completer.gate)
	if a := <-running; a.status != 200 || !strings.Contains(a.body, "Hello world") {
		t.Errorf("the running request got %+v", a)
	}
	if err := <-drained; err != nil || f.handler.InFlight() != 0 {
		t.Errorf("%v with %d in flight", err, f.handler.InFlight())
	}
}

// deadlines is a response writer that records its write deadline.
type deadlines struct {
	discard
	set  int
	last time.Time
}

func (d *deadlines) SetWriteDeadline(at time.Time) error {
	d.set++
	d.last = at
	return nil
}

// A caller reuses its connection for another request five minutes later. The
// write deadline of the first answer must not apply to the second one.
func TestConnectionKeepsNoDeadline(t *testing.T) {
	f := newFixture(t, Config{})
	for _, key := range []string{"key-1", "nope"} {
		w := &deadlines{discard: discard{header: http.Header{}}}
		r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatBody))
		r.Header.Set("Authorization", "Bearer "+key)
		f.handler.ServeHTTP(w, r)
		if w.set < 2 || !w.last.IsZero() || w.bytes == 0 {
			t.Errorf("%s: deadline %v after %d changes", key, w.last, w.set)
		}
	}
}

// A caller disconnects in the middle of its answer. Its stream is closed, which
// cancels the run at the engine, and the request no longer counts as running.
func TestCallerThatDisconnectsEndsItsRun(t *testing.T) {
	f := newFixture(t, Config{})
	f.completer.gate = make(chan struct{})
	c := dial(t, f)
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", len(chatBody), chatBody)
	await(t, func() bool { return len(f.completer.requests()) == 1 })
	c.Close()
	await(t, func() bool {
		f.completer.mu.Lock()
		defer f.completer.mu.Unlock()
		return f.completer.closed == 1 && f.handler.InFlightOf("certilote") == 0
	})
}
