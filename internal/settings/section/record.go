package section

import (
	"fmt"

	"hornbeamwood/internal/settings/tree"
)

// maxSummaryLines is the maximum number of differences that a Winner describes.
const maxSummaryLines = 8

// Record is an accepted edit in the audit trail; immutable.
type Record struct {
	// Revision is the edit's revision.
	Revision uint64 `cbor:"revision" json:"revision"`
	// ID is the edit ID.
	ID string `cbor:"id" json:"edit-id"`
	// Digest is the SHA-256 digest of the edit's content.
	Digest [32]byte `cbor:"digest" json:"-"`
	// Operator is the operator who made the edit.
	Operator string `cbor:"operator" json:"operator"`
	// Base is the revision on which it is based.
	Base uint64 `cbor:"base" json:"base"`
	// Intent is the time at which an entry received it, in nanoseconds since 1970.
	Intent int64 `cbor:"intent" json:"intent"`
	// At is the time at which the control log accepted it, in nanoseconds since 1970.
	At int64 `cbor:"at" json:"at"`
	// Effects are its differences, with the values before and after.
	Effects []tree.Effect `cbor:"effects,omitempty" json:"effects"`
}

// Outcome returns the outcome of the edit when it was first sent.
func (r Record) Outcome() Outcome {
	return Outcome{Kind: Accepted, Revision: r.Revision}
}

// Winner returns the description of r for the operator of a conflicting edit.
func (r Record) Winner() *Winner {
	w := &Winner{Revision: r.Revision, Operator: r.Operator, At: r.At}
	for i, e := range r.Effects {
		if i == maxSummaryLines {
			w.Summary = append(w.Summary, fmt.Sprintf("and %d more", len(r.Effects)-i))
			break
		}
		w.Summary = append(w.Summary, e.String())
	}
	return w
}
