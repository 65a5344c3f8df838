package tree

import (
	"os"
	"testing"
)

// No text that an operator sends may end the process. An accepted text must give
// the same tree again after formatting and parsing.
func FuzzParseTOML(f *testing.F) {
	b, err := os.ReadFile("testdata/small.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("fleet = 3"))
	f.Add([]byte("workspaces = {a = {models = {b = {priority = 3}}}}"))
	f.Add([]byte("[workspaces.a]\nshare = inf\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := ParseTOML(RootPath, "f", b)
		if err != nil {
			return
		}
		next, _, err := Tree{}.Edit([]Change{s.Replace()})
		if err != nil {
			return
		}
		text, err := FormatTOML(RootPath, next.Branches(RootPath))
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseTOML(RootPath, "f", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if _, effects, err := next.Edit([]Change{again.Replace()}); err != nil || len(effects) > 0 {
			t.Fatalf("%v, %v\n%s", effects, err, text)
		}
	})
}

func FuzzParsePath(f *testing.F) {
	f.Add("/workspaces/a/models/b")
	f.Add("//")
	f.Add("/fleet/")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := ParsePath(text)
		if err != nil {
			return
		}
		again, err := ParsePath(string(p))
		if err != nil || again != p {
			t.Fatalf("%q gave %q, then %q, %v", text, p, again, err)
		}
		if parent, ok := p.Parent(); ok && len(parent) >= len(p) {
			t.Fatalf("%q is below %q", p, parent)
		}
	})
}
