package main

import (
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/load"
	"hornbeamwood/internal/cli/run"
)

// Defaults of the load command.
const (
	loadRate     = 5.0
	loadLength   = 30 * time.Second
	loadGapScale = 0.05
)

func loadCommand() []command {
	c := load.Config{Deployment: "certilote", Rate: loadRate, Length: loadLength, Seed: 1, GapScale: loadGapScale, Progress: os.Stderr}
	s := newSubcommand("load", "replays the workload of a deployment against running entries, with the keys of the example settings")
	s.StringSlice(&c.Entries, "e", "entry", "base URL of an entry, repeatable; several are used in turn")
	s.String(&c.Deployment, "d", "deployment", "certilote or association")
	s.Float64(&c.Rate, "r", "rate", "requests per second")
	s.Duration(&c.Length, "l", "length", "time during which requests are sent")
	s.UInt64(&c.Seed, "s", "seed", "the same seed sends the same requests")
	s.Float64(&c.GapScale, "g", "gap-scale", "factor for the time after which documents return")
	s.Bool(&c.JSON, "j", "json", "print the result as JSON")
	flaggy.AttachSubcommand(s, 1)
	return []command{{subcommand: s, run: func() error {
		if len(c.Entries) == 0 {
			return requireFlag("entry", "")
		}
		return load.Run(run.UntilSignal(), c, os.Stdout)
	}}}
}
