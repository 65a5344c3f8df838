package jsonscan

import (
	"encoding/json"
	"slices"
	"testing"
)

// walk returns the members of an object in the manner of the standard library: the last of equal names wins.
func walk(text []byte) (map[string]string, error) {
	found := map[string]string{}
	err := Members(text, func(name, value []byte) error {
		found[string(name)] = string(value)
		return nil
	})
	return found, err
}

func compare(t *testing.T, text []byte) {
	found, err := walk(text)
	if !json.Valid(text) {
		return
	}
	var want map[string]json.RawMessage
	if json.Unmarshal(text, &want) != nil || want == nil {
		compareArray(t, text)
		return
	}
	if err != nil || len(found) != len(want) {
		t.Fatalf("%q: got %q, %v", text, found, err)
	}
	for n, v := range want {
		if found[n] != string(v) {
			t.Fatalf("%q: member %q is %q instead of %q", text, n, found[n], v)
		}
	}
}

func compareArray(t *testing.T, text []byte) {
	var want []json.RawMessage
	if json.Unmarshal(text, &want) != nil || want == nil {
		return
	}
	var found []string
	err := Elements(text, func(v []byte) error {
		found = append(found, string(v))
		return nil
	})
	var names []string
	for _, v := range want {
		names = append(names, string(v))
	}
	if err != nil || !slices.Equal(found, names) {
		t.Fatalf("%q: got %q, %v", text, found, err)
	}
}

var samples = []string{
	`{}`, ` { "a" : 1 , "b":"x\"y\\" , "a":[{"c":"]}"}] } `, `[1,"a",{"b":[]},null,true]`, `{"\u0061\\":1}`,
	`{"a":"\\"}`, `{"a":"\\\""}`, `[]`, `null`, `{`, `{"a"}`, `{"a":}`, `[,]`, `{"a":1,}`, "{\"\xff\":\"\xff\"}", `"`, ``,
}

// The walk must see what the decoder of the standard library sees: an event
// whose members it misread could pass for one of another attempt.
func TestWalkAgreesWithTheDecoder(t *testing.T) {
	for _, s := range samples {
		compare(t, []byte(s))
	}
}

func FuzzMembers(f *testing.F) {
	for _, s := range samples {
		f.Add([]byte(s))
	}
	f.Fuzz(compare)
}
