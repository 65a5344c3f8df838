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

// fakeLog is a control log with a single replica that can lose answers or fail.
type fakeLog struct {
	mu          sync.Mutex
	section     state.Section
	loseAnswers bool
	failure     error
	proposed    int
}

func (l *fakeLog) Propose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure != nil {
		return nil, l.failure
	}
	l.proposed++
	result := l.section.Apply(time.Unix(1_800_000_000, 0), body)
	if l.loseAnswers {
		return nil, context.DeadlineExceeded
	}
	return result, nil
}

func (l *fakeLog) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	if l.failure != nil {
		return nil, l.failure
	}
	return l.section.Query(body)
}

// fakeInForce returns err from Wait.
type fakeInForce struct {
	err error
}

func (f *fakeInForce) Wait(context.Context, uint64) error { return f.err }

// fakeLease returns err from Check.
type fakeLease struct {
	err error
}

func (l *fakeLease) Check() error { return l.err }

// fixture is the operator interface of one entry with a fake control log.
type fixture struct {
	t       testing.TB
	log     *fakeLog
	copy    follower.Follower
	inForce *fakeInForce
	lease   *fakeLease
	handler http.Handler
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{
		t:       t,
		log:     &fakeLog{section: section.New()},
		copy:    follower.New(),
		inForce: &fakeInForce{},
		lease:   &fakeLease{},
	}
	f.handler = New(Config{
		Log:                f.log,
		Settings:           f.copy,
		Lease:              f.lease,
		InForce:            f.inForce,
		BootstrapKeyDigest: digest.Of("bootstrap-key"),
		MaxBody:            4096,
		Timeout:            time.Second,
		WaitLimit:          time.Second,
	})
	return f
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

// newFixtureWithOperators returns a fixture whose tree has operators, at revision 1.
func newFixtureWithOperators(t testing.TB) *fixture {
	t.Helper()
	f := newFixture(t)
	text := fmt.Sprintf(setupTree, digest.Of("ana-key"), digest.Of("ben-key"), digest.Of("caller-key"))
	r := f.send("PUT", "/settings", "bootstrap-key", "setup", `"0"`, text)
	if r.Code != http.StatusOK {
		t.Fatalf("setup: %d %s", r.Code, r.Body)
	}
	f.syncCopy()
	return f
}

// syncCopy updates the entry's copy of the settings.
func (f *fixture) syncCopy() {
	f.t.Helper()
	q, _ := codec.Marshal(section.Query{Kind: section.QueryChanges, Known: f.copy.View().Revision()})
	answer, err := f.log.section.Query(q)
	if err != nil {
		f.t.Fatal(err)
	}
	c, err := codec.Unmarshal[section.Changes](answer)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.copy.Apply(c); err != nil {
		f.t.Fatal(err)
	}
}

// send sends one request. Headers with empty values are omitted.
func (f *fixture) send(method, target, key, id, base, body string) *httptest.ResponseRecorder {
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
	f.handler.ServeHTTP(w, r)
	return w
}

// expectAnswer fails the test if the response has a different status or verdict or lacks one of the texts.
func expectAnswer(t testing.TB, w *httptest.ResponseRecorder, status int, v verdict.Verdict, texts ...string) {
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
