package main

import (
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood"
	"hornbeamwood/internal/cli/run"
	"hornbeamwood/internal/settings/node"
)

func entryVerb() []verb {
	return []verb{processVerb("entry", "serves callers, operators and backend servers", hornbeamwood.NewEntry)}
}

func controlVerb() []verb {
	return []verb{processVerb("control", "keeps one replica of the control log", hornbeamwood.NewControl)}
}

func processVerb(name, description string, start func(hornbeamwood.Config) (hornbeamwood.Process, error)) verb {
	var settings string
	c := subcommand(name, description)
	c.String(&settings, "s", "settings", "node file (TOML)")
	flaggy.AttachSubcommand(c, 1)
	return verb{command: c, run: func() error {
		if err := required("settings", settings); err != nil {
			return err
		}
		f, err := node.Load(settings)
		if err != nil {
			return err
		}
		p, err := start(hornbeamwood.Config{File: f, Logger: run.NewLogger(f.LogFormat, os.Stderr)})
		if err != nil {
			return err
		}
		return p.Run(run.UntilSignal())
	}}
}
