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

// lossesFlags are the flags of the losses command.
type lossesFlags struct {
	logs, routes   []string
	targetMillis   int
	eventGapMillis int
	stepMillis     int
}

// lossesCommand counts from logs why requests were not answered on time.
func lossesCommand() []command {
	f := &lossesFlags{targetMillis: 1000, eventGapMillis: 500, stepMillis: 2000}
	c := newSubcommand("losses", "counts why requests were not answered on time, from the logs of entries")
	c.StringSlice(&f.logs, "l", "log", "file with log lines, repeatable; default: standard input")
	c.Int(&f.targetMillis, "t", "target-ms", "latency target: time to the first event, or to the response")
	c.StringSlice(&f.routes, "r", "route", "ROUTE=MS, latency target of one route, repeatable")
	c.Int(&f.eventGapMillis, "g", "gap-ms", "longest event gap of a stream that is on time")
	c.Int(&f.stepMillis, "s", "step-ms", "interval that one row of the time series covers")
	flaggy.AttachSubcommand(c, 1)
	return []command{{subcommand: c, run: f.run}}
}

func (f *lossesFlags) run() error {
	c := explain.LossesConfig{Targets: map[string]time.Duration{}}
	for _, x := range []struct {
		flag   string
		millis int
		to     *time.Duration
	}{{"target-ms", f.targetMillis, &c.Target}, {"gap-ms", f.eventGapMillis, &c.EventGap}, {"step-ms", f.stepMillis, &c.Step}} {
		if x.millis <= 0 {
			return usageError{flag: x.flag, message: "must be greater than zero"}
		}
		*x.to = time.Duration(x.millis) * time.Millisecond
	}
	for _, r := range f.routes {
		name, text, _ := strings.Cut(r, "=")
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 || name == "" {
			return usageError{flag: "route", message: "must have the form ROUTE=MS, not " + r}
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
