package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tomlfile"
)

// retryDelay is the Retry-After value when the control log did not answer.
const retryDelay = time.Second

// Failure is the JSON body of an error response.
type Failure struct {
	// Error describes what went wrong.
	Error FailureDetail `json:"error"`
	// Verdict states whether the request may have changed anything.
	Verdict verdict.Verdict `json:"verdict"`
}

// FailureDetail describes what went wrong.
type FailureDetail struct {
	// Code is a stable, machine-readable error code in kebab case.
	Code string `json:"code"`
	// Message is one human-readable sentence.
	Message string `json:"message"`
	// Reasons are the problems of an edit, each with its key and, for a TOML body, its line.
	Reasons tomlfile.Problems `json:"reasons,omitempty"`
	// Winner is the edit that was accepted against the same base revision.
	Winner *section.Winner `json:"winner,omitempty"`
	// Repeated is set when the edit is a resend and this is its original outcome.
	Repeated bool `json:"repeated,omitempty"`
}

// outcomeError carries an Outcome as the cause of an error.
type outcomeError struct {
	section.Outcome
}

// Error returns the kind and revision of the outcome.
func (o outcomeError) Error() string {
	return fmt.Sprintf("outcome %q at revision %d", o.Kind, o.Revision)
}

// writeFailure writes err as the response. An error without a verdict becomes may-have-run.
func writeFailure(w http.ResponseWriter, err error) {
	v, ok := verdict.As(err)
	if !ok {
		v = verdict.New(verdict.MayHaveRun, http.StatusInternalServerError, "internal", "the entry failed to answer")
	}
	f := Failure{Error: FailureDetail{Code: v.Code, Message: v.Message}, Verdict: v.Verdict}
	var problems tomlfile.Problems
	if errors.As(err, &problems) {
		f.Error.Reasons = problems
	} else if v.Code == "invalid-settings" && v.Cause != nil {
		f.Error.Reasons = tomlfile.Problems{{Message: v.Cause.Error()}}
	}
	var o outcomeError
	if errors.As(err, &o) {
		f.Error.Reasons = o.Reasons
		f.Error.Winner = o.Winner
		f.Error.Repeated = o.Repeated
	}
	if v.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	w.Header().Set(verdict.Header, v.Verdict.String())
	if v.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	_ = writeJSON(w, v.Status, f)
}

// writeJSON writes v as the response body. It returns an error when v can't be encoded.
func writeJSON[T any](w http.ResponseWriter, status int, v T) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	w.Header().Set("Content-Type", mediaJSON)
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
	return nil
}
