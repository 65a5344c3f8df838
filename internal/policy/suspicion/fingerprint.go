package suspicion

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a prompt within one workspace and model.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a prompt; equal prompts of different workspaces or models have
// different fingerprints.
func FingerprintOf(workspace, model string, prompt []byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range []string{workspace, model} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	digest := sha256.Sum256(prompt)
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
