package stream

import (
	"strings"
	"testing"
	"time"
)

func TestRead(t *testing.T) {
	whole := `data: {"choices":[{"delta":{"content":"a"}}]}

: a comment
data: {"choices":[],"usage":{"prompt_tokens":8,"prompt_tokens_details":{"cached_tokens":6}},"kv_transfer_params":{"imported-bytes":12}}

data: [DONE]

`
	a, err := Read(strings.NewReader(whole), time.Now())
	if err != nil || !a.Whole || a.Imported != 12 || a.Recomputed() != 0.25 {
		t.Errorf("got %+v, %v", a, err)
	}
	cut, _, _ := strings.Cut(whole, "data: [DONE]")
	if a, err := Read(strings.NewReader(cut), time.Now()); err != nil || a.Whole {
		t.Errorf("a cut stream: %+v, %v", a, err)
	}
	if _, err := Read(strings.NewReader("data: {\n"), time.Now()); err == nil {
		t.Error("an event that is no JSON was passed over")
	}
}
