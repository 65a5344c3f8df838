package engine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/httphead/responsetest"
)

const (
	soundFields = "Hornbeamwood-Request: r\r\nHornbeamwood-Attempt: a\r\nContent-Type: text/event-stream\r\n"
	firstEvent  = `data: {"choices":[{"index":0,"delta":{"content":"t1"},"finish_reason":null}],"hornbeamwood":{"request":"r","attempt":"a","position":1}}` + "\n\n"
	wholeEvents = `data: {"choices":[{"index":0,"delta":{"content":"t1"},"finish_reason":"stop"}],"hornbeamwood":{"request":"r","attempt":"a","position":1}}` + "\n\ndata: [DONE]\n\n"
)

// checkIncomplete runs an attempt at an engine that gives no whole answer.
func checkIncomplete(t *testing.T, s *responsetest.Server, body []byte) {
	t.Helper()
	c := New(Config{ResumeLimit: -1})
	defer c.Wait()
	r := attempt
	r.Body = body
	run, err := c.Run(context.Background(), s.Address, r)
	for err == nil {
		_, err = run.Next()
	}
	if run != nil {
		run.Close()
	}
	if e, ok := verdict.As(err); !ok || e.Verdict != verdict.MayHaveRun || errors.Is(err, io.EOF) {
		t.Errorf("got %v", err)
	}
}

// Guards against a part of an answer that counts as complete because its connection is reset while the prompt is still being
// written.
func TestResetUploadIsNotComplete(t *testing.T) {
	for name, head := range map[string]string{"no length": "HTTP/1.1 200 OK\r\n", "length": "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkIncomplete(t, responsetest.NewResettingServer(t, head+soundFields+"\r\n"+firstEvent), make([]byte, responsetest.UploadBytes))
		})
	}
}

// Guards against an answer, or a promise that the prompt hasn't run, whose status is none.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for name, text := range map[string]string{
		"answer":    "HTTP/1.1 000 OK\r\n" + soundFields + "\r\n" + wholeEvents,
		"refusal":   "HTTP/1.1 000 OK\r\nHornbeamwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
		"after 103": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nHornbeamwood-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkIncomplete(t, responsetest.NewServer(t, func(*http.Request) string { return text }), []byte("{}"))
		})
	}
}

// Guards against an answer, or a promise that the prompt hasn't run, although the name of a field in its head or in an
// informational one is malformed.
func TestMalformedNameIsNoAnswer(t *testing.T) {
	for status, fields := range map[string]string{"200 OK": soundFields, "503 Busy": "Hornbeamwood-Verdict: not-run\r\n"} {
		for _, x := range responsetest.MalformedNames("HTTP/1.1 "+status, fields, wholeEvents, "Hornbeamwood-Verdict : not-run") {
			if x.Trailer {
				continue
			}
			t.Run(status+" "+x.Name, func(t *testing.T) {
				t.Parallel()
				checkIncomplete(t, responsetest.NewServer(t, func(*http.Request) string { return x.Text }), []byte("{}"))
			})
		}
	}
}

// Guards against another run on a connection whose last answer had a malformed name in its trailer.
func TestMalformedTrailerEndsTheConnection(t *testing.T) {
	for _, x := range responsetest.MalformedNames("HTTP/1.1 200 OK", soundFields, wholeEvents) {
		if !x.Trailer {
			continue
		}
		t.Run(x.Name, func(t *testing.T) {
			t.Parallel()
			const runs = 3
			s := responsetest.NewServer(t, func(*http.Request) string { return x.Text })
			c := New(Config{ResumeLimit: -1})
			for range runs {
				run, err := c.Run(context.Background(), s.Address, attempt)
				for err == nil {
					_, err = run.Next()
				}
				if !errors.Is(err, io.EOF) {
					t.Errorf("got %v", err)
				}
				if run != nil {
					run.Close()
				}
				c.Wait()
			}
			if n := s.Connections(); n != runs {
				t.Errorf("%d connections for %d runs", n, runs)
			}
		})
	}
}
