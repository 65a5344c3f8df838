package chunk

import (
	"crypto/sha256"
	"encoding/hex"
)

const digestBytes = 16 // of a SHA-256: no two chunks share them by accident

// Digest names a chunk by its content.
type Digest [digestBytes]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

func digestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(sum[:digestBytes])
}

// Chunk is a stretch of a text; it is immutable.
type Chunk struct {
	// Chunks travel without the names of their fields.
	_ struct{} `cbor:",toarray"`
	// Digest names the chunk.
	Digest Digest
	// Size is the length of the stretch in bytes.
	Size int
	// Data is the stretch, deflated; empty where the receiver has the chunk.
	Data []byte
}

// WithoutData returns the chunk's name and size alone.
func (c Chunk) WithoutData() Chunk {
	c.Data = nil
	return c
}

// Digests returns the names of the chunks in their order.
func Digests(all []Chunk) []Digest {
	digests := make([]Digest, 0, len(all))
	for _, c := range all {
		digests = append(digests, c.Digest)
	}
	return digests
}
