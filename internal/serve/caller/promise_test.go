package caller

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// answerWith responds with a status, further header lines and a body of so many bytes, in chunks if the length is to be unknown.
func answerWith(status int, lines string, size int, chunked bool) script {
	return func(_ *scriptedServer, c net.Conn, q *http.Request) bool {
		body := strings.Repeat("n", size)
		head := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body)
		if chunked {
			head = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nA-Id: %s\r\n%s%s", status, q.Header.Get("A-Id"), lines, head)
		return err == nil
	}
}

// promising are the statuses by which an entry promises that a request has not run.
var promising = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Guards against a caller that repeats a request which has run, because a server failed it with a status that is a promise.
func TestFailureAfterARunIsNoPromise(t *testing.T) {
	for _, status := range promising {
		for _, stamp := range []string{"A-Stamp: x\r\n", "A-Stamp: x\r\nRetry-After: 1\r\n", ""} {
			for _, size := range []int{2, 3 << 20} {
				for _, chunked := range []bool{false, true} {
					for _, path := range []string{"/once/x", "/stream/x"} {
						f := newFixture(t, answerWith(status, stamp, size, chunked), answerOK("second"))
						g := f.request(t, "r1", http.MethodPost, path)
						if g.err != nil || g.status != http.StatusBadGateway || g.header.Get("Retry-After") != "" || g.header.Get("A-Stamp") != "" {
							t.Errorf("%s, %d with %q and %d bytes (chunked: %v): got %d, stamp %q, Retry-After %q, %v", path, status, stamp, size, chunked, g.status, g.header.Get("A-Stamp"), g.header.Get("Retry-After"), g.err)
						}
						if n := f.servers[1].count(); n != 0 {
							t.Errorf("%s, %d: sent to %d further servers", path, status, n)
						}
					}
				}
			}
		}
	}
}

// Guards against a server's failure that reaches the caller of an idempotent request as another one.
func TestFailureOfIdempotentRequestIsForwardedUnchanged(t *testing.T) {
	for _, status := range promising {
		for _, size := range []int{2, 3 << 20} {
			f := newFixture(t, answerWith(status, "A-Stamp: y\r\n", size, false))
			if g := f.request(t, "r1", http.MethodGet, "/read/x"); g.status != status || g.header.Get("A-Stamp") != "y" || len(g.body) != size {
				t.Errorf("%d with %d bytes: got %d, stamp %q, %d bytes", status, size, g.status, g.header.Get("A-Stamp"), len(g.body))
			}
		}
	}
}

// Guards against a refusal by a server that is taken for a run: the request must be tried elsewhere, and refused as not
// run if nobody takes it.
func TestMarkedRefusalStaysOne(t *testing.T) {
	for _, status := range promising {
		for _, path := range []string{"/once/x", "/read/x"} {
			refuses := answerWith(status, "A-Not-Run: 1\r\n", 2, false)
			f := newFixture(t, refuses, answerOK("second"))
			if g := f.request(t, "r1", http.MethodPost, path); g.status != http.StatusOK || g.body != "second" {
				t.Errorf("%s, %d: got %+v", path, status, g)
			}
			f = newFixture(t, refuses, refuses)
			if g := f.request(t, "r2", http.MethodPost, path); g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
				t.Errorf("%s, %d everywhere: got %+v", path, status, g)
			}
		}
	}
}
