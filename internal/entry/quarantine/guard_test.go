package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/control/state"

	section "hornbeamwood/internal/control/quarantine"
	"hornbeamwood/internal/entry/completion"
	"hornbeamwood/internal/entry/service"
	"hornbeamwood/internal/policy/suspicion"
)

// sectionLog is a control log with a single replica that commits immediately.
type sectionLog struct {
	mu      sync.Mutex
	section state.Section
	at      time.Time
}

func newSectionLog() *sectionLog {
	return &sectionLog{section: section.New(section.Config{}), at: time.Unix(1_800_000_000, 0)}
}

func (l *sectionLog) Propose(_ context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = l.at.Add(time.Millisecond)
	return l.section.Apply(l.at, body), nil
}

func (l *sectionLog) Read(_ context.Context, _ string, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.section.Query(body)
}

// newGuard returns a guard that refreshes its view only when a test calls refresh: its own poll has ended.
func newGuard(l Log) *guard {
	g := New(Config{Log: l, Interval: time.Hour}).(*guard)
	g.Close()
	return g
}

// newGuards returns n guards of the same log.
func newGuards(l Log, n int) []*guard {
	var all []*guard
	for range n {
		all = append(all, newGuard(l))
	}
	return all
}

// runRequest sends one request through an entry to a server and returns the refusal, if any.
func runRequest(g *guard, f completion.Fingerprint, server string, lost bool) error {
	now := time.Unix(1_800_000_000, 0)
	if err := g.Check(now, "w", whole(f)); err != nil {
		return err
	}
	g.Started(now, f, server)
	g.Ended(context.Background(), now, completion.Run{Workspace: "w", Attributes: whole(f), Server: server, Answered: !lost, Lost: lost})
	return nil
}

// whole returns the attributes of a request without parts.
func whole(f suspicion.Fingerprint) suspicion.Attributes {
	return suspicion.Attributes{Request: f}
}

// A prompt crashes every server that runs it, and its caller sends it through
// every entry in turn. After two lost servers every entry refuses the request
// immediately with a Retry-After. Other prompts of the same workspace are served.
func TestCulpritSentThroughEveryEntryCostsTwoServers(t *testing.T) {
	log := newSectionLog()
	all := newGuards(log, 6)
	culprit := completion.FingerprintOf("w", "m", []byte("crash"))
	all[0].RecordOwner(culprit, "w", "m")
	lost := 0
	for n := range 30 {
		g := all[n%len(all)]
		g.refresh(context.Background())
		err := runRequest(g, culprit, fmt.Sprint("s", n), true)
		if err == nil {
			lost++
			continue
		}
		if e, ok := verdict.As(err); !ok || e.Verdict != verdict.NotRun || e.RetryAfter == 0 || e.Code != "request-quarantined" {
			t.Fatalf("send %d: %v", n, err)
		}
	}
	if lost != 2 {
		t.Errorf("%d servers were lost", lost)
	}
	for _, g := range all {
		g.refresh(context.Background())
		if g.Quarantined() != 1 {
			t.Error("an entry does not list the quarantined request")
		}
		if err := runRequest(g, completion.FingerprintOf("w", "m", []byte("good")), "s", false); err != nil {
			t.Errorf("another prompt: %v", err)
		}
	}
}

// A suspect runs at most once at a time in the whole fleet, its server receives no
// other work from this entry meanwhile, and a run without a loss clears it.
func TestSuspectRunsAlone(t *testing.T) {
	all := newGuards(newSectionLog(), 2)
	f := completion.FingerprintOf("w", "m", []byte("x"))
	if err := runRequest(all[0], f, "a", true); err != nil {
		t.Fatal(err)
	}
	all[1].refresh(context.Background())
	now := time.Time{}
	if err := all[1].Check(now, "w", whole(f)); err != nil {
		t.Fatal(err)
	}
	if e, ok := verdict.As(all[1].Check(now, "w", whole(f))); !ok || e.Code != "request-suspect" {
		t.Errorf("it ran twice concurrently in one entry: %v", e)
	}
	all[1].Started(now, f, "b")
	if !all[1].RequiresIsolation(now, "b") || all[1].RequiresIsolation(now, "a") {
		t.Error("the guard does not isolate exactly the suspect's server")
	}
	if e, ok := verdict.As(all[0].Check(now, "w", whole(f))); !ok || e.Code != "request-suspect" || e.RetryAfter == 0 || e.Verdict != verdict.NotRun {
		t.Errorf("it ran twice concurrently: %v", e)
	}
	all[1].Ended(context.Background(), now, completion.Run{Workspace: "w", Attributes: whole(f), Server: "b", Answered: true})
	all[0].refresh(context.Background())
	if err := runRequest(all[0], f, "c", false); err != nil || all[1].RequiresIsolation(now, "b") {
		t.Errorf("after a run without a loss: %v", err)
	}
}

// Guards against a request that is cleared, and may crash further servers, because a server rejected it or couldn't be
// reached.
func TestSuspectThatDidNotRunStaysASuspect(t *testing.T) {
	all := newGuards(newSectionLog(), 2)
	f := completion.FingerprintOf("w", "m", []byte("x"))
	if err := runRequest(all[0], f, "a", true); err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1_800_000_000, 0)
	if err := all[0].Check(now, "w", whole(f)); err != nil {
		t.Fatal(err)
	}
	all[0].Started(now, f, "b")
	all[0].Ended(t.Context(), now, completion.Run{Workspace: "w", Attributes: whole(f), Server: "b"})
	if err := runRequest(all[0], f, "c", true); err != nil {
		t.Fatal(err)
	}
	all[1].refresh(t.Context())
	if e, ok := verdict.As(all[1].Check(now, "w", whole(f))); !ok || e.Code != "request-quarantined" {
		t.Errorf("two servers were lost under the request, and its check returns %v", e)
	}
}

