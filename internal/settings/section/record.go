package section

import (
	"fmt"

	"hornbeamwood/internal/settings/tree"
)

// maxWhat is how many differences a Winner describes.
const maxWhat = 8

// Record is one accepted edit in the audit trail; it is never changed.
type Record struct {
	// Revision is the edit's number.
	Revision uint64 `cbor:"revision" json:"revision"`
	// ID is the edit id.
	ID string `cbor:"id" json:"edit-id"`
	// Digest is the SHA-256 digest of the edit's content.
	Digest [32]byte `cbor:"digest" json:"-"`
	// Operator is the one who made it.
	Operator string `cbor:"operator" json:"operator"`
	// Base is the revision against which it was made.
	Base uint64 `cbor:"base" json:"base"`
	// Intent is when an entry took it, in nanoseconds since 1970.
	Intent int64 `cbor:"intent" json:"intent"`
	// At is when the control log accepted it, in nanoseconds since 1970.
	At int64 `cbor:"at" json:"at"`
	// Effects are the differences that it made, with the values before and after.
	Effects []tree.Effect `cbor:"effects,omitempty" json:"effects"`
}

// Outcome returns the outcome that the edit had when it was first sent.
func (r Record) Outcome() Outcome {
	return Outcome{Kind: Accepted, Revision: r.Revision}
}

// Winner returns r as the one who lost to it sees it.
func (r Record) Winner() *Winner {
	w := &Winner{Revision: r.Revision, Operator: r.Operator, At: r.At}
	for i, e := range r.Effects {
		if i == maxWhat {
			w.What = append(w.What, fmt.Sprintf("and %d more", len(r.Effects)-i))
			break
		}
		w.What = append(w.What, e.String())
	}
	return w
}
