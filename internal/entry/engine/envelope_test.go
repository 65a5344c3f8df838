package engine

import (
	"encoding/json"
	"testing"
)

// standardEnvelope is the envelope as encoding/json decodes it.
type standardEnvelope struct {
	Choices []struct {
		Index        int     `json:"index"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Tag struct {
		Request  string `json:"request"`
		Attempt  string `json:"attempt"`
		Position int    `json:"position"`
	} `json:"hornbeamwood"`
}

// The fast decoder must find the same attempt, position and finish markers as
// encoding/json; an event that it misread could be forwarded wrongly.
func TestEnvelopeMatchesEncodingJSON(t *testing.T) {
	e := newEnvelope()
	for _, s := range []string{
		`{"choices":[{"index":0,"delta":{"content":"a"},"finish_reason":null}],"hornbeamwood":{"request":"r","attempt":"a","position":1}}`,
		`{"hornbeamwood":{"position":7,"attempt":"\u0061","request":"r\"","x":[]},"choices":[{"finish_reason":"stop","index":3},{"index":4}]}`,
		`{"choices":[],"usage":{"choices":[{"index":9}]},"hornbeamwood":{"request":"r","attempt":"a","position":2}}`,
		`{"choices":null,"hornbeamwood":{"request":"r","attempt":"a","position":-2}}`,
		`{}`,
	} {
		var want standardEnvelope
		if err := json.Unmarshal([]byte(s), &want); err != nil {
			t.Fatal(err)
		}
		if err := e.decode([]byte(s)); err != nil {
			t.Fatalf("%s: %v", s, err)
		}
		got := e.tag
		if string(got.request) != want.Tag.Request || string(got.attempt) != want.Tag.Attempt || got.position != want.Tag.Position || len(e.choices) != len(want.Choices) {
			t.Fatalf("%s: got %+v", s, e)
		}
		for i, c := range want.Choices {
			if e.choices[i].index != c.Index || e.choices[i].finished != (c.FinishReason != nil) {
				t.Errorf("%s: choice %d is %+v", s, i, e.choices[i])
			}
		}
	}
	twice := `{"choices":[{"index":1,"finish_reason":"a"}],"choices":[{"index":2}]}`
	if err := e.decode([]byte(twice)); err != nil || len(e.choices) != 1 || e.choices[0] != (choice{index: 2}) {
		t.Errorf("of two lists the last must count: %+v, %v", e.choices, err)
	}
	for _, s := range []string{``, `[]`, `{"choices":7}`, `{"hornbeamwood":[]}`, `{"hornbeamwood":{"position":1.5}}`, `{"hornbeamwood":{"attempt":1}}`, `{"choices":[{"index":"0"}]}`, `{"a":1}x`} {
		if err := e.decode([]byte(s)); err == nil {
			t.Errorf("%s was accepted", s)
		}
	}
}
