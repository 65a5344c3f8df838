package completion

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Fingerprint identifies requests that have the same effect on a backend server: same workspace, model and prompt.
type Fingerprint = suspicion.Fingerprint

// FingerprintOf returns the fingerprint of a prompt.
func FingerprintOf(workspace, model string, prompt []byte) Fingerprint {
	h := sha256.New()
	for _, s := range [][]byte{[]byte(workspace), []byte(model), prompt} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(s)))
		_, _ = h.Write(s)
	}
	return Fingerprint(h.Sum(nil))
}

// Guard refuses requests that crash the servers that run them.
type Guard interface {
	// RecordOwner records the workspace and model of a fingerprint for the list that operators see.
	RecordOwner(f Fingerprint, workspace, model string)
	// Check returns nil when the request may run and otherwise its final refusal.
	Check(now time.Time, f Fingerprint) error
	// Started records that a server runs the request.
	Started(now time.Time, f Fingerprint, server string)
	// Ended records that the request has ended at a server; lost says whether the server was lost with it.
	Ended(ctx context.Context, now time.Time, f Fingerprint, server string, lost bool)
	// RequiresIsolation reports whether a server runs a suspect request, which must not share the server with others.
	RequiresIsolation(now time.Time, server string) bool
}
