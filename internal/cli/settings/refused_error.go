package settings

import (
	"fmt"
	"strings"

	"hornbeamwood/internal/entry/operator"
)

// RefusedError is an error response of an entry.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Failure is the body of the response.
	Failure operator.Failure
}

// Error returns the message, the verdict, the reasons and the conflicting edit, one line each.
func (e RefusedError) Error() string {
	d := e.Failure.Error
	lines := []string{fmt.Sprintf("%s: %s (%s)", d.Code, d.Message, e.Failure.Verdict)}
	for _, r := range d.Reasons {
		lines = append(lines, "  "+r.Error())
	}
	if w := d.Winner; w != nil {
		lines = append(lines, fmt.Sprintf("  revision %d is by %s", w.Revision, operatorOrUnknown(w.Operator)))
		for _, change := range w.Summary {
			lines = append(lines, "    "+change)
		}
	}
	return strings.Join(lines, "\n")
}

func operatorOrUnknown(name string) string {
	if name == "" {
		return "an edit that the history no longer has"
	}
	return name
}

// UnknownOutcomeError means that the outcome of an edit is not known yet.
type UnknownOutcomeError struct {
	// EditID and Base are the edit ID and the base revision to use when the edit is sent again.
	EditID, Base string
	// Cause is the last error.
	Cause error
}

// Error includes the flags with which the command returns the outcome.
func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of the edit is not known; run the same command with --edit-id %s --if-match %s: %v", e.EditID, e.Base, e.Cause)
}

// Unwrap returns the last error.
func (e UnknownOutcomeError) Unwrap() error {
	return e.Cause
}
