package main

import (
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/settings"
)

func checkCommands() []command {
	c := settings.Config{Stdin: os.Stdin}
	s := newSubcommand("check", "checks a node file or a settings tree without starting anything")
	s.AddPositionalValue(&c.File, "FILE", 1, true, "TOML file")
	flaggy.AttachSubcommand(s, 1)
	return []command{{subcommand: s, run: func() error {
		return settings.Check(c, os.Stdout)
	}}}
}
