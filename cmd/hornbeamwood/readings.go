package main

import (
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/explain"
)

// readingsFlags are the flags of the verb readings.
type readingsFlags struct {
	logs       []string
	newsMillis int
	stepMillis int
}

// readingsVerb counts from logs why engines read shared parts of prompts.
func readingsVerb() []verb {
	f := &readingsFlags{newsMillis: 2000, stepMillis: 2000}
	c := subcommand("readings", "counts why engines read long shared parts of prompts, from the logs of all entries")
	c.StringSlice(&f.logs, "l", "log", "file with log lines, any number of times; standard input when there is none")
	c.Int(&f.newsMillis, "n", "news-ms", "time within which news of a reading reach all entries")
	c.Int(&f.stepMillis, "s", "step-ms", "span of one row of the course")
	flaggy.AttachSubcommand(c, 1)
	return []verb{{command: c, run: f.run}}
}

func (f *readingsFlags) run() error {
	if f.newsMillis <= 0 {
		return usageError{flag: "news-ms", message: "must be above zero"}
	}
	if f.stepMillis <= 0 {
		return usageError{flag: "step-ms", message: "must be above zero"}
	}
	c := explain.ReadingsConfig{Step: time.Duration(f.stepMillis) * time.Millisecond, News: time.Duration(f.newsMillis) * time.Millisecond}
	return withLogs("readings", f.logs, func(logs []io.Reader) error {
		s, err := explain.ReadReadings(c, logs...)
		if err != nil {
			return err
		}
		return s.Write(os.Stdout)
	})
}
