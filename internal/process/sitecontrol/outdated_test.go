package sitecontrol

import (
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/salt"
	"hornbeamwood/internal/site/section"
	"hornbeamwood/internal/site/stores"
)

// Guards against stores that keep the parts under a text that no request uses any more, and against the loss of parts
// that are of use.
func TestPartsOfAnEarlierSharedTextAreWithdrawn(t *testing.T) {
	p := &process{section: section.New(section.Config{})}
	for i, isolated := range []bool{false, true} {
		d := document.Document{Revision: int64(i + 4), Workspaces: []document.Workspace{{Name: "w", Isolated: isolated}, {Name: "v"}}}
		active, _ := p.section.Active()
		c, err := section.NewPutChunks(d, []byte("x"), active)
		if err != nil {
			t.Fatal(err)
		}
		b, err := codec.Marshal(section.Command{PutChunks: &c})
		if err != nil {
			t.Fatal(err)
		}
		p.section.Apply(time.Time{}, b)
	}
	outdated := (&storeFollower{process: p}).outdated()
	for s, want := range map[salt.Salt]bool{
		{Model: "m", Version: 1}:                                 true,
		{Model: "m", Version: 1, Shared: "4"}:                    true,
		{Model: "m", Version: 1, Shared: "5"}:                    false,
		{Model: "m", Version: 1, Shared: "6"}:                    false,
		{Model: "m", Version: 1, Isolated: true, Workspace: "w"}: false,
	} {
		if got := outdated(stores.Part{Salt: s.String(), ID: "p"}); got != want {
			t.Errorf("%q is outdated: %v, want %v", s, got, want)
		}
	}
	if outdated(stores.Part{Salt: salt.OfAttempt("w", "a"), ID: "p"}) {
		t.Error("a part of one attempt is withdrawn as an earlier text")
	}
}
