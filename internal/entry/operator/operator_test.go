package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/tomlfile"
)

func TestBootstrapKeyWorksUntilThereAreOperators(t *testing.T) {
	f := newFixtureWithOperators(t)
	expectAnswer(t, f.send("GET", "/settings", "bootstrap-key", "", "", ""), 401, verdict.NotRun, "no-operator")
	w := f.send("GET", "/settings/workspaces/daejeon", "ana-key", "", "", "")
	if w.Code != 200 || w.Header().Get("ETag") != `"1"` || !strings.Contains(w.Body.String(), `"hand-over": {}`) {
		t.Errorf("got %d %s %s", w.Code, w.Header().Get("ETag"), w.Body)
	}
}

func TestEditAndShow(t *testing.T) {
	f := newFixtureWithOperators(t)
	w := f.send("PATCH", "/settings/workspaces/daejeon?wait=in-force", "ana-key", "a-1", `"1"`, `{"share": 3, "deadline": "5s", "services": {"hand-over": {"priority": 9}}}`)
	expectAnswer(t, w, 200, verdict.Ran, `"outcome": "accepted"`, `"revision": 2`, `"in-force": true`)
	expectAnswer(t, f.send("PATCH", "/settings/workspaces/daejeon", "ben-key", "b-1", `"2"`, `{"share": null}`), 200, verdict.Ran, `"revision": 3`)
	expectAnswer(t, f.send("DELETE", "/settings/workspaces/daejeon?key=deadline", "ben-key", "b-2", `"3"`, ""), 200, verdict.Ran, `"revision": 4`)
	for target, want := range map[string]string{
		"/settings-explain/workspaces/daejeon/services/hand-over?key=priority": `"from": "/workspaces/daejeon/services/hand-over"`,
		"/settings-explain/workspaces/daejeon?key=share":                       `"value": 1`,
		"/settings-history?limit=1":                                            `"edit-id": "b-2"`,
		"/settings-history":                                                    `"operator": "bootstrap"`,
		"/settings-diff?from=1":                                                `"key": "priority"`,
	} {
		w := f.send("GET", target, "ana-key", "", "", "")
		if w.Code != 200 || w.Header().Get("ETag") != `"4"` || !strings.Contains(w.Body.String(), want) {
			t.Errorf("%s: %d %s, want %s", target, w.Code, w.Body, want)
		}
	}
	expectAnswer(t, f.send("DELETE", "/settings/workspaces/daejeon", "ana-key", "a-2", `"4"`, ""), 200, verdict.Ran)
	expectAnswer(t, f.send("GET", "/settings/workspaces/daejeon", "ana-key", "", "", ""), 404, verdict.NotRun, "no-branch")
}

// Two operators concurrently send edits against the same revision. One edit is
// accepted; the response to the other names the winning edit and its operator, so
// that it can be reviewed before another edit.
func TestConcurrentEditsOfOneRevision(t *testing.T) {
	f := newFixtureWithOperators(t)
	codes := make([]int, 8)
	bodies := make([]string, len(codes))
	var wg sync.WaitGroup
	for i := range codes {
		wg.Go(func() {
			key := []string{"ana-key", "ben-key"}[i%2]
			w := f.send("PATCH", "/settings/workspaces/daejeon", key, fmt.Sprint("e-", i), `"1"`, fmt.Sprintf(`{"priority": %d}`, i+1))
			codes[i], bodies[i] = w.Code, w.Body.String()
		})
	}
	wg.Wait()
	won, lost := 0, 0
	for i, c := range codes {
		switch c {
		case http.StatusOK:
			won++
		case http.StatusPreconditionFailed:
			lost++
			if !strings.Contains(bodies[i], `"code": "conflict"`) || !strings.Contains(bodies[i], `"set /workspaces/daejeon priority to `) {
				t.Errorf("the conflict does not show the winner: %s", bodies[i])
			}
		}
	}
	if won != 1 || lost != len(codes)-1 {
		t.Errorf("%d won, %d lost: %v", won, lost, codes)
	}
}

