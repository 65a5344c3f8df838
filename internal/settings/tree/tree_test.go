package tree

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"hornbeamwood/internal/settings/digest"
	"hornbeamwood/internal/settings/rules"
)

func load(t testing.TB) Tree {
	t.Helper()
	b, err := os.ReadFile("testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := ParseTOML(RootPath, "small.toml", b)
	if err != nil {
		t.Fatal(err)
	}
	next, _, err := Tree{}.Edit([]Change{s.Replace()})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestBuild(t *testing.T) {
	s := load(t).Build(7)
	w := s.Workspaces["plant-tunja"]
	stamp := w.Services["issue-stamp"]
	draft := w.Models["dossier-draft"]
	if s.Revision != 7 || s.Fleet.SettingsLease != 5*time.Second || len(s.Operators["ana"]) != 1 {
		t.Errorf("got %+v", s)
	}
	if !stamp.NonIdempotent || stamp.Priority != 9 || stamp.Deadline != 20*time.Second || stamp.Share != 4 {
		t.Errorf("got %+v", stamp)
	}
	if draft.Deadline != 90*time.Minute || draft.Priority != 0 || draft.Share != 4 {
		t.Errorf("got %+v", draft)
	}
	if m := s.Models["dossier-draft"]; m.ContextTokens != 65536 || m.PieceTokens != 4096 {
		t.Errorf("got %+v", m)
	}
}

func TestExplainNamesTheBranch(t *testing.T) {
	want := map[string]Path{"priority": "/workspaces/plant-tunja/services/issue-stamp", "share": "/workspaces/plant-tunja", "deadline": "/", "worth": "", "non-idempotent": "/services/issue-stamp"}
	for _, e := range load(t).Explain("/workspaces/plant-tunja/services/issue-stamp") {
		if from, ok := want[e.Setting.Name]; ok && from != e.From {
			t.Errorf("%s: got %q, want %q", e.Setting.Name, e.From, from)
		}
		delete(want, e.Setting.Name)
	}
	if len(want) > 0 {
		t.Errorf("not explained: %v", want)
	}
}

func TestTextRoundTrip(t *testing.T) {
	a := load(t)
	for _, p := range a.Paths(RootPath) {
		text, err := FormatTOML(p, a.Branches(p))
		if err != nil {
			t.Fatal(err)
		}
		s, err := ParseTOML(p, "", text)
		if err != nil {
			t.Fatalf("%s: %v\n%s", p, err, text)
		}
		_, effects, err := a.Edit([]Change{s.Replace()})
		if err != nil || len(effects) != 0 {
			t.Errorf("%s as TOML: %v, %v", p, effects, err)
		}
		text, err = FormatJSON(p, a.Branches(p))
		if err != nil {
			t.Fatal(err)
		}
		s, err = ParseJSON(p, text)
		if err != nil {
			t.Fatalf("%s: %v\n%s", p, err, text)
		}
		if _, effects, err = a.Edit([]Change{s.Replace()}); err != nil || len(effects) != 0 {
			t.Errorf("%s as JSON: %v, %v", p, effects, err)
		}
	}
}

// A setting that is copied to no field of the rules would be accepted and shown
// to operators without any effect. A field without a setting would have a value
// that no operator can see.
func TestEachSettingIsCopiedToOneField(t *testing.T) {
	reached := map[string]bool{}
	for _, s := range schema {
		v := otherValue(s.Default)
		fields := 0
		fields += countChanged(t, s.Name, s.rule, v, reached)
		fields += countChanged(t, s.Name, s.fleet, v, reached)
		fields += countChanged(t, s.Name, s.model, v, reached)
		fields += countChanged(t, s.Name, s.workspace, v, reached)
		if fields != 1 {
			t.Errorf("%s is copied to %d fields", s.Name, fields)
		}
	}
	for _, r := range []reflect.Type{reflect.TypeFor[rules.Rules](), reflect.TypeFor[rules.Fleet](), reflect.TypeFor[rules.Model](), reflect.TypeFor[rules.Workspace]()} {
		for i := range r.NumField() {
			name := r.Name() + "." + r.Field(i).Name
			structural := name == "Model.Name" || name == "Workspace.Name" || name == "Workspace.Models" || name == "Workspace.Services"
			if !structural && !reached[name] {
				t.Errorf("no setting is copied to %s", name)
			}
		}
	}
}

func otherValue(v Value) Value {
	return Value{Type: v.Type, Number: 1, Float: 0.5, Text: "other", Digests: []digest.Digest{{1}}}
}

// countChanged returns the number of fields that set changes and adds their names to reached.
func countChanged[T any](t *testing.T, name string, set func(*T, Value), v Value, reached map[string]bool) int {
	t.Helper()
	if set == nil {
		return 0
	}
	var before, after T
	set(&before, Value{Type: v.Type})
	set(&after, v)
	count := 0
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			reached[a.Type().Name()+"."+a.Type().Field(i).Name] = true
			count++
		}
	}
	if count == 0 {
		t.Errorf("%s changes nothing", name)
	}
	return count
}

// A mistyped setting or a value of the wrong type that was accepted silently
// would make the tree differ from the rules that run. The error must name the
// line, the key and the nearest known key.
func TestProblemsNameLineKeyAndNearest(t *testing.T) {
	b, err := os.ReadFile("testdata/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"mistyped key":          {"deadline = \"20s\"", "dedline = \"20s\"", "s.toml:2: / dedline: unknown key; the nearest known key is deadline"},
		"mistyped table":        {"[fleet]", "[flete]", "s.toml:5: / flete: unknown key; the nearest known key is fleet"},
		"mistyped key below":    {"priority = 9", "priorty = 9", "s.toml:26: /workspaces/plant-tunja/services/issue-stamp priorty: unknown key; the nearest known key is priority"},
		"wrong type":            {"share = 4", "share = \"4\"", "s.toml:20: /workspaces/plant-tunja share: a number is expected"},
		"no unit":               {"\"20s\"", "20", "s.toml:2: / deadline: a duration like \"4s\" is expected, not 20"},
		"out of bounds":         {"\"5s\"", "\"1h\"", `s.toml:6: /fleet settings-lease: "1h" is out of bounds; at least "2s" and at most "15s"`},
		"wrong branch":          {"share = 4", "weight-version = \"4\"", "s.toml:20: /workspaces/plant-tunja weight-version: is not set on a branch /workspaces/{workspace} but on /models/{model}"},
		"bad name":              {"[operators.ana]", "[operators.\"Ana B\"]", "s.toml:15: / operators: name \"Ana B\""},
		"no TOML":               {"[fleet]", "[fleet", "s.toml:5:"},
		"twice":                 {"share = 4", "share = 4\nshare = 5", "s.toml:21:"},
		"list of wrong digests": {"sha256:11", "sha256:zz", "s.toml:19: /workspaces/plant-tunja key-digests: a key digest is hexadecimal"},
	} {
		text := strings.Replace(string(b), c.old, c.new, 1)
		if text == string(b) {
			t.Fatalf("%s: nothing replaced", name)
		}
		_, err := ParseTOML(RootPath, "s.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", name, err, c.want)
		}
	}
}
