package codec

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder, far above the size of any of the system's messages.
const (
	maxNesting  = 24
	maxElements = 1 << 20
)

var (
	encoder = newEncoder()
	decoder = newDecoder(cbor.ExtraDecErrorNone)
	strict  = newDecoder(cbor.ExtraDecErrorUnknownField)
)

func newEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	m, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("codec: encoder options: %v", err))
	}
	return m
}

func newDecoder(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: extra,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		MaxNestedLevels:   maxNesting,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("codec: decoder options: %v", err))
	}
	return m
}

// Marshal returns the deterministic CBOR encoding of v: equal values give equal bytes on every VM.
func Marshal[T any](v T) ([]byte, error) {
	b, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("codec: encode %T: %w", v, err)
	}
	return b, nil
}

// Unmarshal returns the value that b encodes and ignores unknown fields, which newer versions may send.
func Unmarshal[T any](b []byte) (T, error) {
	var v T
	if err := decoder.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("codec: decode %T: %w", v, err)
	}
	return v, nil
}

// UnmarshalStrict returns the value that b encodes and rejects unknown fields.
func UnmarshalStrict[T any](b []byte) (T, error) {
	var v T
	if err := strict.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("codec: decode %T: %w", v, err)
	}
	return v, nil
}
