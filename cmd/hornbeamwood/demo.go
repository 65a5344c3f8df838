package main

import (
	"io"
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/demo"
	"hornbeamwood/internal/cli/run"
)

func demoVerb() []verb {
	c := demo.Config{Listen: "127.0.0.1:8080", Logs: io.Discard}
	logs := false
	s := subcommand("demo", "runs a whole deployment in one process, without any set-up")
	s.String(&c.Folder, "f", "folder", "keeps keys and data in this folder; a temporary one when left out")
	s.String(&c.Listen, "l", "listen", "IP and port of the first entry")
	s.Bool(&c.Once, "o", "once", "runs a scripted tour, prints a table and ends")
	s.Bool(&logs, "g", "logs", "shows the log lines on standard error")
	flaggy.AttachSubcommand(s, 1)
	return []verb{{command: s, run: func() error {
		if logs {
			c.Logs = os.Stderr
		}
		return demo.Run(run.UntilSignal(), c, os.Stdout)
	}}}
}
