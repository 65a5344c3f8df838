package codec

import (
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxNesting bounds the nesting of arrays and maps, which is far deeper than that of any message.
	maxNesting = 24
	// maxElements bounds the elements of an array or map. Each takes a byte at least, and no message or snapshot
	// has that many bytes.
	maxElements = math.MaxInt32
	// maxCommandElements is maxElements for commands.
	maxCommandElements = 1 << 20
)

var (
	encoder = newEncoder()
	decoder = newDecoder(decoderConfig{text: cbor.UTF8DecodeInvalid, maxElements: maxElements})
	command = newDecoder(decoderConfig{maxElements: maxCommandElements})
	strict  = newDecoder(decoderConfig{unknownFields: cbor.ExtraDecErrorUnknownField, maxElements: maxCommandElements})
)

// ErrMalformed is wrapped by the errors of all decoders.
var ErrMalformed = errors.New("codec: decode")

// decoderConfig is how a decoder differs from the others.
type decoderConfig struct {
	text          cbor.UTF8Mode
	unknownFields cbor.ExtraDecErrorCond
	maxElements   int
}

func newEncoder() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339Nano
	m, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("codec: encoder options: %v", err))
	}
	return m
}

func newDecoder(c decoderConfig) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: c.unknownFields,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxArrayElements:  c.maxElements,
		MaxMapPairs:       c.maxElements,
		MaxNestedLevels:   maxNesting,
		UTF8:              c.text,
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

// Unmarshal returns the value that b encodes and ignores unknown fields, which newer versions may send. Whatever
// Marshal returns can be read, also text that isn't UTF-8.
func Unmarshal[T any](b []byte) (T, error) {
	return unmarshal[T](decoder, b)
}

// UnmarshalCommand is Unmarshal for commands of a replicated log. It rejects text that isn't UTF-8, as earlier
// releases do: all replicas must agree on which commands are malformed.
func UnmarshalCommand[T any](b []byte) (T, error) {
	return unmarshal[T](command, b)
}

// UnmarshalStrict is UnmarshalCommand that rejects unknown fields.
func UnmarshalStrict[T any](b []byte) (T, error) {
	return unmarshal[T](strict, b)
}

func unmarshal[T any](d cbor.DecMode, b []byte) (T, error) {
	var v T
	if err := d.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("%w %T: %w", ErrMalformed, v, err)
	}
	return v, nil
}
