package main

import (
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/run"
	"hornbeamwood/internal/cli/status"
)

func statusCommand() []command {
	c := status.Config{Entry: os.Getenv(entryVariable)}
	f := &settingsFlags{}
	s := newSubcommand("status", "shows replicas, entries, backend servers and calls, as one entry reports them")
	s.String(&c.Entry, "e", "entry", "URL of any entry; "+entryVariable+" by default")
	s.String(&f.keyFile, "k", "key-file", "file with the operator's key; "+keyVariable+" by default")
	s.Bool(&c.JSON, "j", "json", "print the entry's JSON")
	flaggy.AttachSubcommand(s, 1)
	return []command{{subcommand: s, run: func() error {
		if err := requireFlag("entry", c.Entry); err != nil {
			return err
		}
		key, err := f.operatorKey()
		if err != nil {
			return err
		}
		c.Key = key
		return status.Show(run.UntilSignal(), c, os.Stdout)
	}}}
}
