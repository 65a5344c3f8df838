package membership

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key is the first eight bytes of the SHA-256 digest of a server's identity, its ID in gossip.
type Key uint64

// prefix returns the upper half of the key, the ID of a server where a collision only makes a count less precise.
func (k Key) prefix() uint32 {
	return uint32(k >> 32)
}

// KeyOf returns the Key of an identity.
func KeyOf(identity string) Key {
	d := sha256.Sum256([]byte(identity))
	return Key(binary.BigEndian.Uint64(d[:8]))
}
