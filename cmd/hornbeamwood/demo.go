package main

import (
	"io"
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/demo"
	"hornbeamwood/internal/cli/run"
)

func demoCommand() []command {
	c := demo.Config{Listen: "127.0.0.1:8080", Logs: io.Discard}
	logs := false
	s := newSubcommand("demo", "runs a whole deployment in one process, without any setup")
	s.String(&c.Folder, "f", "folder", "folder for keys and data; default: a temporary folder")
	s.String(&c.Listen, "l", "listen", "IP and port of the first entry")
	s.Bool(&c.Once, "o", "once", "run a scripted tour, print a table and exit")
	s.Bool(&logs, "g", "logs", "write the log lines to standard error")
	flaggy.AttachSubcommand(s, 1)
	return []command{{subcommand: s, run: func() error {
		if logs {
			c.Logs = os.Stderr
		}
		return demo.Run(run.UntilSignal(), c, os.Stdout)
	}}}
}