// The log accepts an edit, but its answer is lost. The response reports an unknown
// outcome, and a resend of the same edit returns the original outcome, even after
// another operator has edited and through an entry that has applied that edit.
// Nothing is applied twice.
func TestUnknownOutcomeIsResolvedByTheSameEditID(t *testing.T) {
	f := newFixtureWithOperators(t)
	edit := func() int {
		return f.send("PATCH", "/settings/workspaces/daejeon", "ana-key", "a-1", `"1"`, `{"priority": 3}`).Code
	}
	f.log.loseAnswers = true
	w := f.send("PATCH", "/settings/workspaces/daejeon", "ana-key", "a-1", `"1"`, `{"priority": 3}`)
	expectAnswer(t, w, 504, verdict.MayHaveRun, "outcome-unknown", "same edit id")
	if w.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	f.log.loseAnswers = false
	f.syncCopy()
	expectAnswer(t, f.send("PATCH", "/settings/workspaces/daejeon", "ben-key", "b-1", `"2"`, `{"priority": 8}`), 200, verdict.Ran)
	f.syncCopy()
	w = f.send("PATCH", "/settings/workspaces/daejeon", "ana-key", "a-1", `"1"`, `{"priority": 3}`)
	expectAnswer(t, w, 200, verdict.Ran, `"revision": 2`, `"repeated": true`)
	if c := edit(); c != 200 {
		t.Errorf("second resend: %d", c)
	}
	expectAnswer(t, f.send("PATCH", "/settings/workspaces/daejeon", "ana-key", "a-1", `"1"`, `{"priority": 4}`), 422, verdict.NotRun, "edit-id-reused")
	w = f.send("GET", "/settings/workspaces/daejeon", "ana-key", "", "", "")
	if !strings.Contains(w.Body.String(), `"priority": 8`) {
		t.Errorf("the resend undid the later edit: %s", w.Body)
	}
}

// An invalid request must leave the tree unchanged, have the verdict not-run and
// name the problem, so that the operator knows whether to resend it.
func TestBadRequestsChangeNothing(t *testing.T) {
	f := newFixtureWithOperators(t)
	for i, c := range []struct {
		method, target, key, id, base, body string
		status                              int
		want                                string
	}{
		{"PATCH", "/settings", "ana-key", "x", "", "priority = 1", 428, "If-Match"},
		{"PATCH", "/settings", "ana-key", "", `"1"`, "priority = 1", 400, "no-edit-id"},
		{"PATCH", "/settings", "ana-key", "a b", `"1"`, "priority = 1", 400, "edit-id"},
		{"PATCH", "/settings", "ana-key", "x", `*`, "priority = 1", 400, "as an ETag gave it"},
		{"PATCH", "/settings", "ana-key", "x", `"1`, "priority = 1", 400, "as an ETag gave it"},
		{"PATCH", "/settings", "ana-key", "x", `W/"1"`, "priority = 1", 400, "as an ETag gave it"},
		{"PATCH", "/settings", "", "x", `"1"`, "priority = 1", 401, "no-operator"},
		{"PATCH", "/settings", "eve-key", "x", `"1"`, "priority = 1", 401, "no-operator"},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, "priorty = 1", 422, "the nearest known key is priority"},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, "\npriority = \"1\"", 422, `"line": 2`},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, "priority = ", 422, `"line": 1`},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, `{"priority": 1}}`, 422, "not one JSON object"},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, `{"priority": 1.5}`, 422, "a whole number is expected"},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, strings.Repeat("#", 5000), 413, "4096 bytes at most"},
		{"PATCH", "/settings/workspaces/daejon", "ana-key", "x", `"1"`, "priority = 1", 422, "the nearest one is named daejeon"},
		{"PATCH", "/settings/workspace/daejeon", "ana-key", "x", `"1"`, "priority = 1", 404, "the nearest known key is workspaces"},
		{"PUT", "/settings/workspaces/daejeon/models/bulletn", "ana-key", "x", `"1"`, "", 422, "the nearest one is bulletin"},
		{"PATCH", "/settings", "ana-key", "x", `"1"`, "piece-tokens = 100000", 422, "/models/bulletin piece-tokens"},
		{"PATCH", "/settings", "ana-key", "x", `"9"`, "priority = 1", 422, "there is no revision 9 yet"},
		{"PATCH", "/settings", "ana-key", "x", `"0"`, "priority = 1", 412, `"operator": "bootstrap"`},
		{"PATCH", "/settings?wait=now", "ana-key", "x", `"1"`, "priority = 1", 400, "in-force only"},
		{"DELETE", "/settings", "ana-key", "x", `"1"`, "", 422, "the root can't be removed"},
		{"DELETE", "/settings?key=priorty", "ana-key", "x", `"1"`, "", 422, "the nearest known key is priority"},
		{"GET", "/settings-history?limit=many", "ana-key", "", "", "", 400, "whole number"},
		{"GET", "/settings-diff?from=7", "ana-key", "", "", "", 404, "no-history"},
		{"GET", "/settings-explain/fleet?key=deadline", "ana-key", "", "", "", 404, "is not set on a branch /fleet"},
		{"PATCH", "/settings", "caller-key", "x", `"1"`, "priority = 1", 401, "no-operator"},
	} {
		if c.id == "x" {
			c.id = fmt.Sprint("x-", i)
		}
		t.Run(c.method+c.target+c.want, func(t *testing.T) {
			expectAnswer(t, f.send(c.method, c.target, c.key, c.id, c.base, c.body), c.status, verdict.NotRun, c.want)
		})
	}
	w := f.send("GET", "/settings", "ana-key", "", "", "")
	if w.Header().Get("ETag") != `"1"` {
		t.Errorf("the revision is %s", w.Header().Get("ETag"))
	}
}

