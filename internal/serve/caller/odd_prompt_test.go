package caller

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/serve/choose"
	"hornbeamwood/internal/serve/observe"
	"hornbeamwood/internal/serve/request"
	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/parts"
)

// Guards against a prompt that reaches servers although the entry can't tell which parts it has, and against the refusal
// of a request to a route without prompts.
func TestUnreadablePromptIsRefused(t *testing.T) {
	f := newFixture(t, answerOK("first"))
	odd := map[string]string{"A-Unreadable": "the counts"}
	if g := f.requestWith(t, "r1", http.MethodPost, "/prompt/x", odd); g.status != http.StatusBadRequest || g.body != "malformed-prompt: the counts\n" {
		t.Errorf("got %+v", g)
	}
	if n := f.servers[0].count(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	if g := f.requestWith(t, "r2", http.MethodGet, "/read/x", odd); g.status != http.StatusOK || g.body != "first" {
		t.Errorf("got %+v", g)
	}
}

// storingSite has a store that holds, and takes, each part.
type storingSite struct {
	*fakeSite
	reported []string
}

// Copies implements Site.
func (s *storingSite) Copies(string, string, int) []choose.Copy {
	return []choose.Copy{{Address: "store"}}
}

// SaveTarget implements Site.
func (s *storingSite) SaveTarget(_, id string, _ int) string { return "store-" + id }

// FetchDeadline implements Site.
func (s *storingSite) FetchDeadline() int64 { return 0 }

// ReportPrefill implements Site.
func (s *storingSite) ReportPrefill(_, id string, _ int, _ string) {
	s.reported = append(s.reported, id)
}

// Guards against a part that a store keeps for ever, or another part that is fetched or freed in its place, because
// stores know it under another ID than the entry does.
func TestOpaquePartIsNeitherSavedNorFetched(t *testing.T) {
	s := &storingSite{fakeSite: &fakeSite{}}
	j := &job{gateway: &gateway{Config: Config{Site: s, Residency: parts.NewResidency(), Tracker: observe.New(), PeerLoads: share.NewPeerLoads("e")}}, request: request.Request{Prompt: &request.Prompt{Parts: []request.Part{
		{ID: "5c", Tokens: 2000}, {ID: "digest", Tokens: 2000, Opaque: true}, {ID: "9", Tokens: 2000}, {ID: "own", Tokens: 40},
	}}}}
	e := document.Engine{CapacityTokens: 90_000}
	var copies []int
	for _, p := range j.parts("salt", e, time.Now()) {
		copies = append(copies, len(p.Copies))
	}
	d := request.Dispatch{Salt: "salt"}
	j.prepare(&d, 1, time.Now())
	j.recordParts(directory.Server{ID: "i-1"}, "salt", e, "rrrr", time.Now())
	if !slices.Equal(copies, []int{1, 0, 1, 0}) || !slices.Equal(d.Save, []string{"store-5c", "", "store-9", ""}) || !slices.Equal(s.reported, []string{"5c", "9"}) {
		t.Errorf("copies %v, saved to %q, reported %q", copies, d.Save, s.reported)
	}
}