// Guards against the quarantine of an innocent request because, after one server was lost under it and a culprit, two
// entries try both again at one server.
func TestSuspectsOfTwoEntriesDoNotShareAServer(t *testing.T) {
	all := newGuards(newSectionLog(), 2)
	now := time.Unix(1_800_000_000, 0)
	culprit, innocent := completion.FingerprintOf("w", "m", []byte("crash")), completion.FingerprintOf("v", "m", []byte("good"))
	for i, f := range []completion.Fingerprint{culprit, innocent} {
		if err := runRequest(all[i], f, "a", true); err != nil {
			t.Fatal(err)
		}
		if err := all[i].Check(now, "w", whole(f)); err != nil {
			t.Fatal(err)
		}
	}
	if err := all[0].Recheck(now, "w", whole(culprit), "b"); err != nil {
		t.Fatal(err)
	}
	if e, ok := verdict.As(all[1].Recheck(now, "v", whole(innocent), "b")); !ok || e.Code != "request-suspect" || e.Verdict != verdict.NotRun || e.RetryAfter == 0 {
		t.Errorf("another suspect may run at the same server: %v", e)
	}
	if err := all[1].Recheck(now, "v", whole(innocent), "c"); err != nil {
		t.Errorf("it may not run at a free server: %v", err)
	}
	all[0].Started(now, culprit, "b")
	all[0].Ended(t.Context(), now, completion.Run{Workspace: "w", Attributes: whole(culprit), Server: "b", Lost: true})
	all[1].Started(now, innocent, "c")
	all[1].Ended(t.Context(), now, completion.Run{Workspace: "v", Attributes: whole(innocent), Server: "c", Answered: true})
	for _, g := range all {
		g.refresh(t.Context())
		if g.Quarantined() != 1 || g.Check(now, "v", whole(innocent)) != nil {
			t.Errorf("%d requests in quarantine, want the culprit alone", g.Quarantined())
		}
	}
}

// Guards against the quarantine of a call that many callers send because several servers were lost together, and
// against a call that crashes servers one after the other through several entries.
func TestCallsThatRanTogetherCountOnce(t *testing.T) {
	all := newGuards(newSectionLog(), 2)
	began := time.Unix(1_800_000_000, 0)
	popular := suspicion.FingerprintOf("w", "status GET /", nil)
	first, second := all[0].Calls(), all[1].Calls()
	for i, s := range []string{"a", "b"} {
		first.Started(began, popular, s)
		first.Started(began.Add(time.Duration(i)), popular, s)
	}
	for _, s := range []string{"a", "a", "b", "b"} {
		first.Ended(context.Background(), began.Add(time.Second), popular, s, service.Lost)
	}
	all[0].refresh(context.Background())
	if all[0].Quarantined() != 0 {
		t.Error("servers that were lost together quarantine a call")
	}
	culprit := suspicion.FingerprintOf("w", "status POST /", []byte("x"))
	for i, g := range []service.Guard{first, second} {
		if err := g.Check(began, culprit); err != nil {
			t.Fatal(err)
		}
		g.Started(began, culprit, fmt.Sprint("c", i))
		g.Ended(context.Background(), began, culprit, fmt.Sprint("c", i), service.Lost)
		all[1].refresh(context.Background())
	}
	if e, ok := verdict.As(second.Check(began, culprit)); !ok || e.Code != "request-quarantined" {
		t.Error("a call under which two servers were lost in turn is not quarantined")
	}
}

// An operator lists the quarantined requests of a workspace and clears one.
func TestOperatorListsAndClears(t *testing.T) {
	log := newSectionLog()
	g := newGuards(log, 1)[0]
	f := completion.FingerprintOf("w", "m", []byte("x"))
	g.RecordOwner(f, "w", "m")
	for _, s := range []string{"a", "b"} {
		if err := runRequest(g, f, s, true); err != nil {
			t.Fatal(err)
		}
	}
	a := &actions{log: log}
	list := httptest.NewRecorder()
	if err := a.list(list, httptest.NewRequest(http.MethodGet, "/quarantine?workspace=w", nil), "o"); err != nil || !strings.Contains(list.Body.String(), `"quarantined"`) {
		t.Fatalf("got %s, %v", list.Body, err)
	}
	bad := httptest.NewRequest(http.MethodPost, "/quarantine/clear", strings.NewReader(`{"fingerprint":"x"}`))
	if e, ok := verdict.As(a.clear(httptest.NewRecorder(), bad, "o")); !ok || e.Status != http.StatusBadRequest {
		t.Errorf("got %v", e)
	}
	var l section.Listing
	if err := json.Unmarshal(list.Body.Bytes(), &l); err != nil || len(l.Items) != 1 {
		t.Fatalf("got %+v, %v", l, err)
	}
	body := fmt.Sprintf(`{"fingerprint":%q}`, l.Items[0].Fingerprint)
	if err := a.clear(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/quarantine/clear", strings.NewReader(body)), "o"); err != nil {
		t.Fatal(err)
	}
	g.refresh(context.Background())
	if err := runRequest(g, f, "c", false); err != nil {
		t.Errorf("after the clearance: %v", err)
	}
}
