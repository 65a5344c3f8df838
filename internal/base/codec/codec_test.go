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

// Guards against text from outside the system that is sent on and that no peer can read.
func TestTextThatIsNotUTF8IsDecoded(t *testing.T) {
	v := sample{Name: "a\xffb", Tags: map[string]string{"\xfe": "\xc3"}}
	b, err := Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Unmarshal[sample](b)
	if err != nil || got.Name != v.Name || got.Tags["\xfe"] != "\xc3" {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := UnmarshalCommand[sample](b); err == nil {
		t.Error("a command that earlier releases can't read was accepted")
	}
}

// Guards against one element that can't be read keeping all others of a message from its receiver.
func TestUnreadableElementCostsOnlyItself(t *testing.T) {
	b, err := Marshal([]any{sample{Name: "a"}, "odd", 7, sample{Name: "b"}, []int{1}})
	if err != nil {
		t.Fatal(err)
	}
	all, unreadable, err := UnmarshalList[sample](b)
	if err != nil || unreadable != 3 || len(all) != 2 || all[0].Name != "a" || all[1].Name != "b" {
		t.Errorf("got %+v, %d unreadable, %v", all, unreadable, err)
	}
	if _, _, err := UnmarshalList[sample]([]byte{0x61}); err == nil {
		t.Error("a truncated message was accepted")
	}
}
