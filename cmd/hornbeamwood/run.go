package main

import (
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood"
	"hornbeamwood/internal/cli/run"
	"hornbeamwood/internal/settings/node"
)

func entryCommand() []command {
	return []command{processCommand("entry", "serves callers, operators and backend servers", hornbeamwood.NewEntry)}
}

func controlCommand() []command {
	return []command{processCommand("control", "runs one replica of the control log", hornbeamwood.NewControl)}
}

func processCommand(name, description string, start func(hornbeamwood.Config) (hornbeamwood.Process, error)) command {
	var settings string
	c := newSubcommand(name, description)
	c.String(&settings, "s", "settings", "node file (TOML)")
	flaggy.AttachSubcommand(c, 1)
	return command{subcommand: c, run: func() error {
		if err := requireFlag("settings", settings); err != nil {
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
