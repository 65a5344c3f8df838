package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/control/ledger"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/policy/suspicion"
	"hornbeamwood/internal/settings/rules"
)

const fixedSeed = 20261203

// sectionLog is a single-replica log that commits immediately.
type sectionLog struct {
	mu      sync.Mutex
	section state.Section
}

func (l *sectionLog) Propose(_ context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.section.Apply(time.Unix(1_800_000_000, 0), body), nil
}

func (l *sectionLog) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.section.Query(body)
}

// echo is a service that returns the workspace and the body.
type echo struct {
	server *httptest.Server
}

func newEcho() *echo {
	e := &echo{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s|%s", r.Header.Get("Hornbeamwood-Workspace"), b)
	}))
	return e
}

func (e *echo) Pick(context.Context, service.Request, []string) (service.Server, error) {
	return service.Server{Identity: "echo", Address: strings.TrimPrefix(e.server.URL, "http://")}, nil
}

// tenant is one workspace of a generated pair.
type tenant struct {
	name, key, model, service string
}

// pair returns two workspaces whose models and services have, at random, equal or different names.
func pair(r *rand.Rand) (tenant, tenant, *rules.Snapshot) {
	a := tenant{name: "alpha-plant", key: "key-a", model: "draft", service: "stamps"}
	b := tenant{name: "beta-mill", key: "key-b", model: "draft", service: "stamps"}
	if r.IntN(2) == 0 {
		b.model, b.service = "beta-model", "beta-service"
	}
	s := &rules.Snapshot{
		Models:     map[string]rules.Model{a.model: {Name: a.model}, b.model: {Name: b.model}},
		Services:   map[string]rules.Service{a.service: {}, b.service: {}},
		Workspaces: map[string]rules.Workspace{},
	}
	for _, t := range []tenant{a, b} {
		s.Workspaces[t.name] = rules.Workspace{
			KeyDigests: [][32]byte{digestOf(t.key)},
			Models:     map[string]rules.Rules{t.model: {}},
			Services:   map[string]rules.Rules{t.service: {NonIdempotent: true, LedgerKeep: time.Hour}},
		}
	}
	return a, b, s
}

// Two workspaces use the same names for everything: models, services, prompts
// and Idempotency-Keys. Neither may get the other's answer or have its call
// treated as a resend of the other's call. No error and no log entry of one may
// contain names of the other.
func TestWorkspacesStayApart(t *testing.T) {
	e := newEcho()
	defer e.server.Close()
	parameters := gopter.DefaultTestParametersWithSeed(fixedSeed)
	parameters.MinSuccessfulTests = 100
	properties := gopter.NewProperties(parameters)
	properties.Property("answers, records, errors and logs belong to the calling workspace", prop.ForAllNoShrink(func(seed uint64) string {
		return checkIsolation(t, e, rand.New(rand.NewPCG(seed, 6)))
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func checkIsolation(t *testing.T, e *echo, r *rand.Rand) string {
	one, two, snapshot := pair(r)
	entries := memory.New()
	logger := &log.Logger{Handler: entries, Level: log.DebugLevel}
	calls := service.New(service.Config{Log: &sectionLog{section: ledger.New()}, Picker: e, Entry: "e", Incarnation: 1, Logger: logger})
	completer := &fakeCompleter{events: chatEvents("Hi")}
	h := New(Config{Snapshots: &fixedSnapshots{snapshot: snapshot}, Completer: completer, Services: calls, Logger: logger})
	server := httptest.NewServer(h)
	defer server.Close()
	f := &fixture{server: struct{ URL string }{server.URL}}
	for range 12 {
		me, other := one, two
		if r.IntN(2) == 0 {
			me, other = two, one
		}
		before := len(entries.Entries)
		a, want := sendRandom(t, f, r, me, other)
		await(t, func() bool { return h.InFlight() == 0 && calls.OpenCalls() == 0 })
		text := fmt.Sprint(a.header, a.body, entriesSince(entries, before))
		if want != "" && a.body != want {
			return fmt.Sprintf("%s got %q instead of %q", me.name, a.body, want)
		}
		if strings.Contains(text, other.name) || (a.status >= 400 && other.model != me.model && strings.Contains(a.body, other.model)) {
			return fmt.Sprintf("%s sees a name of the other workspace in %s", me.name, text)
		}
		for _, q := range completer.requests() {
			if suspicion.FingerprintOf(q.Workspace, q.Model.Name, q.Prompt) == suspicion.FingerprintOf(two.name, two.model, []byte("user\x00Hi\x00")) && q.Workspace != two.name {
				return "two workspaces share a fingerprint"
			}
		}
	}
	return ""
}

// sendRandom sends one random request of me and returns the answer and the expected body, empty for any.
func sendRandom(t *testing.T, f *fixture, r *rand.Rand, me, other tenant) (answer, string) {
	switch r.IntN(5) {
	case 0:
		body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Hi"}]}`, me.model)
		return f.do(t, "POST", "/v1/chat/completions", me.key, body), ""
	case 1:
		body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Hi"}]}`, other.model)
		return f.do(t, "POST", "/v1/chat/completions", me.key, body), ""
	case 2:
		return f.do(t, "POST", "/services/"+other.service+"/issue", me.key, "lot 1", HeaderKey, "other-k"), ""
	default:
		key := fmt.Sprint("k", r.IntN(3))
		body := "lot " + key
		return f.do(t, "POST", "/services/"+me.service+"/issue", me.key, body, HeaderKey, key), me.name + "|" + body
	}
}

func entriesSince(h *memory.Handler, n int) string {
	var b strings.Builder
	for _, e := range h.Entries[n:] {
		fmt.Fprintln(&b, e.Message, e.Fields)
	}
	return b.String()
}
