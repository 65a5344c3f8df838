package tomlfile

import (
	"fmt"
	"strings"
)

// Problem is one error in a file or an edit.
type Problem struct {
	// File is the path as given, empty for text that is not from a file.
	File string `json:"file,omitempty" cbor:"file,omitempty"`
	// Line is the line number, starting at 1; 0 if it is not known.
	Line int `json:"line,omitempty" cbor:"line,omitempty"`
	// Key is the dotted key or the path of the setting.
	Key string `json:"key,omitempty" cbor:"key,omitempty"`
	// Message is a human-readable description.
	Message string `json:"message" cbor:"message"`
}

// Error returns "file:line: key: message" without the parts that are not set.
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

// Problems are all errors found in a file or an edit.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.Error()
	}
	return strings.Join(lines, "\n")
}

// MaxShown is the maximum number of problems of one file or edit that are kept and shown.
const MaxShown = 32

// Shown returns the first MaxShown problems, followed by the number of the remaining ones if there are more.
func (p Problems) Shown() Problems {
	if len(p) <= MaxShown {
		return p
	}
	shown := append(Problems(nil), p[:MaxShown]...)
	return append(shown, Problem{Message: fmt.Sprintf("and %d more", len(p)-MaxShown)})
}

// Err returns p as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
