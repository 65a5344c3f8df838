package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/rules"
)

// fakeService counts how often each call ran.
type fakeService struct {
	mu      sync.Mutex
	runs    map[string]int
	arrived func(r *http.Request)
	refuse  func() bool
	server  *httptest.Server
}

func newFakeService(t testing.TB) *fakeService {
	f := &fakeService{runs: map[string]int{}}
	f.server = httptest.NewServer(f)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.refuse != nil && f.refuse() {
		w.Header().Set(verdict.Header, "not-run")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	key := r.Header.Get(headerWorkspace) + "/" + r.Header.Get(headerKey)
	f.mu.Lock()
	f.runs[key]++
	n := f.runs[key]
	arrived := f.arrived
	f.mu.Unlock()
	if arrived != nil {
		arrived(r)
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s run %d: %s", key, n, b)
}

func (f *fakeService) ran(workspace, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[workspace+"/"+key]
}

func (f *fakeService) address() string {
	return strings.TrimPrefix(f.server.URL, "http://")
}

// onePicker always picks the same server.
type onePicker string

func (p onePicker) Pick(_ context.Context, _ Request, excluded []string) (Server, error) {
	if len(excluded) > 0 {
		return Server{}, verdict.New(verdict.NotRun, 503, "no-server", "no server")
	}
	return Server{Identity: "s1", Address: string(p)}, nil
}

func callOf(workspace, key, body string) Request {
	return Request{
		ID: "r", Workspace: workspace, Service: "stamps", Method: "POST", Path: "/issue", Key: key, Body: []byte(body),
		Rules: rules.Rules{NonIdempotent: true, LedgerKeep: time.Hour, Deadline: 10 * time.Second},
	}
}
