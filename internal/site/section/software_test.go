package section

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against versions of servers' software that are forgotten with the processes, or without an end.
func TestSoftwareIsRecorded(t *testing.T) {
	s := New(Config{})
	apply(t, s, Command{AddSoftware: &Software{Service: "a", Version: "v1"}})
	apply(t, s, Command{AddSoftware: &Software{Service: "a", Version: "v2"}})
	if r := apply(t, s, Command{AddSoftware: &Software{Service: "a", Version: "v2"}}); !r.Accepted || r.Changed {
		t.Errorf("a known version: %+v", r)
	}
	if r := apply(t, s, Command{AddSoftware: &Software{Version: "v1"}}); r.Accepted {
		t.Errorf("no service: %+v", r)
	}
	apply(t, s, Command{AddSoftware: &Software{Service: "c"}})
	if got := s.Software()["c"]; !slices.Equal(got, []string{""}) {
		t.Errorf("servers without a version: %q are recorded", got)
	}
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(Config{})
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	if got := restored.Software()["a"]; !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("restored %v", got)
	}
	apply(t, restored, Command{RemoveSoftware: &Software{Service: "a", Version: "v1"}})
	if got := restored.Software()["a"]; !slices.Equal(got, []string{"v2"}) {
		t.Errorf("%v remain", got)
	}
	for i := range 2 * MaxSoftware {
		apply(t, restored, Command{AddSoftware: &Software{Service: "b", Version: fmt.Sprint(i)}})
	}
	if got := len(restored.Software()["b"]); got != MaxSoftware {
		t.Errorf("%d versions are recorded", got)
	}
}
