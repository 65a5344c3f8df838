package backend

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/cache/events"
	"hornbeamwood/internal/fleet/membership"
)

const validKey = "announce-key"

// recorder records what the handler passes on.
type recorder struct {
	leaving []string
	reports []events.Report
	wanted  bool
}

func (rec *recorder) PushLeaving(identity string) {
	rec.leaving = append(rec.leaving, identity)
}

func (rec *recorder) Report(_ time.Time, r events.Report) bool {
	rec.reports = append(rec.reports, r)
	return rec.wanted
}

func newTestHandler(t testing.TB, rec *recorder) (http.Handler, membership.Table) {
	t.Helper()
	table := membership.New(membership.Config{Servers: 3})
	h, err := NewHandler(HandlerConfig{
		Table:         table,
		LeaveNotifier: rec,
		CacheReports:  rec,
		KeyDigests:    func() [][32]byte { return [][32]byte{sha256.Sum256([]byte("old")), sha256.Sum256([]byte(validKey))} },
		Now:           func() time.Time { return time.Unix(1000, 0) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return h, table
}

func post(h http.Handler, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const validAnnouncement = `{"identity":"engine-1","incarnation":5,"sequence":1,"zone":"tunja","address":"10.0.0.1:8000","kind":"engine","state":"ready",
"holdings":[{"model":"drafter","weight-version":"v1"}],"load":{"sequence":1,"prefill-rate":9000.5}}`

func TestAnnouncements(t *testing.T) {
	rec := &recorder{}
	h, table := newTestHandler(t, rec)
	if w := post(h, "/fleet/announcements", validKey, validAnnouncement); w.Code != 200 || !strings.Contains(w.Body.String(), "accepted") {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
	if w := post(h, "/fleet/announcements", validKey, validAnnouncement); !strings.Contains(w.Body.String(), "duplicate") {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	leaving := strings.NewReplacer(`"sequence":1,"zone"`, `"sequence":2,"zone"`, "ready", "leaving").Replace(validAnnouncement)
	if w := post(h, "/fleet/announcements", validKey, leaving); w.Code != 200 {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	if len(rec.leaving) != 1 || rec.leaving[0] != "engine-1" {
		t.Errorf("leaving servers: %v, want engine-1", rec.leaving)
	}
	view := table.View()
	server, ok := view.Server("engine-1")
	if !ok {
		t.Fatal("the server is missing from the table")
	}
	if got := server.Eligible(time.Unix(1000, 0), membership.Need{Kind: "engine", Model: "drafter", WeightVersion: "v1"}); got != membership.IsLeaving {
		t.Errorf("got %s", got)
	}
}

// A faulty or malicious backend server sends announcements that the specification
// forbids. The response must name the field, and the announcement must have no effect.
func TestAnnouncementsThatAreRefused(t *testing.T) {
	change := func(from, to string) string { return strings.Replace(validAnnouncement, from, to, 1) }
	cases := []struct {
		name, key, body, want string
		status                int
	}{
		{"no key", "", validAnnouncement, "unknown-key", 401},
		{"unknown key", "other", validAnnouncement, "unknown-key", 401},
		{"not JSON", validKey, "identity=engine-1", "bad-body", 400},
		{"cut off", validKey, validAnnouncement[:40], "bad-body", 400},
		{"field twice", validKey, change(`"kind"`, `"state":"leaving","kind"`), "stands twice", 400},
		{"field twice in other case", validKey, change(`"kind"`, `"STATE":"leaving","kind"`), "stands twice", 400},
		{"bytes after it", validKey, validAnnouncement + "{}", "after its JSON value", 400},
		{"nested deeply", validKey, change(`[{`, strings.Repeat("[", 100)+"{"), "nested", 400},
		{"too large", validKey, validAnnouncement + strings.Repeat(" ", MaxAnnouncement), "too-large", 413},
		{"no identity", validKey, change("engine-1", ""), "identity", 400},
		{"identity with a slash", validKey, change("engine-1", "engine/1"), "identity", 400},
		{"no incarnation", validKey, change(`"incarnation":5`, `"incarnation":0`), "incarnation", 400},
		{"negative sequence", validKey, change(`"sequence":1`, `"sequence":-1`), "bad-body", 400},
		{"host name", validKey, change("10.0.0.1", "localhost"), "address", 400},
		{"every address", validKey, change("10.0.0.1", "0.0.0.0"), "address", 400},
		{"unknown kind", validKey, change(`"kind":"engine"`, `"kind":"proxy"`), "kind", 400},
		{"unknown state", validKey, change("ready", "busy"), "state", 400},
		{"rate below zero", validKey, change("9000.5", "-1"), "prefill-rate", 400},
		{"too many holdings", validKey, change(`{"model"`, strings.Repeat(`{"model":"m","weight-version":"v"},`, 32)+`{"model"`), "holdings", 400},
	}
	for _, c := range cases {
		h, table := newTestHandler(t, &recorder{})
		w := post(h, "/fleet/announcements", c.key, c.body)
		if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
			t.Errorf("%s: got %d %s", c.name, w.Code, w.Body)
		}
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Error.Code == "" {
			t.Errorf("%s: the refusal is not an error object: %v", c.name, err)
		}
		if view := table.View(); view.Len() != 0 {
			t.Errorf("%s: the server was added to the table", c.name)
		}
	}
}

// Two servers are configured with the same identity or the same address. Without
// the check, requests for one would reach the other.
func TestConflictingAnnouncements(t *testing.T) {
	h, _ := newTestHandler(t, &recorder{})
	post(h, "/fleet/announcements", validKey, validAnnouncement)
	other := strings.Replace(validAnnouncement, "10.0.0.1", "10.0.0.2", 1)
	if w := post(h, "/fleet/announcements", validKey, other); w.Code != 409 || !strings.Contains(w.Body.String(), "identity-conflict") {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	other = strings.Replace(validAnnouncement, "engine-1", "engine-2", 1)
	if w := post(h, "/fleet/announcements", validKey, other); w.Code != 409 || !strings.Contains(w.Body.String(), "address-conflict") {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
	for _, n := range []string{"3", "4"} {
		post(h, "/fleet/announcements", validKey, strings.NewReplacer("engine-1", "engine-"+n, "10.0.0.1", "10.0.0."+n).Replace(validAnnouncement))
	}
	other = strings.NewReplacer("engine-1", "engine-5", "10.0.0.1", "10.0.0.5").Replace(validAnnouncement)
	if w := post(h, "/fleet/announcements", validKey, other); w.Code != 507 {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
}

func TestCacheEvents(t *testing.T) {
	rec := &recorder{wanted: true}
	h, _ := newTestHandler(t, rec)
	key := strings.Repeat("0a", 32)
	body := `{"identity":"engine-1","incarnation":5,"first":1,"events":[{"kind":"inserted","key":"` + key + `"}]}`
	if w := post(h, "/fleet/cache-events", validKey, body); w.Code != 200 || !strings.Contains(w.Body.String(), `"listing-wanted":true`) {
		t.Fatalf("got %d %s", w.Code, w.Body)
	}
	if len(rec.reports) != 1 || rec.reports[0].Events[0].Key.String() != key {
		t.Errorf("passed on: %v", rec.reports)
	}
	bad := map[string]string{
		"no first":          strings.Replace(body, `"first":1,`, "", 1),
		"unknown kind":      strings.Replace(body, "inserted", "moved", 1),
		"short key":         strings.Replace(body, key, key[2:], 1),
		"listing and first": strings.Replace(body, `"events"`, `"listing":{"sequence":1,"part":1,"parts":1,"keys":[]},"events"`, 1),
		"part above parts":  `{"identity":"engine-1","incarnation":5,"listing":{"sequence":1,"part":2,"parts":1,"keys":[]}}`,
	}
	for name, text := range bad {
		if w := post(h, "/fleet/cache-events", validKey, text); w.Code != 400 {
			t.Errorf("%s: got %d %s", name, w.Code, w.Body)
		}
	}
	if len(rec.reports) != 1 {
		t.Errorf("%d reports were passed on", len(rec.reports))
	}
}
