package codec

import (
	"bytes"
	"testing"
)

type sample struct {
	Name  string            `cbor:"name"`
	Count int               `cbor:"count"`
	Tags  map[string]string `cbor:"tags"`
}

// Replicas that encoded equal values to different bytes would compute different
// digests of equal state.
func TestEncodingIsDeterministic(t *testing.T) {
	v := sample{Name: "a", Count: 3, Tags: map[string]string{"x": "1", "y": "2", "b": "3"}}
	first, err := Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		again, err := Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, again) {
			t.Fatal("equal values gave different bytes")
		}
	}
	got, err := UnmarshalStrict[sample](first)
	if err != nil || got.Tags["y"] != "2" || got.Count != 3 {
		t.Fatalf("got %+v, %v", got, err)
	}
}

func TestDecoderRefusesTrailingBytes(t *testing.T) {
	b, err := Marshal(sample{Name: "a"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unmarshal[sample](append(b, 0)); err == nil {
		t.Error("trailing byte accepted")
	}
	if _, err := Unmarshal[sample](b[:len(b)-1]); err == nil {
		t.Error("truncated message accepted")
	}
}
