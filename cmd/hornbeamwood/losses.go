package main

import (
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/explain"
)

// lossesFlags are the flags of the verb losses.
type lossesFlags struct {
	logs, routes []string
	targetMillis int
	gapMillis    int
	stepMillis   int
}

// lossesVerb counts from logs why requests were not answered on time.
func lossesVerb() []verb {
	f := &lossesFlags{targetMillis: 1000, gapMillis: 500, stepMillis: 2000}
	c := subcommand("losses", "counts why requests were not answered on time, from the logs of entries")
	c.StringSlice(&f.logs, "l", "log", "file with log lines, any number of times; standard input when there is none")
	c.Int(&f.targetMillis, "t", "target-ms", "time to the first event, or the answer, that is on time")
	c.StringSlice(&f.routes, "r", "route", "ROUTE=MS, the time of a single route, any number of times")
	c.Int(&f.gapMillis, "g", "gap-ms", "longest pause in a stream that is on time")
	c.Int(&f.stepMillis, "s", "step-ms", "span of one row of the course")
	flaggy.AttachSubcommand(c, 1)
	return []verb{{command: c, run: f.run}}
}

func (f *lossesFlags) run() error {
	c := explain.LossesConfig{Targets: map[string]time.Duration{}}
	for _, x := range []struct {
		flag   string
		millis int
		to     *time.Duration
	}{{"target-ms", f.targetMillis, &c.Target}, {"gap-ms", f.gapMillis, &c.Gap}, {"step-ms", f.stepMillis, &c.Step}} {
		if x.millis <= 0 {
			return usageError{flag: x.flag, message: "must be above zero"}
		}
		*x.to = time.Duration(x.millis) * time.Millisecond
	}
	for _, r := range f.routes {
		name, text, _ := strings.Cut(r, "=")
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 || name == "" {
			return usageError{flag: "route", message: "has the form ROUTE=MS, not " + r}
		}
		c.Targets[name] = time.Duration(n) * time.Millisecond
	}
	return withLogs("losses", f.logs, func(logs []io.Reader) error {
		s, err := explain.ReadLosses(c, logs...)
		if err != nil {
			return err
		}
		return s.Write(os.Stdout)
	})
}
