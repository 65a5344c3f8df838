package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"hornbeamwood/internal/base/verdict"
)

// FuzzCompletionBody checks that each body is either refused as not run or
// forwarded as a JSON object with streaming and the same model and prompt.
func FuzzCompletionBody(f *testing.F) {
	for _, s := range []string{
		chatBody,
		`{"model":"m","prompt":"x","stream":true,"n":2,"max_tokens":7}`,
		`{"model":"m","prompt":["a",[1,2]],"stream_options":{"include_usage":false,"x":1}}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url","image_url":{"url":"u"}}]}]}`,
		`{"model":"m","messages":[{"role":"assistant","content":null,"tool_calls":[{"id":"1"}]}],"stream_options":null}`,
		`{"MODEL":"m"}`, `null`, `[]`, `{`, "\xff",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, p := range []protocol{chatProtocol, textProtocol} {
			checkParse(t, p, b)
		}
	})
}

func checkParse(t *testing.T, p protocol, b []byte) {
	body, err := parseCompletion(p, b)
	if err != nil {
		if e, ok := verdict.As(err); !ok || e.Verdict != verdict.NotRun || e.Status != 400 {
			t.Fatalf("%q: %v", b, err)
		}
		return
	}
	reparsed, err := parseCompletion(p, body.forward)
	if err != nil || !reparsed.stream || !reparsed.usage || reparsed.model != body.model || string(reparsed.prompt) != string(body.prompt) {
		t.Fatalf("%q was forwarded as %q: %v", b, body.forward, err)
	}
	if !json.Valid(body.forward) {
		t.Fatalf("%q was forwarded as %q", b, body.forward)
	}
}

// A body has half a million members. Comparing them with each other would occupy
// a CPU for minutes and delay all other callers of the entry.
func TestBodyOfTooManyMembersIsRefused(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"model":"m","prompt":"x"`)
	for i := range 500_000 {
		fmt.Fprintf(&b, `,"%d":0`, i)
	}
	b.WriteString("}")
	if _, err := parseCompletion(textProtocol, []byte(b.String())); verdict.Of(err) != verdict.NotRun {
		t.Errorf("got %v", err)
	}
}

func TestTokensShareThePrefix(t *testing.T) {
	k := NewByteTokenizer()
	short, long := k.Tokens([]byte("abcdefgh")), k.Tokens([]byte("abcdefghij"))
	if len(short) != 2 || len(long) != 3 || short[0] != long[0] || short[1] != long[1] || len(k.Tokens(nil)) != 0 {
		t.Errorf("got %v and %v", short, long)
	}
}
