package engine

import (
	"context"
	"errors"
	"io"
	"testing"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/node/httphead/responsetest"
)

const (
	soundFields = "Hornbeamwood-Request: r\r\nHornbeamwood-Attempt: a\r\nContent-Type: text/event-stream\r\n"
	firstEvent  = `data: {"choices":[{"index":0,"delta":{"content":"t1"},"finish_reason":null}],"hornbeamwood":{"request":"r","attempt":"a","position":1}}` + "\n\n"
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
