package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
)

// followedStream is a stream as its caller sees it over all attempts.
type followedStream struct {
	name string
	// first is the attempt that brought the first event, software the version that wrote the last one.
	first, software string
	// last is the number of the last event, events the highest ordinal.
	last         string
	events, want int
	// faults are the faults that the caller has seen, in words.
	faults []string
}

// read reads the events of one attempt. The error is io.EOF if the response ended as whole.
func (s *followedStream) read(attempt string, body io.Reader) error {
	r := bufio.NewReader(body)
	var id, data string
	for {
		line, err := r.ReadString('\n')
		if errors.Is(err, io.EOF) {
			s.end(attempt, line+id+data)
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && data != "" {
			s.add(attempt, id, data)
			id, data = "", ""
		}
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok {
			data = v
		}
	}
}

// add adds an event.
func (s *followedStream) add(attempt, id, data string) {
	var software, of string
	var n int
	if _, err := fmt.Sscan(data, &software, &of, &n); err != nil {
		s.report("event %s after event %d holds %q", id, s.events, data)
		return
	}
	if s.software == "" {
		s.first, s.software = attempt, software
	}
	switch {
	case of != attempt:
		s.report("joined: event %d of attempt %s is in attempt %s", n, of, attempt)
	case software != s.software:
		s.report("joined: event %d is of %s, those before of %s", n, software, s.software)
		s.software = software
	case n > s.events+1:
		s.report("missing: event %d follows event %d, attempt %s", n, s.events, attempt)
	case n <= s.events:
		s.report("twice: event %d follows event %d, attempt %s", n, s.events, attempt)
	}
	s.last, s.events = id, max(s.events, n)
}

// end checks the end of a response that ended as whole after an incomplete event, if rest isn't empty.
func (s *followedStream) end(attempt, rest string) {
	if rest != "" || s.events < s.want {
		s.report("whole before its end: after event %d of %d and %q, attempt %s", s.events, s.want, rest, attempt)
	}
}

func (s *followedStream) report(format string, args ...any) {
	s.faults = append(s.faults, "ORDER "+s.name+" "+fmt.Sprintf(format, args...))
}
