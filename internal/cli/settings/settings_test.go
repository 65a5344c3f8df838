package settings

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hornbeamwood/internal/settings/tomlfile"
)

func TestCommands(t *testing.T) {
	_, c := newFakeEntry(t)
	var out bytes.Buffer
	run := func(title string, command func(context.Context, Config, io.Writer) error, c Config) {
		t.Helper()
		out.WriteString("$ " + title + "\n")
		if err := command(t.Context(), c, &out); err != nil {
			t.Errorf("%s: %v", title, err)
		}
	}
	with := func(path, setting, value, id string) Config {
		d := c
		d.Path, d.Setting, d.Value, d.EditID = path, setting, value, id
		return d
	}
	run("get", Get, c)
	waiting := with("/workspaces/tunja", "deadline", "5s", "e-1")
	waiting.Wait = "in-force"
	run("set", Set, waiting)
	run("set the same again", Set, func() Config { d := waiting; d.IfMatch = "1"; return d }())
	run("set a price", Set, with("/", "link-price", "0.5", "e-2"))
	run("set keys", Set, with("/workspaces/tunja", "key-digests", "sha256:"+strings.Repeat("ab", 32)+",sha256:"+strings.Repeat("cd", 32), "e-3"))
	run("unset", Unset, with("/workspaces/tunja", "share", "", "e-4"))
	run("get one", Get, with("/workspaces/tunja/services/issue-stamp", "deadline", "", ""))
	run("explain", Explain, with("/workspaces/tunja/services/issue-stamp", "", "", ""))
	run("history", History, func() Config { d := c; d.Limit = "2"; return d }())
	run("diff", Diff, func() Config { d := c; d.From = "1"; return d }())
	golden(t, "commands", out.Bytes())
}

// The response to an accepted edit is lost more than once. The client retries with
// the same edit ID, so the operator gets the outcome and the edit is applied once.
func TestEditIsRetriedAfterLostResponses(t *testing.T) {
	e, c := newFakeEntry(t)
	e.dropResponses.Store(2)
	c.Path, c.Setting, c.Value = "/", "priority", "5"
	var out bytes.Buffer
	if err := Set(t.Context(), c, &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "accepted as revision 2 when it was first sent\n" {
		t.Errorf("got %q", got)
	}
	if got := revision(t, e); got != 2 {
		t.Errorf("revision is %d", got)
	}
}

// No response arrives at all. The error must say that the outcome is unknown, and
// with which flags the operator can ask for it.
func TestUnknownOutcomeNamesTheEditID(t *testing.T) {
	e, c := newFakeEntry(t)
	e.dropResponses.Store(100)
	c.Path, c.Setting, c.Value = "/", "priority", "5"
	err := Set(t.Context(), c, &bytes.Buffer{})
	var u UnknownOutcomeError
	if !errors.As(err, &u) || !strings.Contains(err.Error(), "--edit-id edit-1 --if-match 1") {
		t.Errorf("got %v", err)
	}
	e.dropResponses.Store(0)
	c.IfMatch = u.Base
	var out bytes.Buffer
	if err := Set(t.Context(), c, &out); err != nil || !strings.Contains(out.String(), "revision 2 when it was first sent") {
		t.Errorf("retry: %v, %s", err, out.String())
	}
}

func TestConflictShowsTheWinner(t *testing.T) {
	_, c := newFakeEntry(t)
	c.Path, c.Setting, c.Value, c.IfMatch = "/", "priority", "5", "1"
	if err := Set(t.Context(), c, &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
	c.EditID, c.Value = "edit-2", "6"
	err := Set(t.Context(), c, &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "revision 2 is by ana\n    set / priority to 5") {
		t.Errorf("got %v", err)
	}
}

// An invalid flag, argument or file is reported before anything is sent, and the
// message names what has to be corrected.
func TestUsageErrors(t *testing.T) {
	_, c := newFakeEntry(t)
	file := func(text string) string {
		p := filepath.Join(t.TempDir(), "f.toml")
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	for name, x := range map[string]struct {
		command func(context.Context, Config, io.Writer) error
		change  func(*Config)
		want    string
	}{
		"mistyped key":     {Set, func(c *Config) { c.Setting = "priorty" }, "KEY: / priorty: unknown key; the nearest known key is priority"},
		"wrong value":      {Set, func(c *Config) { c.Setting, c.Value = "deadline", "5" }, `VALUE: / deadline: a duration like "4s" is expected`},
		"value in bounds":  {Set, func(c *Config) { c.Setting, c.Value = "priority", "500" }, "out of bounds"},
		"mistyped path":    {Get, func(c *Config) { c.Path = "/workspace/tunja" }, "the nearest known key is workspaces"},
		"no URL":           {Get, func(c *Config) { c.Entry = "127.0.0.1:80" }, "--entry: "},
		"no key":           {Get, func(c *Config) { c.Key = "" }, "--key-file: "},
		"wrong wait":       {Set, func(c *Config) { c.Setting, c.Value, c.Wait = "priority", "1", "forever" }, "--wait: takes in-force only"},
		"no file":          {Apply, func(*Config) {}, "FILE: "},
		"no from":          {Diff, func(*Config) {}, "--from: "},
		"file with faults": {Apply, func(c *Config) { c.File = file("\npriorty = 1\n") }, "f.toml:2: / priorty: unknown key"},
		"file for the log": {Apply, func(c *Config) { c.File = file("[models.m]\n\n[operators.ana]\nkey-digests=[]\n") }, "f.toml:1: /models/m weight-version: is required"},
	} {
		d := c
		x.change(&d)
		err := x.command(t.Context(), d, io.Discard)
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: got %v, want %s", name, err, x.want)
		}
	}
}

func TestCheck(t *testing.T) {
	var out bytes.Buffer
	if err := Check(Config{File: treeFile(t)}, &out); err != nil || !strings.Contains(out.String(), "a valid settings tree of 7 branches") {
		t.Errorf("got %v, %s", err, out.String())
	}
	tree := strings.NewReader("[workspaces.a.services.s]\n[services.s]\nnon-idempotent = true\n")
	err := Check(Config{File: "-", Stdin: tree}, &out)
	var p tomlfile.Problems
	if !errors.As(err, &p) || !strings.Contains(err.Error(), "-:1: /workspaces/a/services/s: the service is non-idempotent") {
		t.Errorf("got %v", err)
	}
	err = Check(Config{File: "-", Stdin: strings.NewReader("role = \"entry\"\nnmae = \"e\"\n")}, &out)
	if !errors.As(err, &p) || !strings.Contains(err.Error(), "-:2: nmae: unknown key; the nearest known key is name") {
		t.Errorf("got %v", err)
	}
}
