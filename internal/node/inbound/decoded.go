package inbound

import (
	"bytes"
	"context"
)

const (
	// decodedFactor is what the names and values of a text take once it is decoded, in multiples of its size.
	decodedFactor = 3
	// decodedValueBytes is what a value takes beside its text.
	decodedValueBytes = 256
)

// ReserveDecoded reserves what a body in JSON or TOML takes while it is decoded and used, until its request has ended: a value
// of two bytes takes hundreds. It returns the errors of Reserve, and nil for a short body.
func ReserveDecoded(ctx context.Context, body []byte) error {
	if len(body) <= FreeBodyBytes {
		return nil
	}
	return Reserve(ctx, decodedBytes(body))
}

// decodedBytes bounds what a text in JSON or TOML takes once it is decoded, by the marks that begin or separate its values.
func decodedBytes(text []byte) int64 {
	values := 1
	for _, mark := range "{[:=,." {
		values += bytes.Count(text, []byte(string(mark)))
	}
	return decodedFactor*int64(len(text)) + decodedValueBytes*int64(values)
}
