package settings

import (
	"fmt"
	"strings"

	"hornbeamwood/internal/entry/operator"
)

// RefusedError is an entry's answer that is not a success.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Failure is the answer's body.
	Failure operator.Failure
}

// Error returns the message, the verdict, the reasons and the winner, one line each.
func (e RefusedError) Error() string {
	d := e.Failure.Error
	lines := []string{fmt.Sprintf("%s: %s (%s)", d.Code, d.Message, e.Failure.Verdict)}
	for _, r := range d.Reasons {
		lines = append(lines, "  "+r.Error())
	}
	if w := d.Winner; w != nil {
		lines = append(lines, fmt.Sprintf("  revision %d is by %s", w.Revision, orUnknown(w.Operator)))
		for _, what := range w.What {
			lines = append(lines, "    "+what)
		}
	}
	return strings.Join(lines, "\n")
}

func orUnknown(name string) string {
	if name == "" {
		return "an edit that the history no longer has"
	}
	return name
}

// UnknownError says that nobody knows yet what became of an edit.
type UnknownError struct {
	// EditID and Base are what the same edit has to be sent again with.
	EditID, Base string
	// Cause is the last failure.
	Cause error
}

// Error tells how to learn the outcome.
func (e UnknownError) Error() string {
	return fmt.Sprintf("the outcome of the edit is not known; run the same command with --edit-id %s --if-match %s: %v", e.EditID, e.Base, e.Cause)
}

// Unwrap returns the last failure.
func (e UnknownError) Unwrap() error {
	return e.Cause
}
