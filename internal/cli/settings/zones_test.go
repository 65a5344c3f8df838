package settings

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

// Guards against an evacuation that undoes another operator's, and against a zone that is
// evacuated twice and ended once.
func TestZonesAreEvacuatedOneByOne(t *testing.T) {
	_, c := newFakeEntry(t)
	c.EditID = ""
	run := func(call func(context.Context, Config, io.Writer) error, zone string) string {
		t.Helper()
		var out bytes.Buffer
		x := c
		x.Value = zone
		if err := call(t.Context(), x, &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	if got := run(ShowEvacuations, ""); got != "no availability zone is evacuated\n" {
		t.Errorf("at first: %q", got)
	}
	run(StartEvacuation, "tunja")
	run(StartEvacuation, "norte")
	if got := run(StartEvacuation, "tunja"); got != "nothing to change\n" {
		t.Errorf("a repeated start: %q", got)
	}
	got := run(ShowEvacuations, "")
	if !strings.HasPrefix(got, "evacuated: norte\nevacuated: tunja\n") || strings.Count(got, " by ana in revision ") != 2 {
		t.Errorf("two zones: %q", got)
	}
	run(EndEvacuation, "norte")
	if got := run(ShowEvacuations, ""); !strings.HasPrefix(got, "evacuated: tunja\n") {
		t.Errorf("after an end: %q", got)
	}
	for _, zone := range []string{"", "a b"} {
		x := c
		x.Value = zone
		if err := StartEvacuation(t.Context(), x, io.Discard); err == nil {
			t.Errorf("zone %q was accepted", zone)
		}
	}
}
