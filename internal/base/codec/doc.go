// Package codec encodes typed messages as CBOR. Its decoders reject malformed
// input from malicious or faulty peers: duplicate keys, trailing bytes, deep
// nesting and oversized arrays; the strict decoder also rejects unknown fields.
package codec
