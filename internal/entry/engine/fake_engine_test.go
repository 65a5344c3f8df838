package engine

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// fakeEngine runs its script on each connection.
type fakeEngine struct {
	mu        sync.Mutex
	opened    []int
	cancelled []string
	script    func(connection int, after int, w *fakeWriter)
	server    *httptest.Server
}

// fakeWriter writes the events of one connection.
type fakeWriter struct {
	http.ResponseWriter
	request *http.Request
}

func newFakeEngine(t testing.TB, script func(connection, after int, w *fakeWriter)) *fakeEngine {
	f := &fakeEngine{script: script}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		f.mu.Lock()
		f.cancelled = append(f.cancelled, strings.TrimPrefix(r.URL.Path, "/v1/runs/"))
		f.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	after := -1
	if v := r.Header.Get(headerResumeAfter); v != "" {
		after, _ = strconv.Atoi(v)
	}
	f.mu.Lock()
	f.opened = append(f.opened, after)
	connection := len(f.opened)
	f.mu.Unlock()
	f.script(connection, after, &fakeWriter{ResponseWriter: w, request: r})
}

func (f *fakeEngine) address() string {
	return strings.TrimPrefix(f.server.URL, "http://")
}

func (f *fakeEngine) connections() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]int(nil), f.opened...)
}

func (f *fakeEngine) cancels() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.cancelled...)
}

// accept sends the headers of an accepted attempt.
func (w *fakeWriter) accept() {
	w.Header().Set(headerRequest, w.request.Header.Get(headerRequest))
	w.Header().Set(headerAttempt, w.request.Header.Get(headerAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// event sends the event at the given position of the given attempt.
func (w *fakeWriter) event(attempt string, position int, finish string) {
	reason := "null"
	if finish != "" {
		reason = strconv.Quote(finish)
	}
	fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":%s}],"+
		"\"hornbeamwood\":{\"request\":\"r\",\"attempt\":%q,\"position\":%d}}\n\n", position, reason, attempt, position)
}

func (w *fakeWriter) done() {
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// cut flushes what was written and aborts the connection.
func (w *fakeWriter) cut() {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// rest sends the events from the given position to the end of a complete answer.
func (w *fakeWriter) rest(attempt string, from, last int) {
	for p := from; p <= last; p++ {
		finish := ""
		if p == last {
			finish = "stop"
		}
		w.event(attempt, p, finish)
	}
	w.done()
}

func (w *fakeWriter) flush() {
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}
