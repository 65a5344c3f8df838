package tomlfile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a file.
type Problem struct {
	// File is the path as it was given, empty for text that came from no file.
	File string `json:"file,omitempty" cbor:"file,omitempty"`
	// Line counts from 1; 0 means that the fault has no line.
	Line int `json:"line,omitempty" cbor:"line,omitempty"`
	// Key is the dotted key or the path of the setting.
	Key string `json:"key,omitempty" cbor:"key,omitempty"`
	// Message is one sentence for people.
	Message string `json:"message" cbor:"message"`
}

// Error returns "file:line: key: message" without the parts that are unknown.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:", p.Line)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems are all faults that were found in one file.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.Error()
	}
	return strings.Join(lines, "\n")
}

// MaxShown is the number of problems that are kept and shown of one file or edit.
const MaxShown = 32

// Shown returns the first problems and, where there are more than MaxShown, how many more there are.
func (p Problems) Shown() Problems {
	if len(p) <= MaxShown {
		return p
	}
	shown := append(Problems(nil), p[:MaxShown]...)
	return append(shown, Problem{Message: fmt.Sprintf("and %d more", len(p)-MaxShown)})
}

// Err returns p as an error, nil when there is no problem.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
