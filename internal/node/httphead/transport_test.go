package httphead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hornbeamwood/internal/node/httphead/responsetest"
)

// testTimeout bounds a request of a test.
const testTimeout = 2 * time.Second

// newClient returns a client with a transport of this package.
func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: NewTransport(&http.Transport{DisableCompression: true}), Timeout: testTimeout}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// exchangeWith returns the status and the body of the response, or why there is no whole one.
func exchangeWith(c *http.Client, method, address, path string) (int, string, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader("x"))
	if err != nil {
		return 0, "", err
	}
	r, err := c.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

// Guards against a response that the transport of net/http takes for one, and against another request on its connection: its
// status is none, or the name of a field is malformed.
func TestTransportRefusesMalformedResponses(t *testing.T) {
	malformed := responsetest.MalformedNames("HTTP/1.1 200 OK", "", "whole")
	for name, text := range map[string]string{
		"status 000":     "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"status 099":     "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
		"other protocol": "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"endless":        strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"no body":        "HTTP/1.1 204 No Content\r\nX-Odd : 1\r\n\r\n",
		"empty body":     "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 0\r\n\r\n",
	} {
		malformed = append(malformed, responsetest.Malformed{Name: name, Text: text})
	}
	for _, x := range malformed {
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			s := responsetest.NewServer(t, func(q *http.Request) string {
				if q.URL.Path == "/sound" {
					return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
				}
				return x.Text
			})
			c := newClient(t)
			for range 3 {
				if status, body, err := exchangeWith(c, http.MethodPost, s.Address, "/"); err == nil {
					t.Errorf("got status %d, %q", status, body)
				}
			}
			if n := s.Connections(); n != 3 {
				t.Errorf("%d connections for 3 malformed responses", n)
			}
			for range 3 {
				if status, body, err := exchangeWith(c, http.MethodPost, s.Address, "/sound"); err != nil || status != http.StatusOK || body != "sound" {
					t.Errorf("got status %d, %q, %v", status, body, err)
				}
			}
			if n := s.Connections(); n != 4 {
				t.Errorf("%d connections, want 4: sound responses share one", n)
			}
		})
	}
}

// Guards against a response that is read from what follows a malformed one without a body, while another request waits for a
// connection.
func TestRestOfMalformedResponseIsNoResponse(t *testing.T) {
	const callers, requests = 16, 40
	var malformed atomic.Int64
	s := responsetest.NewServer(t, func(q *http.Request) string {
		if q.URL.Path == "/odd" {
			return "HTTP/1.1 200 OK\r\nContent-Length : 40\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrest"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(q.URL.Path), q.URL.Path)
	})
	c := newClient(t)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for j := range requests {
				if j%2 == 0 {
					if _, _, err := exchangeWith(c, http.MethodPost, s.Address, "/odd"); err != nil {
						malformed.Add(1)
					}
					continue
				}
				path := fmt.Sprintf("/%d-%d", i, j)
				if status, body, err := exchangeWith(c, http.MethodPost, s.Address, path); err != nil || status != http.StatusOK || body != path {
					t.Errorf("%s: got status %d, %q, %v", path, status, body, err)
				}
			}
		})
	}
	all.Wait()
	if n := malformed.Load(); n != callers*requests/2 {
		t.Errorf("%d malformed responses were refused, want %d", n, callers*requests/2)
	}
}
