package service

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/httphead/responsetest"
)

// checkNoOutcome makes calls to a service that gives no answer after each has been sent.
func checkNoOutcome(t *testing.T, s *responsetest.Server, body string, once bool) {
	t.Helper()
	const calls = 3
	c := New(Config{Log: newFakeLog(), Picker: onePicker(s.Address), Entry: "e1", Incarnation: 1})
	for i := range calls {
		r := callOf("w", fmt.Sprint("k", i), body)
		r.Rules.NonIdempotent = once
		a, err := c.Call(context.Background(), r)
		if e, failed := verdict.As(err); !failed || e.Verdict != verdict.MayHaveRun || a.Status != 0 {
			t.Errorf("call %d: %+v, %v", i, a, err)
		}
	}
	if n := s.Connections(); n < calls {
		t.Errorf("%d connections for %d calls", n, calls)
	}
}

// Guards against a broken answer that counts as an outcome, or as a refusal: its status is none, or its connection is reset
// while the call is still being written.
func TestBrokenAnswerIsNoOutcome(t *testing.T) {
	for _, once := range []bool{true, false} {
		for name, text := range map[string]string{
			"answer":    "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nissued",
			"refusal":   "HTTP/1.1 000 OK\r\nHornbeamwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
			"after 103": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nissued",
		} {
			t.Run(fmt.Sprintf("status 000, %s, once %t", name, once), func(t *testing.T) {
				t.Parallel()
				checkNoOutcome(t, responsetest.NewServer(t, func(*http.Request) string { return text }), "lot 7", once)
			})
		}
		for name, text := range map[string]string{
			"no length": "HTTP/1.1 200 OK\r\n\r\nissued",
			"chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nissued\r\n",
			"length":    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nissued",
		} {
			t.Run(fmt.Sprintf("reset upload, %s, once %t", name, once), func(t *testing.T) {
				t.Parallel()
				checkNoOutcome(t, responsetest.NewResettingServer(t, text), string(make([]byte, responsetest.UploadBytes)), once)
			})
		}
	}
}

// Guards against an answer that counts as an outcome, or as a refusal, although the name of a field in its head, in an
// informational one or in its trailer is malformed.
func TestMalformedNameIsNoOutcome(t *testing.T) {
	const refusal = "Hornbeamwood-Verdict: not-run\r\n"
	for fields, status := range map[string]string{"": "200 OK", refusal: "503 Busy"} {
		for _, x := range responsetest.MalformedNames("HTTP/1.1 "+status, fields, "issued", "Hornbeamwood-Verdict : not-run") {
			if x.Trailer && fields == refusal {
				continue
			}
			for _, once := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s %s, once %t", status, x.Name, once), func(t *testing.T) {
					t.Parallel()
					checkNoOutcome(t, responsetest.NewServer(t, func(*http.Request) string { return x.Text }), "lot 7", once)
				})
			}
		}
	}
}
