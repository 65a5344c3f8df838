package stream

import (
	"strings"
	"testing"
	"time"
)

func TestRead(t *testing.T) {
	complete := `data: {"choices":[{"delta":{"content":"a"}}]}

: a comment
data: {"choices":[],"usage":{"prompt_tokens":8,"prompt_tokens_details":{"cached_tokens":6}},"kv_transfer_params":{"imported-bytes":12}}

data: [DONE]

`
	a, err := Read(strings.NewReader(complete), time.Now())
	if err != nil || !a.Complete || a.ImportedBytes != 12 || a.RecomputedShare() != 0.25 {
		t.Errorf("got %+v, %v", a, err)
	}
	truncated, _, _ := strings.Cut(complete, "data: [DONE]")
	if a, err := Read(strings.NewReader(truncated), time.Now()); err != nil || a.Complete {
		t.Errorf("a truncated stream: %+v, %v", a, err)
	}
	if _, err := Read(strings.NewReader("data: {\n"), time.Now()); err == nil {
		t.Error("an event that is not valid JSON was accepted")
	}
}
