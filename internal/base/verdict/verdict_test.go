package verdict

import (
	"errors"
	"fmt"
	"testing"
)

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		text, err := v.MarshalText()
		if err != nil {
			t.Fatal(err)
		}
		var got Verdict
		if err := got.UnmarshalText(text); err != nil || got != v {
			t.Errorf("%s: got %s, %v", v, got, err)
		}
	}
	var v Verdict
	if err := v.UnmarshalText([]byte("maybe")); err == nil {
		t.Error("an unknown verdict was accepted")
	}
}

// An error without a verdict, for example from a library, must not be reported as
// NotRun: the caller would resend a request that may have run.
func TestOfDefaultsToMayHaveRun(t *testing.T) {
	if got := Of(errors.New("connection reset")); got != MayHaveRun {
		t.Errorf("plain error: got %s", got)
	}
	if got := Verdict(200).String(); got != MayHaveRun.String() {
		t.Errorf("unknown number: got %s", got)
	}
	wrapped := fmt.Errorf("routing: %w", New(NotRun, 503, "no-server", "no server is ready"))
	if got := Of(wrapped); got != NotRun {
		t.Errorf("wrapped error: got %s", got)
	}
}
