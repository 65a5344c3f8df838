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
)

func dial(t *testing.T, b *bench) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// A caller sends its headers, then half a body and no more. It is refused when
// its time is over; without that, a few thousand such callers would hold an
// entry's memory and connections for nothing.
func TestSlowBodyIsRefused(t *testing.T) {
	b := newBench(t, Config{BodyTimeout: 50 * time.Millisecond})
	c := dial(t, b)
	fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: 100\r\n\r\n{\"model\"")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestTimeout || response.Header.Get(verdict.Header) != "not-run" {
		t.Errorf("got %s %v", response.Status, response.Header)
	}
}

// A caller sends one header line and no more; its connection ends with its time.
func TestSlowHeaderEndsTheConnection(t *testing.T) {
	b := newBench(t, Config{HeaderTimeout: 50 * time.Millisecond})
	c := dial(t, b)
	fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the connection ended with %v", err)
	}
	if b.handler.InFlight() != 0 {
		t.Error("a request was counted")
	}
}

// A body breaks off, or is longer than the length that the workspace may send,
// without saying so before.
func TestBrokenAndEndlessBodies(t *testing.T) {
	b := newBench(t, Config{})
	c := dial(t, b)
	fmt.Fprint(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 10 {
		fmt.Fprintf(c, "400\r\n%s\r\n", strings.Repeat("x", 0x400))
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %v, %v", response, err)
	}
	half := dial(t, b)
	fmt.Fprint(half, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: 100\r\n\r\n{")
	if err := half.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err = http.ReadResponse(bufio.NewReader(half), nil)
	if err != nil || response.StatusCode != http.StatusBadRequest {
		t.Errorf("got %v, %v", response, err)
	}
	if len(b.completer.requests()) != 0 {
		t.Error("something ran")
	}
}

// A VM is stopped while a long answer runs. New requests are sent away with a
// true not-run, the running one ends whole, and only then is the drain over.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	b := newBench(t, Config{})
	b.completer.gate = make(chan struct{})
	running := make(chan answer, 1)
	go func() { running <- b.do(t, "POST", "/v1/chat/completions", "key-1", chatBody) }()
	await(t, func() bool { return len(b.completer.requests()) == 1 })
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := b.handler.Drain(ended); !errors.Is(err, context.Canceled) {
		t.Fatalf("the drain ended with %v while a request ran", err)
	}
	refused := b.do(t, "POST", "/v1/chat/completions", "key-1", chatBody)
	if refused.status != http.StatusServiceUnavailable || refused.header.Get(verdict.Header) != "not-run" || refused.header.Get("Retry-After") == "" {
		t.Errorf("got %+v", refused)
	}
	drained := make(chan error, 1)
	go func() { drained <- b.handler.Drain(context.Background()) }()
	close(b.completer.gate)
	if a := <-running; a.status != 200 || !strings.Contains(a.body, "Hello world") {
		t.Errorf("the running request got %+v", a)
	}
	if err := <-drained; err != nil || b.handler.InFlight() != 0 {
		t.Errorf("%v with %d in flight", err, b.handler.InFlight())
	}
}

// deadlines is a response writer that remembers its connection's deadline.
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

// A caller keeps its connection and asks something else five minutes later. The
// time that it had for the first answer must not be over for the second one.
func TestConnectionKeepsNoDeadline(t *testing.T) {
	b := newBench(t, Config{})
	for _, key := range []string{"key-1", "nope"} {
		w := &deadlines{discard: discard{header: http.Header{}}}
		r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(chatBody))
		r.Header.Set("Authorization", "Bearer "+key)
		b.handler.ServeHTTP(w, r)
		if w.set < 2 || !w.last.IsZero() || w.bytes == 0 {
			t.Errorf("%s: deadline %v after %d changes", key, w.last, w.set)
		}
	}
}

// A caller hangs up in the middle of its answer; its run is closed, which
// cancels it at the engine, and its place in the workspace is free again.
func TestCallerThatHangsUpEndsItsRun(t *testing.T) {
	b := newBench(t, Config{})
	b.completer.gate = make(chan struct{})
	c := dial(t, b)
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s", len(chatBody), chatBody)
	await(t, func() bool { return len(b.completer.requests()) == 1 })
	c.Close()
	await(t, func() bool {
		b.completer.mu.Lock()
		defer b.completer.mu.Unlock()
		return b.completer.closed == 1 && b.handler.InFlightOf("certilote") == 0
	})
}
