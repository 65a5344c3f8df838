package explain

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ErrUnknown means that no line tells of the request.
var ErrUnknown = errors.New("no line of these logs tells of the request; it reached none of these processes, or its lines were dropped (look for lines-dropped)")

// Story is what the logs tell of a request.
type Story struct {
	request string
	own     []line
	// around are lines about the servers that the request went to.
	around []line
}

// Read returns the story of the request from logs.
func Read(request string, logs ...io.Reader) (Story, error) {
	s := Story{request: request}
	var others []line
	err := each(logs, func(l line) {
		switch {
		case l.text("request") == request:
			s.own = append(s.own, l)
		case l.text("request") == "" && l.text("server") != "":
			others = append(others, l)
		}
	})
	if err != nil {
		return Story{}, fmt.Errorf("explain: %w", err)
	}
	if len(s.own) == 0 {
		return Story{}, ErrUnknown
	}
	s.surround(others)
	byTime(s.own)
	byTime(s.around)
	return s, nil
}

// surround keeps what is told of the request's servers.
func (s *Story) surround(others []line) {
	servers := map[string]bool{}
	for _, l := range s.own {
		servers[l.text("server")] = true
	}
	for _, l := range others {
		if servers[l.text("server")] {
			s.around = append(s.around, l)
		}
	}
}

func byTime(all []line) {
	slices.SortStableFunc(all, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
}

// Write tells the story in order.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", s.request)
	for _, l := range s.own {
		fmt.Fprintf(&b, "  %s  %-10s  %s\n", l.Time, l.text("vm"), sentence(l))
	}
	if len(s.around) > 0 {
		b.WriteString("what was known of its servers\n")
	}
	for _, l := range s.around {
		fmt.Fprintf(&b, "  %s  %-10s  %s\n", l.Time, l.text("vm"), plain(l))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// sentences tell the lines of a request in words.
var sentences = map[string]func(l line) string{
	"attempt-routed": func(l line) string {
		return fmt.Sprintf("try %v goes to %v: %v", l.Fields["try"], l.Fields["server"], rest(l, "try", "server"))
	},
	"attempt-failed": func(l line) string {
		return fmt.Sprintf("%v failed (%v), %v; %v", l.Fields["server"], l.Fields["reason"], verdict(l), rest(l, "server", "reason", "verdict"))
	},
	"request-ended": func(l line) string {
		return fmt.Sprintf("the caller got %s after %v ms, %s; %s", status(l), l.Fields["ms"], verdict(l), rest(l, "status", "ms", "verdict"))
	},
}

func sentence(l line) string {
	if f, ok := sentences[l.Message]; ok {
		return f(l)
	}
	return plain(l)
}

func plain(l line) string {
	return l.Message + ": " + rest(l)
}

// status says what the caller got.
func status(l line) string {
	if n, ok := l.Fields["status"].(json.Number); ok && n != "0" {
		return "status " + n.String()
	}
	return "no whole answer"
}

// verdict says what is known of the request's having run.
func verdict(l line) string {
	switch l.text("verdict") {
	case "not-run":
		return "it has not run"
	case "ran":
		return "it has run"
	}
	return "it may have run"
}

// rest returns the remaining fields in the order of their names.
func rest(l line, told ...string) string {
	told = append(told, "request", "vm", "event")
	var names []string
	for name := range l.Fields {
		if !slices.Contains(told, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, l.Fields[name])
	}
	return strings.Join(parts, " ")
}
