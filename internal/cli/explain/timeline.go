package explain

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ErrUnknownRequest means that no log line mentions the request.
var ErrUnknownRequest = errors.New("no log line mentions the request; it reached none of these processes, or its lines were dropped (look for lines-dropped)")

// Timeline holds the log lines about one request in order of time.
type Timeline struct {
	request      string
	requestLines []line
	// serverLines are lines about the servers that the request was sent to.
	serverLines []line
}

// Read returns the timeline of a request from logs.
func Read(request string, logs ...io.Reader) (Timeline, error) {
	t := Timeline{request: request}
	var serverCandidates []line
	err := forEachLine(logs, func(l line) {
		switch {
		case l.text("request") == request:
			t.requestLines = append(t.requestLines, l)
		case l.text("request") == "" && l.text("server") != "":
			serverCandidates = append(serverCandidates, l)
		}
	})
	if err != nil {
		return Timeline{}, fmt.Errorf("explain: %w", err)
	}
	if len(t.requestLines) == 0 {
		return Timeline{}, ErrUnknownRequest
	}
	t.keepServerLines(serverCandidates)
	byTime(t.requestLines)
	byTime(t.serverLines)
	return t, nil
}

// keepServerLines keeps the lines about servers that the request was sent to.
func (t *Timeline) keepServerLines(serverCandidates []line) {
	servers := map[string]bool{}
	for _, l := range t.requestLines {
		servers[l.text("server")] = true
	}
	for _, l := range serverCandidates {
		if servers[l.text("server")] {
			t.serverLines = append(t.serverLines, l)
		}
	}
}

func byTime(all []line) {
	slices.SortStableFunc(all, func(a, b line) int { return strings.Compare(a.Time, b.Time) })
}

// Write writes the timeline in order.
func (t Timeline) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", t.request)
	for _, l := range t.requestLines {
		fmt.Fprintf(&b, "  %s  %-10s  %s\n", l.Time, l.text("vm"), format(l))
	}
	if len(t.serverLines) > 0 {
		b.WriteString("what was known of its servers\n")
	}
	for _, l := range t.serverLines {
		fmt.Fprintf(&b, "  %s  %-10s  %s\n", l.Time, l.text("vm"), formatFields(l))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formats renders the events of a request as sentences.
var formats = map[string]func(l line) string{
	"attempt-routed": func(l line) string {
		return fmt.Sprintf("try %v goes to %v: %v", l.Fields["try"], l.Fields["server"], otherFields(l, "try", "server"))
	},
	"attempt-failed": func(l line) string {
		return fmt.Sprintf("%v failed (%v), %v; %v", l.Fields["server"], l.Fields["reason"], verdict(l), otherFields(l, "server", "reason", "verdict"))
	},
	"request-ended": func(l line) string {
		return fmt.Sprintf("the caller got %s after %v ms, %s; %s", status(l), l.Fields["ms"], verdict(l), otherFields(l, "status", "ms", "verdict"))
	},
}

func format(l line) string {
	if f, ok := formats[l.Message]; ok {
		return f(l)
	}
	return formatFields(l)
}

func formatFields(l line) string {
	return l.Message + ": " + otherFields(l)
}

// status describes the status that the caller received.
func status(l line) string {
	if n, ok := l.Fields["status"].(json.Number); ok && n != "0" {
		return "status " + n.String()
	}
	return "no whole answer"
}

// verdict describes whether the request has run.
func verdict(l line) string {
	switch l.text("verdict") {
	case "not-run":
		return "it has not run"
	case "ran":
		return "it has run"
	}
	return "it may have run"
}

// otherFields returns the fields that are not shown yet, in the order of their names.
func otherFields(l line, shown ...string) string {
	shown = append(shown, "request", "vm", "event")
	var names []string
	for name := range l.Fields {
		if !slices.Contains(shown, name) {
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
