package main

import (
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/settings"
)

func checkVerbs() []verb {
	c := settings.Config{Stdin: os.Stdin}
	s := subcommand("check", "checks a node file or a settings tree without starting anything")
	s.AddPositionalValue(&c.File, "FILE", 1, true, "TOML file")
	flaggy.AttachSubcommand(s, 1)
	return []verb{{command: s, run: func() error {
		return settings.Check(c, os.Stdout)
	}}}
}
