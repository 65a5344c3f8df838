package salt

import (
	"fmt"
	"strings"
	"testing"

	"hornbeamwood/internal/base/codec/codectest"
	"hornbeamwood/internal/site/document"
)

// siteDocument returns a document of workspaces; those with a trailing exclamation mark are isolated.
func siteDocument(revision int64, workspaces string) document.Document {
	d := document.Document{Revision: revision}
	for _, name := range strings.Fields(workspaces) {
		name, isolated := strings.CutSuffix(name, "!")
		d.Workspaces = append(d.Workspaces, document.Workspace{Name: name, Isolated: isolated})
	}
	return d
}

// Guards against KV cache that a workspace made before it became isolated and that others go on using, and against a
// change that takes away everybody's cache for no reason.
func TestTextChangesWhenAMemberBecomesIsolated(t *testing.T) {
	for name, x := range map[string]struct {
		documents []string
		// texts are the texts after each document.
		texts []string
	}{
		"becomes isolated":                  {[]string{"a b", "a! b", "a! b"}, []string{"", "2", "2"}},
		"isolated from the start":           {[]string{"a! b", "a! b c!"}, []string{"", ""}},
		"let out and isolated again":        {[]string{"a! b", "a b", "a! b", "a b", "a! b"}, []string{"", "", "3", "3", "5"}},
		"removed and back":                  {[]string{"a b", "b", "a! b"}, []string{"", "", "3"}},
		"removed, new text, back":           {[]string{"a b c", "b c", "b c!", "a! b"}, []string{"", "", "3", "3"}},
		"removed while isolated":            {[]string{"a! b", "b", "a! b"}, []string{"", "", ""}},
		"two at once":                       {[]string{"a b c", "a! b! c"}, []string{"", "2"}},
		"one after the other":               {[]string{"a b c", "a! b c", "a! b! c"}, []string{"", "2", "3"}},
		"nothing changes":                   {[]string{"a b", "a b c", "b c", "a b c"}, []string{"", "", "", ""}},
		"no workspaces in between":          {[]string{"a b", "", "a! b"}, []string{"", "", "3"}},
		"one name twice":                    {[]string{"a b", "a a! b"}, []string{"", "2"}},
		"everybody":                         {[]string{"a b", "a! b!", "a b", "a! b!"}, []string{"", "2", "2", "4"}},
		"another one joins after a new one": {[]string{"a b", "a! b", "a! b c", "a! b c!"}, []string{"", "2", "2", "4"}},
	} {
		var s Sharing
		for i, workspaces := range x.documents {
			s = s.WithDocument(siteDocument(int64(i+1), workspaces))
			if s.Text != x.texts[i] {
				t.Errorf("%s: after document %d (%s) the text is %q, want %q", name, i+1, workspaces, s.Text, x.texts[i])
			}
		}
	}
}

// Guards against state that grows with each workspace that has ever been there.
func TestFormerMembersAreBounded(t *testing.T) {
	var s Sharing
	const documents = 3 * maxFormerMembers
	for i := range documents {
		s = s.WithDocument(siteDocument(int64(i+1), fmt.Sprintf("b w-%d", i)))
		if n := len(s.Members); n > maxFormerMembers+2 {
			t.Fatalf("%d members after %d documents", n, i+1)
		}
	}
	if s = s.WithDocument(siteDocument(documents+1, "b w-0!")); s.Text == "" {
		t.Error("the first workspace is isolated, and the others use the text that it has used")
	}
}

// Guards against two salts with one text, under which memory would be shared, and against parts that are never freed because
// their salt can't be read.
func TestSaltsAreToldApart(t *testing.T) {
	names := []string{"m", "a/1", "a", "", "1", "/", "%2F", "alone", "m 2", "é"}
	seen := map[string]Salt{}
	for _, model := range names {
		for _, name := range names {
			for _, s := range []Salt{{Model: model, Version: 1, Isolated: true, Workspace: name}, {Model: model, Version: 1, Shared: name}, {Model: model, Version: 2}} {
				text := s.String()
				if other, ok := seen[text]; ok && other != s {
					t.Errorf("%+v and %+v are both %q", s, other, text)
				}
				seen[text] = s
				if got, ok := Parse(text); model != "" && (!ok || got != s) {
					t.Errorf("%q is read as %+v, want %+v", text, got, s)
				}
				if strings.ContainsAny(text, " \n\x00") {
					t.Errorf("%q isn't a value of a header", text)
				}
			}
		}
		if other, ok := seen[OfAttempt("w", model)]; ok && other.Model != "" {
			t.Errorf("the salt of attempt %q is that of %+v", model, other)
		}
	}
	for _, text := range []string{"", "m", "m/x", "m/1/a/b", "m/1/a/b/c", OfAttempt("w", "1")} {
		if s, ok := Parse(text); ok {
			t.Errorf("%q is read as %+v", text, s)
		}
	}
}

// Guards against a workspace that the newest document doesn't name, or isolates, and that uses what others share.
func TestOnlySharingWorkspacesGetTheSharedSalt(t *testing.T) {
	table := NewTable(siteDocument(7, "a! b c c!"), "5")
	for name, want := range map[string]string{"": "m/1//5", "b": "m/1//5", "a": "m/1/a", "c": "m/1/c", "unknown": "m/1/unknown"} {
		if got := table.Salt("m", 1, name).String(); got != want {
			t.Errorf("%q gets %q, want %q", name, got, want)
		}
	}
}

// Guards against a snapshot that a replica can't read.
func TestSharingIsDecodedToWhatWasEncoded(t *testing.T) {
	codectest.RoundTrip[Sharing](t)
}
