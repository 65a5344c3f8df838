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

// Environment variables of the settings commands.
const (
	entryVariable = "HORNBEAMWOOD_ENTRY"
	keyVariable   = "HORNBEAMWOOD_OPERATOR_KEY"
)

// settingsFunc runs one of the settings commands.
type settingsFunc func(ctx context.Context, c settings.Config, stdout io.Writer) error

// settingsFlags are the flags of one settings command.
type settingsFlags struct {
	settings.Config
	keyFile string
}

func settingsCommands() []command {
	parent := newSubcommand("settings", "shows and edits the settings tree through any entry")
	flaggy.AttachSubcommand(parent, 1)
	return []command{
		settingsCommand(parent, "get", "shows a branch, or the effective value of one setting", settings.Get, pathArgument, keyArgument),
		settingsCommand(parent, "set", "assigns a value to one setting of a branch", settings.Set, requiredPath, requiredKey, valueArgument, editFlags),
		settingsCommand(parent, "unset", "removes one setting of a branch, or the whole branch", settings.Unset, requiredPath, keyArgument, editFlags),
		settingsCommand(parent, "apply", "replaces a branch, by default the whole tree, with the contents of a file", settings.Apply, fileArgument, secondPath, editFlags),
		settingsCommand(parent, "explain", "shows effective values and the branches that set them", settings.Explain, pathArgument, keyArgument),
		settingsCommand(parent, "history", "shows the audit trail, newest first", settings.History, historyFlags),
		settingsCommand(parent, "diff", "shows the differences between two revisions", settings.Diff, diffFlags),
	}
}

// settingsCommand returns a settings command with the common flags and those that options add.
func settingsCommand(parent *flaggy.Subcommand, name, description string, call settingsFunc, options ...func(*flaggy.Subcommand, *settingsFlags)) command {
	f := &settingsFlags{Config: settings.Config{Entry: os.Getenv(entryVariable), Stdin: os.Stdin}}
	s := newSubcommand(name, description)
	s.String(&f.Entry, "e", "entry", "URL of any entry; "+entryVariable+" by default")
	s.String(&f.keyFile, "k", "key-file", "file with the operator's key; "+keyVariable+" by default")
	s.Bool(&f.JSON, "j", "json", "print the entry's JSON")
	for _, addOption := range options {
		addOption(s, f)
	}
	parent.AttachSubcommand(s, 1)
	return command{subcommand: s, run: func() error {
		key, err := f.operatorKey()
		if err != nil {
			return err
		}
		f.Key = key
		return call(run.UntilSignal(), f.Config, os.Stdout)
	}}
}

// operatorKey returns the key from a file or the environment. There is no flag for
// the key itself, because every user of the VM could read it on the command line.
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
	s.AddPositionalValue(&f.Path, "PATH", 1, false, `branch; default: "/"`)
}

func requiredPath(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Path, "PATH", 1, true, "branch, for example /workspaces/tunja")
}

func secondPath(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Path, "PATH", 2, false, `branch; default: "/"`)
}

func keyArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Setting, "KEY", 2, false, "name of one setting")
}

func requiredKey(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Setting, "KEY", 2, true, "name of the setting")
}

func valueArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.Value, "VALUE", 3, false, "new value; key digests are separated by commas")
	s.String(&f.Value, "v", "value", "new value, for values that begin with a dash: --value=-3")
}

func fileArgument(s *flaggy.Subcommand, f *settingsFlags) {
	s.AddPositionalValue(&f.File, "FILE", 1, true, "TOML file; /dev/stdin for standard input")
}

func editFlags(s *flaggy.Subcommand, f *settingsFlags) {
	s.String(&f.IfMatch, "m", "if-match", "revision that the edit is based on; default: the newest")
	s.String(&f.EditID, "i", "edit-id", "ID of the edit; use the same ID to send it again")
	s.String(&f.Wait, "w", "wait", `"in-force" to wait until the edit is in force everywhere`)
}

func historyFlags(s *flaggy.Subcommand, f *settingsFlags) {
	s.String(&f.Limit, "l", "limit", "number of edits to show")
	s.String(&f.To, "t", "to", "newest revision to show")
}

func diffFlags(s *flaggy.Subcommand, f *settingsFlags) {
	s.String(&f.From, "f", "from", "earlier revision")
	s.String(&f.To, "t", "to", "later revision; default: the newest")
}
