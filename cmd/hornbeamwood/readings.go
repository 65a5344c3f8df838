package main

import (
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/explain"
)

// readingsFlags are the flags of the readings command.
type readingsFlags struct {
	logs              []string
	updateDelayMillis int
	stepMillis        int
}

// readingsCommand counts from logs why engines computed shared parts of prompts.
func readingsCommand() []command {
	f := &readingsFlags{updateDelayMillis: 2000, stepMillis: 2000}
	c := newSubcommand("readings", "counts why engines computed long shared parts of prompts (prefill), from the logs of all entries")
	c.StringSlice(&f.logs, "l", "log", "file with log lines, repeatable; default: standard input")
	c.Int(&f.updateDelayMillis, "n", "news-ms", "time within which the update about a prefill reaches all entries")
	c.Int(&f.stepMillis, "s", "step-ms", "interval that one row of the time series covers")
	flaggy.AttachSubcommand(c, 1)
	return []command{{subcommand: c, run: f.run}}
}

func (f *readingsFlags) run() error {
	if f.updateDelayMillis <= 0 {
		return usageError{flag: "news-ms", message: "must be greater than zero"}
	}
	if f.stepMillis <= 0 {
		return usageError{flag: "step-ms", message: "must be greater than zero"}
	}
	c := explain.PrefillsConfig{Step: time.Duration(f.stepMillis) * time.Millisecond, UpdateDelay: time.Duration(f.updateDelayMillis) * time.Millisecond}
	return withLogs("readings", f.logs, func(logs []io.Reader) error {
		p, err := explain.ReadPrefills(c, logs...)
		if err != nil {
			return err
		}
		return p.Write(os.Stdout)
	})
}
