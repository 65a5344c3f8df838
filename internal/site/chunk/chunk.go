package chunk

import (
	"crypto/sha256"
	"encoding/hex"
)

const digestBytes = 16 // the first bytes of a SHA-256, enough to rule out accidental collisions

// Digest identifies a chunk by its content.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

func digestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(sum[:digestBytes])
}

// Chunk is a section of a text; it is immutable.
type Chunk struct {
	// Chunks are encoded without field names.
	_ struct{} `cbor:",toarray"`
	// Digest identifies the chunk.
	Digest Digest
	// Size is the uncompressed length of the section in bytes.
	Size int
	// Data is the section, compressed with DEFLATE; empty when the receiver has the chunk.
	Data []byte
}

// WithoutData returns the chunk with only its digest and size.
func (c Chunk) WithoutData() Chunk {
	c.Data = nil
	return c
}

// Digests returns the digests of the chunks in order.
func Digests(all []Chunk) []Digest {
	digests := make([]Digest, 0, len(all))
	for _, c := range all {
		digests = append(digests, c.Digest)
	}
	return digests
}
