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

// piecesOf returns the complete pieces of a prompt as parts that other prompts may share, wherever they hold them.
func piecesOf(tokens []uint32, pieceTokens int) []suspicion.Fingerprint {
	if pieceTokens <= 0 {
		return nil
	}
	pieces := make([]suspicion.Fingerprint, 0, min(len(tokens)/pieceTokens, suspicion.MaxParts))
	content := make([]byte, 0, 4*pieceTokens)
	for len(tokens) >= pieceTokens && len(pieces) < suspicion.MaxParts {
		content = content[:0]
		for _, t := range tokens[:pieceTokens] {
			content = binary.BigEndian.AppendUint32(content, t)
		}
		pieces = append(pieces, suspicion.FingerprintOfPart(content))
		tokens = tokens[pieceTokens:]
	}
	return pieces
}

// Run is a request at a server.
type Run struct {
	// Workspace is the caller's workspace.
	Workspace string
	// Attributes are those of the request.
	Attributes suspicion.Attributes
	// Server is the server's identity.
	Server string
	// SentAt is when the request was sent.
	SentAt time.Time
	// Began is set if the server has begun its answer, Answered if it has ended it, and Lost if the server was lost
	// with the request.
	Began, Answered, Lost bool
}

// Guard refuses requests that crash the servers that run them.
type Guard interface {
	// RecordOwner records the workspace and model of a fingerprint for the list that operators see.
	RecordOwner(f Fingerprint, workspace, model string)
	// Check returns nil when the request may run and otherwise its final refusal.
	Check(now time.Time, workspace string, a suspicion.Attributes) error
	// Recheck returns a refusal if the request, which Check has allowed, isn't to be sent to the server now.
	Recheck(now time.Time, workspace string, a suspicion.Attributes, server string) error
	// Started records that a server runs the request.
	Started(now time.Time, f Fingerprint, server string)
	// Ended records that the request has ended at a server.
	Ended(ctx context.Context, now time.Time, r Run)
	// RequiresIsolation reports whether a server runs a suspect request, which must not share the server with others.
	RequiresIsolation(now time.Time, server string) bool
}