// A file of another program is sent by mistake, with a problem on each line. The
// response lists the first problems and the number of the others.
func TestManyProblemsAreTruncated(t *testing.T) {
	f := newFixtureWithOperators(t)
	var body strings.Builder
	for i := range 100 {
		fmt.Fprintf(&body, "x%d = 1\n", i)
	}
	w := f.send("PATCH", "/settings", "ana-key", "x", `"1"`, body.String())
	if n := strings.Count(w.Body.String(), `"line"`); n != tomlfile.MaxShown {
		t.Errorf("%d problems are shown", n)
	}
	expectAnswer(t, w, 422, verdict.NotRun, "and 68 more")
}

func TestMediaTypes(t *testing.T) {
	f := newFixtureWithOperators(t)
	r := httptest.NewRequest("PUT", "/settings", strings.NewReader("priority=1"))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("Authorization", "Bearer ana-key")
	r.Header.Set("Idempotency-Key", "x")
	r.Header.Set("If-Match", `"1"`)
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	expectAnswer(t, w, 415, verdict.NotRun, "application/toml or application/json")

	r = httptest.NewRequest("GET", "/settings", nil)
	r.Header.Set("Authorization", "Bearer ana-key")
	r.Header.Set("Accept", "application/toml")
	w = httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	if got := w.Header().Get("Content-Type"); got != mediaTOML || !strings.Contains(w.Body.String(), "[models.bulletin]") {
		t.Errorf("got %s %s", got, w.Body)
	}
}

// A partitioned entry may still hold the key of an operator who was removed.
// Without its lease it refuses all operators, with the verdict not-run.
func TestOperatorsAreRefusedWithoutLease(t *testing.T) {
	f := newFixtureWithOperators(t)
	f.lease.err = verdict.New(verdict.NotRun, 503, "no-lease", "the settings may be out of date").WithRetryAfter(time.Second)
	w := f.send("PATCH", "/settings", "ana-key", "x", `"1"`, "priority = 1")
	expectAnswer(t, w, 503, verdict.NotRun, "no-lease")
	if w.Header().Get("Retry-After") != "1" || f.log.proposed != 1 {
		t.Errorf("Retry-After %q, %d proposals", w.Header().Get("Retry-After"), f.log.proposed)
	}
}

func TestWithoutQuorum(t *testing.T) {
	f := newFixtureWithOperators(t)
	f.log.failure = verdict.New(verdict.NotRun, 503, "no-quorum", "no quorum answers")
	expectAnswer(t, f.send("PATCH", "/settings", "ana-key", "x", `"1"`, "priority = 1"), 503, verdict.NotRun, "no-quorum")
	expectAnswer(t, f.send("GET", "/settings", "ana-key", "", "", ""), 503, verdict.NotRun, "no-quorum")
	f.log.failure = context.DeadlineExceeded
	expectAnswer(t, f.send("PATCH", "/settings", "ana-key", "x", `"1"`, "priority = 1"), 504, verdict.MayHaveRun, "outcome-unknown")
	expectAnswer(t, f.send("GET", "/settings", "ana-key", "", "", ""), 503, verdict.NotRun, "no-answer")
}

// The response to an accepted edit that is not in force everywhere when the wait
// ends must report neither a failure nor that it is in force.
func TestAcceptedButNotYetInForce(t *testing.T) {
	f := newFixtureWithOperators(t)
	f.inForce.err = context.DeadlineExceeded
	w := f.send("PATCH", "/settings?wait=in-force", "ana-key", "x", `"1"`, "priority = 1")
	expectAnswer(t, w, 202, verdict.Ran, `"outcome": "accepted"`, `"in-force": false`)
}

func FuzzEdit(f *testing.F) {
	f.Add("PATCH", "workspaces/daejeon", "priority = 3")
	f.Add("PUT", "workspaces/x", `{"models": {"bulletin": {}}}`)
	f.Add("DELETE", "models/bulletin", "")
	f.Add("PATCH", "", "[workspaces.a.models.b]\nshare = nan")
	f.Fuzz(func(t *testing.T, method, path, body string) {
		entry := newFixtureWithOperators(t)
		if method != "PUT" && method != "PATCH" && method != "DELETE" {
			return
		}
		for i := range len(path) {
			if path[i] <= ' ' || path[i] > '~' || strings.ContainsRune("%?#", rune(path[i])) {
				return
			}
		}
		w := entry.send(method, "/settings/"+path, "ana-key", "x", `"1"`, body)
		if w.Code >= 500 {
			t.Fatalf("%s %s %q: %d %s", method, path, body, w.Code, w.Body)
		}
	})
}
