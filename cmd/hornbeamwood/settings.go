package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/run"
	"hornbeamwood/internal/cli/settings"
)

// Environment of the settings verbs, for scripts.
const (
	entryVariable = "HORNBEAMWOOD_ENTRY"
	keyVariable   = "HORNBEAMWOOD_OPERATOR_KEY"
)

// settingsCall is one of the settings verbs.
type settingsCall func(ctx context.Context, c settings.Config, stdout io.Writer) error

// settingsFlags are the flags of one settings verb.
type settingsFlags struct {
	settings.Config
	keyFile string
}

func settingsVerbs() []verb {
	parent := subcommand("settings", "shows and edits the settings tree through any entry")
	flaggy.AttachSubcommand(parent, 1)
	return []verb{
		settingsVerb(parent, "get", "shows a branch, or the effective value of one setting", settings.Get, pathArgument, keyArgument),
		settingsVerb(parent, "set", "gives one setting of a branch a value", settings.Set, requiredPath, requiredKey, valueArgument, editFlags),
		settingsVerb(parent, "unset", "takes one setting of a branch away, or the branch", settings.Unset, requiredPath, keyArgument, editFlags),
		settingsVerb(parent, "apply", "makes a branch, the whole tree unless one is named, equal to a file", settings.Apply, fileArgument, secondPath, editFlags),
		settingsVerb(parent, "explain", "shows effective values with the branches that they come from", settings.Explain, pathArgument, keyArgument),
		settingsVerb(parent, "history", "shows the audit trail, newest first", settings.History, historyFlags),
		settingsVerb(parent, "diff", "shows the differences between two revisions", settings.Diff, diffFlags),
	}
}

// settingsVerb returns the verb name with the flags that all have and those of options.
func settingsVerb(parent *flaggy.Subcommand, name, description string, call settingsCall, options ...func(*flaggy.Subcommand, *settingsFlags)) verb {
	f := &settingsFlags{Config: settings.Config{Entry: os.Getenv(entryVariable), Stdin: os.Stdin}}
	s := subcommand(name, description)
	s.String(&f.Entry, "e", "entry", "URL of any entry; "+entryVariable+" when left out")
	s.String(&f.keyFile, "k", "key-file", "file with the operator's key; "+keyVariable+" when left out")
	s.Bool(&f.JSON, "j", "json", "print the entry's JSON")
	for _, option := range options {
		option(s, f)
	}
	parent.AttachSubcommand(s, 1)
	return verb{command: s, run: func() error {
		key, err := f.operatorKey()
		if err != nil {
			return err
		}
		f.Key = key
		return call(run.UntilSignal(), f.Config, os.Stdout)
	}}
}

// operatorKey returns the key from a file or the environment; on the command
// line every user of the VM could read it.
func (f *settingsFlags) operatorKey() (string, error) {
	if f.keyFile == "" {
		return os.Getenv(keyVariable), nil
	}
	b, err := os.ReadFile(f.keyFile)
	if err != nil {
		return "", fmt.Errorf("--key-file: %w", err)
	}
	return strings.TrimSpace(string(b)), nil
}

func pathArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Path, "PATH", 1, false, `branch, "/" when left out`)
}

func requiredPath(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Path, "PATH", 1, true, "branch, for example /workspaces/tunja")
}

func secondPath(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Path, "PATH", 2, false, `branch, "/" when left out`)
}

func keyArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Setting, "KEY", 2, false, "name of one setting")
}

func requiredKey(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Setting, "KEY", 2, true, "name of the setting")
}

func valueArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Value, "VALUE", 3, false, "new value; key digests are separated by commas")
	s.String(&f.Value, "v", "value", "new value, for one that opens with a dash: --value=-3")
}

func fileArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.File, "FILE", 1, true, "TOML file; /dev/stdin for the standard input")
}

func editFlags(s *flaggy.Subcommand, f *settingsFlags) {
	s.String(&f.IfMatch, "m", "if-match", "revision that the edit is made against; the newest when left out")
	s.String(&f.EditID, "i", "edit-id", "id of the edit; the same for sending it again")
	s.String(&f.Wait, "w", "wait", `"in-force" to wait until the edit is in force everywhere`)
}

func historyFlags(s *flaggy.Subcommand, f *settingsFlags) {
	s.String(&f.Limit, "l", "limit", "number of edits")
	s.String(&f.To, "t", "to", "newest revision to show")
}

func diffFlags(s *flaggy.Subcommand, f *settingsFlags) {
	s.String(&f.From, "f", "from", "earlier revision")
	s.String(&f.To, "t", "to", "later revision; the newest when left out")
}
