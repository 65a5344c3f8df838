package caller

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/node/inbound"
	"hornbeamwood/internal/settings/rules"
)

// fixedSnapshots always returns the same snapshot or error.
type fixedSnapshots struct {
	snapshot *rules.Snapshot
	err      error
}

func (f *fixedSnapshots) Current() (*rules.Snapshot, error) { return f.snapshot, f.err }

// fakeCompleter streams the given events and records the requests.
type fakeCompleter struct {
	mu       sync.Mutex
	received []Request
	events   []string
	last     error
	err      error
	gate     chan struct{}
	closed   int
}

func (f *fakeCompleter) Complete(ctx context.Context, r Request) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, r)
	if f.err != nil {
		return nil, f.err
	}
	return &fakeStream{completer: f, context: ctx, events: f.events}, nil
}

func (f *fakeCompleter) requests() []Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Request(nil), f.received...)
}

type fakeStream struct {
	completer *fakeCompleter
	context   context.Context
	events    []string
}

func (s *fakeStream) Next() ([]byte, error) {
	if s.completer.gate != nil {
		select {
		case <-s.completer.gate:
		case <-s.context.Done():
			return nil, s.context.Err()
		}
	}
	if len(s.events) == 0 {
		if s.completer.last != nil {
			return nil, s.completer.last
		}
		return nil, io.EOF
	}
	e := s.events[0]
	s.events = s.events[1:]
	return []byte(e), nil
}

func (s *fakeStream) Close() {
	s.completer.mu.Lock()
	defer s.completer.mu.Unlock()
	s.completer.closed++
}

// fakeServices answers each call with its workspace and path, and records the calls.
type fakeServices struct {
	mu       sync.Mutex
	received []service.Request
	err      error
	// noBody is set if the answers have no body.
	noBody bool
}

func (f *fakeServices) Call(_ context.Context, r service.Request) (service.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received = append(f.received, r)
	if f.err != nil {
		return service.Answer{}, f.err
	}
	if f.noBody {
		return service.Answer{Status: 200, Header: http.Header{}}, nil
	}
	return service.Answer{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(r.Workspace + r.Path)}, nil
}

func (f *fakeServices) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.received)
}

func digestOf(key string) [32]byte { return sha256.Sum256([]byte(key)) }

func sampleSnapshot() *rules.Snapshot {
	r := rules.Rules{MaxBody: 4096, MaxInFlight: 2, Deadline: time.Second}
	once := r
	once.NonIdempotent = true
	return &rules.Snapshot{
		Models:   map[string]rules.Model{"draft": {Name: "draft"}, "secret": {Name: "secret"}},
		Services: map[string]rules.Service{"stamps": {}, "status": {}, "hidden": {}},
		Workspaces: map[string]rules.Workspace{
			"certilote": {
				KeyDigests: [][32]byte{digestOf("key-1")},
				Models:     map[string]rules.Rules{"draft": r},
				Services:   map[string]rules.Rules{"stamps": once, "status": r},
			},
			"other": {
				KeyDigests: [][32]byte{digestOf("key-2")},
				Models:     map[string]rules.Rules{"secret": r},
				Services:   map[string]rules.Rules{"hidden": once},
			},
		},
	}
}

// fixture is a handler with fake dependencies behind an HTTP server.
type fixture struct {
	snapshots *fixedSnapshots
	completer *fakeCompleter
	services  *fakeServices
	handler   Handler
	server    struct{ URL string }
}

func newFixture(t testing.TB, c Config) *fixture {
	f := &fixture{
		snapshots: &fixedSnapshots{snapshot: sampleSnapshot()},
		completer: &fakeCompleter{events: chatEvents("Hello", " world")},
		services:  &fakeServices{},
	}
	c.Snapshots, c.Completer, c.Services = f.snapshots, f.completer, f.services
	f.handler = New(c)
	s := inbound.New(inbound.Config{Handler: f.handler, Account: inbound.NewAccount(inbound.AccountConfig{}), Limits: c.Limits})
	l, err := inbound.Listen(t.Context(), "127.0.0.1:0", c.Bounds.WithDefaults().ReceiveBytes)
	if err != nil {
		t.Fatal(err)
	}
	f.server.URL = "http://" + l.Addr().String()
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return f
}

func chatEvents(texts ...string) []string {
	var events []string
	for i, text := range texts {
		finish := "null"
		if i == len(texts)-1 {
			finish = `"stop"`
		}
		events = append(events, fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","created":1,"model":"draft",`+
			`"choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":%s}]}`, text, finish))
	}
	return append(events, `{"id":"c","object":"chat.completion.chunk","created":1,"model":"draft","choices":[],"usage":{"total_tokens":9}}`)
}

// answer is a complete HTTP response.
type answer struct {
	status int
	header http.Header
	body   string
}

func (f *fixture) do(t testing.TB, method, path, key, body string, headers ...string) answer {
	t.Helper()
	r, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(text)}
}
