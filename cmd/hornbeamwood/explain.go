package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/explain"
)

// explainCommand shows what happened to a request, from log files or standard input.
func explainCommand() []command {
	var request string
	var logs []string
	c := newSubcommand("explain", "shows what happened to a request, from the logs of any number of processes")
	c.AddPositionalValue(&request, "REQUEST-ID", 1, true, "ID of the request")
	c.StringSlice(&logs, "l", "log", "file with log lines, repeatable; default: standard input")
	flaggy.AttachSubcommand(c, 1)
	return []command{{subcommand: c, run: func() error { return explainRequest(request, logs) }}}
}

func explainRequest(request string, paths []string) error {
	return withLogs("explain", paths, func(logs []io.Reader) error {
		t, err := explain.Read(request, logs...)
		if err != nil {
			return err
		}
		return t.Write(os.Stdout)
	})
}

// withLogs calls read with the files at paths, or with standard input if there are none.
func withLogs(command string, paths []string, read func(logs []io.Reader) error) error {
	logs := []io.Reader{os.Stdin}
	if len(paths) > 0 {
		logs = nil
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return fmt.Errorf("%s: %w", command, err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return read(logs)
}
