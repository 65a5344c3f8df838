package inbound

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveBodies starts a server whose handler reads bodies of 32 KiB at most and reports the error in its status.
func serveBodies(t *testing.T, c Config, timeout time.Duration) (Server, string) {
	t.Helper()
	statuses := map[error]int{ErrTooLarge: 413, ErrTimeout: 408, ErrNoMemory: 503, ErrInterrupted: 503, ErrBroken: 400}
	c.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/refused" {
			RefuseBody(w, q)
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		b, err := ReadBody(w, q, 32<<10, time.Now().Add(timeout))
		for want, status := range statuses {
			if errors.Is(err, want) {
				w.WriteHeader(status)
			}
		}
		_, _ = fmt.Fprint(w, len(b))
	})
	c.Account = NewAccount(AccountConfig{Bounds: Bounds{Bytes: testBytes}})
	if c.Limits == nil {
		c.Limits = func() Limits {
			return Limits{HeaderBytes: 2 << 10, IdleTimeout: time.Minute, HeaderTimeout: 10 * time.Second}
		}
	}
	s := New(c)
	l, err := Listen(t.Context(), "127.0.0.1:0", defaultReceiveBytes)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, l.Addr().String()
}

// exchange sends a text and returns the response and whether the connection was closed after it.
func exchange(t *testing.T, address, text string) (status int, body string, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() { _, _ = io.WriteString(c, text) }()
	r := bufio.NewReader(c)
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	return a.StatusCode, string(b), a.Close
}

// Guards against bodies that are changed, refused though they are inside the limit, or never refused.
func TestBodies(t *testing.T) {
	_, address := serveBodies(t, Config{}, 300*time.Millisecond)
	chunks := func(n, size int) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size)), n)
	}
	length := func(announced, sent int) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", announced, strings.Repeat("b", sent))
	}
	for _, x := range []struct {
		name, path, rest string
		status           int
		body             string
		closed           bool
	}{
		{"none", "/", "\r\n", 200, "0", false},
		{"empty", "/", length(0, 0), 200, "0", false},
		{"short", "/", length(5, 5), 200, "5", false},
		{"as large as allowed", "/", length(32<<10, 32<<10), 200, "32768", false},
		{"as large as allowed, in chunks", "/", chunks(4, 8<<10) + "0\r\n\r\n", 200, "32768", false},
		{"in tiny chunks", "/", chunks(9000, 1) + "0\r\n\r\n", 200, "9000", false},
		{"announced as too large", "/", length(32<<10+1, 0), 413, "0", true},
		{"sent though too large", "/", length(32<<10+1, 32<<10+1), 413, "0", false},
		{"far too large", "/", length(1<<20, 10), 413, "0", true},
		{"too large, in chunks", "/", chunks(5, 8<<10), 413, "0", true},
		{"stopped", "/", length(100, 99), 408, "0", true},
		{"stopped in a chunk", "/", chunks(1, 100), 408, "0", true},
		{"no chunks", "/", "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400, "0", true},
		{"refused unread", "/refused", length(100<<10, 3), 401, "", true},
		{"refused and stopped", "/refused", length(100, 3), 401, "", true},
		{"refused whole", "/refused", length(100, 100), 401, "", false},
	} {
		status, body, closed := exchange(t, address, "POST "+x.path+" HTTP/1.1\r\nHost: h\r\n"+x.rest)
		if status != x.status || body != x.body || closed != x.closed {
			t.Errorf("%s: %d %q, closed %t; want %d %q, %t", x.name, status, body, closed, x.status, x.body, x.closed)
		}
	}
}

// Guards against a refusal of a large head that its client loses because the connection is reset, and against a limit that
// refuses a head inside it.
func TestLargeHeadIsRefused(t *testing.T) {
	_, address := serveBodies(t, Config{}, time.Second)
	head := "GET / HTTP/1.1\r\nHost: h\r\nX: "
	if status, _, _ := exchange(t, address, head+strings.Repeat("v", 2000)+"\r\n\r\n"); status != http.StatusOK {
		t.Errorf("status %d of a head inside the limit", status)
	}
	if status, _, closed := exchange(t, address, head+strings.Repeat("v", 200<<10)); status != http.StatusRequestHeaderFieldsTooLarge || !closed {
		t.Errorf("status %d, closed %t", status, closed)
	}
}

// Guards against a stop that waits for the rest of bodies which never comes.
func TestBodiesAreInterrupted(t *testing.T) {
	s, address := serveBodies(t, Config{}, time.Minute)
	go func() {
		for s.Connections() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		s.InterruptBodies()
	}()
	if status, _, closed := exchange(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"); status != http.StatusServiceUnavailable || !closed {
		t.Errorf("status %d, closed %t", status, closed)
	}
}

// Guards against clients that hold all connections of a listener by stopping in their bodies.
func TestNewClientsTakeThePlaceOfStalledOnes(t *testing.T) {
	const most = 3
	s, address := serveBodies(t, Config{Connections: most}, time.Minute)
	for range most {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "an ordinary client is served", func() bool {
		r, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + address)
		return err == nil && r.Body.Close() == nil && r.StatusCode == http.StatusOK
	})
	if n := s.Connections(); n > most {
		t.Errorf("%d connections are open", n)
	}
}

// Guards against a shutdown that waits for the rest of bodies which never comes.
func TestShutdownInterruptsBodies(t *testing.T) {
	s, address := serveBodies(t, Config{CheckInterval: 10 * time.Millisecond}, time.Minute)
	done := make(chan error, 1)
	go func() {
		for !s.(*server).receiving() {
			time.Sleep(time.Millisecond)
		}
		done <- s.Shutdown(context.Background())
	}()
	if status, _, closed := exchange(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"); status != http.StatusServiceUnavailable || !closed {
		t.Errorf("status %d, closed %t", status, closed)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// receiving reports whether a body is being read.
func (s *server) receiving() bool {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for c := range s.conns.all {
		if c.isReceiving() && c.isBodyHandled() {
			return true
		}
	}
	return false
}
