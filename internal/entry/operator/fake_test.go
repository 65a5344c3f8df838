package operator

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

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/follower"
	"hornbeamwood/internal/settings/section"
)

// fakeLog is a control log of one replica that can lose answers.
type fakeLog struct {
	mu       sync.Mutex
	section  state.Section
	lose     bool
	down     error
	proposed int
}

func (l *fakeLog) Propose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down != nil {
		return nil, l.down
	}
	l.proposed++
	result := l.section.Apply(time.Unix(1_800_000_000, 0), body)
	if l.lose {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	if l.down != nil {
		return nil, l.down
	}
	return l.section.Query(body)
}

// fakeForce answers whether revisions are in force.
type fakeForce struct {
	err error
}

func (f *fakeForce) Wait(context.Context, uint64) error { return f.err }

// fakeLease answers whether the entry's copy is in force.
type fakeLease struct {
	err error
}

func (l *fakeLease) Check() error { return l.err }

// bench is one entry's operators' interface over a fake log.
type bench struct {
	t       testing.TB
	log     *fakeLog
	copy    follower.Follower
	force   *fakeForce
	lease   *fakeLease
	handler http.Handler
}

func newBench(t testing.TB) *bench {
	b := &bench{
		t:     t,
		log:   &fakeLog{section: section.New()},
		copy:  follower.New(),
		force: &fakeForce{},
		lease: &fakeLease{},
	}
	b.handler = New(Config{
		Log:                b.log,
		Settings:           b.copy,
		Lease:              b.lease,
		Force:              b.force,
		BootstrapKeyDigest: digest.Of("bootstrap-key"),
		MaxBody:            4096,
		Timeout:            time.Second,
		WaitLimit:          time.Second,
	})
	return b
}

const setupTree = `
region = "kr-central"
[models.bulletin]
weight-version = "1"
context-tokens = 65536
[services.hand-over]
non-idempotent = true
[operators.ana]
key-digests = [%q]
[operators.ben]
key-digests = [%q]
[workspaces.daejeon]
key-digests = [%q]
[workspaces.daejeon.services.hand-over]
`

// ready returns a bench whose tree has operators, at revision 1.
func ready(t testing.TB) *bench {
	t.Helper()
	b := newBench(t)
	text := fmt.Sprintf(setupTree, digest.Of("ana-key"), digest.Of("ben-key"), digest.Of("caller-key"))
	r := b.send("PUT", "/settings", "bootstrap-key", "setup", `"0"`, text)
	if r.Code != http.StatusOK {
		t.Fatalf("setup: %d %s", r.Code, r.Body)
	}
	b.follow()
	return b
}

// follow brings the entry's copy up to date.
func (b *bench) follow() {
	b.t.Helper()
	q, _ := codec.Marshal(section.Query{Kind: section.QueryChanges, Known: b.copy.View().Revision()})
	answer, err := b.log.section.Query(q)
	if err != nil {
		b.t.Fatal(err)
	}
	c, err := codec.Unmarshal[section.Changes](answer)
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.copy.Apply(c); err != nil {
		b.t.Fatal(err)
	}
}

// send sends one request; empty values leave out their headers.
func (b *bench) send(method, target, key, id, base, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for name, value := range map[string]string{"Idempotency-Key": id, "If-Match": base, "Authorization": "Bearer " + key} {
		if value != "" && value != "Bearer " {
			r.Header.Set(name, value)
		}
	}
	r.Header.Set("Content-Type", "application/toml")
	if strings.HasPrefix(body, "{") {
		r.Header.Set("Content-Type", "application/json; charset=utf-8")
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	return w
}

// expect reports an answer that has another status, verdict or text.
func expect(t testing.TB, w *httptest.ResponseRecorder, status int, v verdict.Verdict, texts ...string) {
	t.Helper()
	body, _ := io.ReadAll(w.Body)
	if w.Code != status || w.Header().Get(verdict.Header) != v.String() {
		t.Errorf("got %d %q, want %d %q: %s", w.Code, w.Header().Get(verdict.Header), status, v, body)
	}
	for _, text := range texts {
		if !strings.Contains(string(body), text) {
			t.Errorf("%q is missing in %s", text, body)
		}
	}
}
