package completion

import (
	"encoding/binary"
	"time"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/entry/caller"
	"hornbeamwood/internal/policy/suspicion"
)

// job is one caller's request with the state that its attempts share.
type job struct {
	caller.Request
	shared    suspicion.Attributes
	keys      []block.Key
	locations directory.Locations
	excluded  map[string]bool
	attempts  int
}

func (r *router) newJob(q caller.Request) *job {
	scope := block.Scope{
		Workspace:     q.Workspace,
		Model:         q.Model.Name,
		WeightVersion: q.Model.WeightVersion,
		PieceTokens:   q.Model.PieceTokens,
	}
	return &job{
		Request: q,
		shared: suspicion.Attributes{
			Request: FingerprintOf(q.Workspace, q.Model.Name, q.Prompt),
			Parts:   piecesOf(q.Tokens, q.Model.PieceTokens),
		},
		keys:     scope.Tokens(q.Tokens),
		excluded: make(map[string]bool),
	}
}

// remaining returns the time until the caller's deadline.
func (j *job) remaining(now time.Time) time.Duration {
	return j.Rules.Deadline - now.Sub(j.Received)
}

// documentKey returns a number that identifies the prompt's document, and false for a prompt without a complete piece.
//
// The prompts of a workspace often share their first piece, which holds its
// instructions. Identified by that piece, each new document would count as a
// reuse; the number therefore comes from the second piece if there is one.
func (j *job) documentKey() (uint64, bool) {
	if len(j.keys) == 0 {
		return 0, false
	}
	return keyPrefix(j.keys[min(1, len(j.keys)-1)]), true
}

// exclude keeps later attempts away from the server of a failed one.
func (j *job) exclude(a *attempt) {
	j.excluded[a.server.Announcement().Identity] = true
}

func keyPrefix(k block.Key) uint64 {
	return binary.BigEndian.Uint64(k[:])
}
