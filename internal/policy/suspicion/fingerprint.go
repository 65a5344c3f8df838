package suspicion

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies the content of a request within one workspace and target.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request; equal requests of different workspaces or to different
// targets have different fingerprints. The target is the model of a completion, or the resource that a request
// names.
func FingerprintOf(workspace, target string, content []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{workspace, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	digest := sha256.Sum256(content)
	h.Write(digest[:])
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// String returns f in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// Parse returns the fingerprint with the given hexadecimal form, and false for any other text.
func Parse(s string) (Fingerprint, bool) {
	var f Fingerprint
	if hex.DecodedLen(len(s)) != len(f) {
		return f, false
	}
	_, err := hex.Decode(f[:], []byte(s))
	return f, err == nil
}
