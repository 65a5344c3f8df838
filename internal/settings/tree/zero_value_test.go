package tree

import (
	"bytes"
	"math"
	"testing"

	"hornbeamwood/internal/base/codec"
)

// Guards against a change whose encoding, and so its digest, differs after it was decoded: a negative zero isn't encoded.
func TestChangeWithoutAValueIsEncodedAsDecoded(t *testing.T) {
	b, err := codec.Marshal(Change{Path: "/", Value: Value{Float: math.Copysign(0, -1)}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := codec.Unmarshal[Change](b)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := codec.Marshal(c); err != nil || !bytes.Equal(b, again) {
		t.Errorf("%x is encoded as %x, %v", b, again, err)
	}
}
