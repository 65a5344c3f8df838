// Package codec encodes typed messages as CBOR and refuses what a hostile or
// broken peer could send: duplicate keys, unknown fields, trailing bytes,
// deep nesting and oversized arrays.
package codec
