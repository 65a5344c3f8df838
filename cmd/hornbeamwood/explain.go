package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"hornbeamwood/internal/cli/explain"
)

// explainVerb tells the story of a request from the logs that are named, or from standard input.
func explainVerb() []verb {
	var request string
	var logs []string
	c := subcommand("explain", "tells what became of a request, from the logs of any number of processes")
	c.AddPositionalValue(&request, "REQUEST-ID", 1, true, "id of the request")
	c.StringSlice(&logs, "l", "log", "file with log lines, any number of times; standard input when there is none")
	flaggy.AttachSubcommand(c, 1)
	return []verb{{command: c, run: func() error { return explainRequest(request, logs) }}}
}

func explainRequest(request string, paths []string) error {
	return withLogs("explain", paths, func(logs []io.Reader) error {
		s, err := explain.Read(request, logs...)
		if err != nil {
			return err
		}
		return s.Write(os.Stdout)
	})
}

// withLogs calls read with the files that are named, or with standard input.
func withLogs(verb string, paths []string, read func(logs []io.Reader) error) error {
	logs := []io.Reader{os.Stdin}
	if len(paths) > 0 {
		logs = nil
	}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return fmt.Errorf("%s: %w", verb, err)
		}
		defer f.Close()
		logs = append(logs, f)
	}
	return read(logs)
}
