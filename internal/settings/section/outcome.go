package section

import (
	"fmt"

	"hornbeamwood/internal/settings/tomlfile"
)

// OutcomeKind is the kind of an Outcome.
type OutcomeKind string

const (
	// Accepted means that the edit became a new revision of the tree, now or when it was first sent.
	Accepted OutcomeKind = "accepted"
	// Conflict means that another edit with the same base revision was accepted before; nothing changed.
	Conflict OutcomeKind = "conflict"
	// Refused means that the edit is not valid; nothing changed.
	Refused OutcomeKind = "refused"
	// Reused means that the edit ID belongs to an edit with other content; nothing changed.
	Reused OutcomeKind = "reused"
)

// Outcome is the result of an edit.
type Outcome struct {
	// Kind is the kind of the outcome.
	Kind OutcomeKind `cbor:"kind" json:"outcome"`
	// Revision is the edit's own revision if it was accepted, else the newest revision at that time.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Repeated reports whether this is the first outcome of an edit that was resent.
	Repeated bool `cbor:"repeated,omitempty" json:"repeated"`
	// Winner is the edit that was accepted instead, for Conflict.
	Winner *Winner `cbor:"winner,omitempty" json:"winner,omitempty"`
	// Reasons are the problems of the edit, for Refused and Reused.
	Reasons tomlfile.Problems `cbor:"reasons,omitempty" json:"reasons,omitempty"`
}

// Winner describes an accepted edit to the operator of a conflicting one.
type Winner struct {
	// Revision is the revision of the accepted edit.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Operator is the operator who made it, empty if the history no longer has the edit.
	Operator string `cbor:"operator,omitempty" json:"operator,omitempty"`
	// At is the time at which it was accepted, in nanoseconds since 1970.
	At int64 `cbor:"at,omitempty" json:"at,omitempty"`
	// Summary describes its first few differences, one line each.
	Summary []string `cbor:"what,omitempty" json:"what,omitempty"`
}

func refused(revision uint64, key, format string, args ...any) Outcome {
	return Outcome{
		Kind:     Refused,
		Revision: revision,
		Reasons:  tomlfile.Problems{{Key: key, Message: fmt.Sprintf(format, args...)}},
	}
}
