package section

import (
	"fmt"

	"hornbeamwood/internal/settings/tomlfile"
)

// OutcomeKind says what became of an edit.
type OutcomeKind string

const (
	// Accepted means that the edit is the tree's newest revision, or was when it was first sent.
	Accepted OutcomeKind = "accepted"
	// Conflict means that another edit had been accepted under the same number; nothing changed.
	Conflict OutcomeKind = "conflict"
	// Refused means that the edit is not valid; nothing changed.
	Refused OutcomeKind = "refused"
	// Reused means that the edit id belongs to an edit with other content; nothing changed.
	Reused OutcomeKind = "reused"
)

// Outcome is what became of an edit.
type Outcome struct {
	// Kind says what became of the edit.
	Kind OutcomeKind `cbor:"kind" json:"outcome"`
	// Revision is the edit's own number when it was accepted, else the newest number at that time.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Repeated says that this is the first outcome of an edit that was sent again.
	Repeated bool `cbor:"repeated,omitempty" json:"repeated"`
	// Winner is the edit that took the number, for Conflict.
	Winner *Winner `cbor:"winner,omitempty" json:"winner,omitempty"`
	// Reasons are what is wrong with the edit, for Refused and Reused.
	Reasons tomlfile.Problems `cbor:"reasons,omitempty" json:"reasons,omitempty"`
}

// Winner is an accepted edit as the one who lost to it sees it.
type Winner struct {
	// Revision is the winner's number.
	Revision uint64 `cbor:"revision" json:"revision"`
	// Operator is the one who made it; empty when the history no longer has it.
	Operator string `cbor:"operator,omitempty" json:"operator,omitempty"`
	// At is when it was accepted, in nanoseconds since 1970.
	At int64 `cbor:"at,omitempty" json:"at,omitempty"`
	// What describes its differences, one line each, the first few.
	What []string `cbor:"what,omitempty" json:"what,omitempty"`
}

func refused(revision uint64, key, format string, args ...any) Outcome {
	return Outcome{
		Kind:     Refused,
		Revision: revision,
		Reasons:  tomlfile.Problems{{Key: key, Message: fmt.Sprintf(format, args...)}},
	}
}
