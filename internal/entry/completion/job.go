package completion

import (
	"encoding/binary"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/entry/caller"
)

// job is one caller's request with the state that its attempts share.
type job struct {
	caller.Request
	fingerprint Fingerprint
	keys        []block.Key
	locations   directory.Locations
	excluded    map[string]bool
	attempts    int
}

func (r *router) newJob(q caller.Request) *job {
	scope := block.Scope{
		Workspace:     q.Workspace,
		Model:         q.Model.Name,
		WeightVersion: q.Model.WeightVersion,
		PieceTokens:   q.Model.PieceTokens,
	}
	return &job{
		Request:     q,
		fingerprint: FingerprintOf(q.Workspace, q.Model.Name, q.Prompt),
		keys:        scope.Tokens(q.Tokens),
		excluded:    make(map[string]bool),
	}
}

// remaining returns the time until the caller's deadline.
func (q *job) remaining(now time.Time) time.Duration {
	return q.Rules.Deadline - now.Sub(q.Received)
}

// documentKey returns a number that identifies the prompt's documentKey, and false for a prompt without a complete piece.
//
// The prompts of a workspace often share their first piece, which holds its
// instructions. Identified by that piece, each new documentKey would count as a
// reuse; the number therefore comes from the second piece if there is one.
func (q *job) documentKey() (uint64, bool) {
	if len(q.keys) == 0 {
		return 0, false
	}
	return keyPrefix(q.keys[min(1, len(q.keys)-1)]), true
}

// exclude keeps later attempts away from the server of a failed one.
func (q *job) exclude(a *attempt) {
	q.excluded[a.server.Announcement().Identity] = true
}

func keyPrefix(k block.Key) uint64 {
	return binary.BigEndian.Uint64(k[:])
}
