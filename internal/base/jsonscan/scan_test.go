package jsonscan

import (
	"encoding/json"
	"slices"
	"testing"
)

// members returns the members of an object; as in the standard library, the last one of equal names is kept.
func members(text []byte) (map[string]string, error) {
	found := map[string]string{}
	err := Members(text, func(name, value []byte) error {
		found[string(name)] = string(value)
		return nil
	})
	return found, err
}

func compare(t *testing.T, text []byte) {
	found, err := members(text)
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

// The scanner must return the same members as the decoder of the standard library.
// An event with wrong members could be attributed to another attempt.
func TestScanAgreesWithDecoder(t *testing.T) {
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
