package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/node/httphead/responsetest"
)

// respondWith responds with a text.
func respondWith(text string) script {
	return func(_ *scriptedServer, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// Guards against a response that reaches its caller, or a promise that a request hasn't run, although the name of a field in
// its head or in an informational one is malformed; and against another request on its connection.
func TestMalformedNameInHeadIsNotForwarded(t *testing.T) {
	const latest = time.Second
	for _, path := range []string{"/read/x", "/once/x", "/stream/x", "/resume/x"} {
		body := "whole"
		if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/") {
			body = eventTexts(0, 2)
		}
		for status, fields := range map[string]string{"200 OK": "A-Id: r1\r\nA-Stamp: x\r\n", "503 Busy": "A-Id: r1\r\nA-Not-Run: 1\r\n"} {
			for _, x := range responsetest.MalformedNames("HTTP/1.1 "+status, fields, body, "A-Stamp : other", "A-Not-Run : 1") {
				if x.Trailer {
					continue
				}
				t.Run(path[1:]+status+" "+x.Name, func(t *testing.T) {
					t.Parallel()
					f := newFixture(t, respondWith(x.Text))
					began := time.Now()
					g := f.request(t, "r1", http.MethodPost, path)
					if g.status != http.StatusBadGateway || g.header.Get("A-Stamp") != "" || strings.Contains(g.body, body) {
						t.Errorf("got %+v", g)
					}
					if took := time.Since(began); took > latest {
						t.Errorf("it took %v", took)
					}
					f.request(t, "r1", http.MethodPost, path)
					f.servers[0].mu.Lock()
					defer f.servers[0].mu.Unlock()
					if used, requests := len(f.servers[0].conns), len(f.servers[0].arrived); used < requests {
						t.Errorf("%d connections for %d requests", used, requests)
					}
				})
			}
		}
	}
}

// Guards against the refusal of a response whose names of fields are all tokens, with every character that a token may have.
func TestEveryTokenIsAName(t *testing.T) {
	const lines = "X!#$%&'*+-.^_`|~09az: a\tb\r\nx-lower:1\r\n"
	for path, body := range map[string]string{"/read/x": "whole", "/once/x": "whole", "/stream/x": eventTexts(0, 2)} {
		f := newFixture(t, respondWith(fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n%s\r\nHTTP/1.1 200 OK\r\n%sA-Id: r1\r\nA-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", lines, lines, len(body), body, lines)))
		for range 2 {
			if g := f.request(t, "r1", http.MethodPost, path); g.err != nil || g.status != http.StatusOK || g.body != body || g.header.Get("X-Lower") != "1" {
				t.Errorf("%s: got %+v", path, g)
			}
		}
		if n := len(f.servers[0].conns); n > 1 {
			t.Errorf("%s: %d connections", path, n)
		}
	}
}

// Guards against a response that its caller takes for whole, and against another request on its connection, although the name of
// a field in its trailer is malformed, or the trailer never ends.
func TestMalformedTrailerIsNoEnd(t *testing.T) {
	const latest = time.Second
	large := strings.Repeat("x", 2*maxBufferedBytes)
	for path, body := range map[string]string{"/read/x": "whole", "/once/x": "whole", "/once/large": large, "/stream/x": eventTexts(0, 2), "/resume/x": eventTexts(0, 2)} {
		responses := responsetest.MalformedNames("HTTP/1.1 200 OK", "A-Id: r1\r\nA-Stamp: x\r\n", body, "A-Stamp : other", "A-Not-Run : 1")
		responses = append(responses, responsetest.Malformed{
			Name: "endless", Trailer: true,
			Text: fmt.Sprintf("HTTP/1.1 200 OK\r\nA-Id: r1\r\nA-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s", len(body), body, strings.Repeat("X-More: x\r\n", 20_000)),
		})
		for _, x := range responses {
			if !x.Trailer {
				continue
			}
			t.Run(path[1:]+" "+x.Name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, respondWith(x.Text))
				for range 2 {
					began := time.Now()
					if g := f.request(t, "r1", http.MethodPost, path); g.status != http.StatusBadGateway && g.err == nil {
						t.Errorf("status %d with %d bytes", g.status, len(g.body))
					}
					if took := time.Since(began); took > latest {
						t.Errorf("it took %v", took)
					}
				}
				f.servers[0].mu.Lock()
				defer f.servers[0].mu.Unlock()
				if used, requests := len(f.servers[0].conns), len(f.servers[0].arrived); used < requests {
					t.Errorf("%d connections for %d requests", used, requests)
				}
			})
		}
	}
}
