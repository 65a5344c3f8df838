package ledger

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is the SHA-256 of a request's method, path with query, and body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of one request.
//
// Each part is preceded by its length. Without it, moving a byte from the path
// to the body would not change the digest, and a different call would get the
// outcome of the first.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var d Digest
	h.Sum(d[:0])
	return d
}
