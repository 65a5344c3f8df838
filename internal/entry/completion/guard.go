package completion

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fingerprint names requests that do the same to a backend server: one workspace, one model, one prompt.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a prompt.
func FingerprintOf(workspace, model string, prompt []byte) Fingerprint {
	h := sha256.New()
	for _, s := range [][]byte{[]byte(workspace), []byte(model), prompt} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(s)))
		_, _ = h.Write(s)
	}
	return Fingerprint(h.Sum(nil))
}

// Guard stops requests that crash the servers that run them.
type Guard interface {
	// Name notes whose request a fingerprint is, for the operators' list.
	Name(f Fingerprint, workspace, model string)
	// Check returns nil when the request may run and otherwise its final refusal.
	Check(now time.Time, f Fingerprint) error
	// Started notes that a server runs the request.
	Started(now time.Time, f Fingerprint, server string)
	// Ended notes that the request has ended at a server, which was lost with it or not.
	Ended(ctx context.Context, now time.Time, f Fingerprint, server string, lost bool)
	// Alone says whether a server runs a suspect request that must not share it.
	Alone(now time.Time, server string) bool
}
