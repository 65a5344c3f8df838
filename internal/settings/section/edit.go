package section

import (
	"crypto/sha256"

	"hornbeamwood/internal/base/check"
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/settings/tree"
)

// BootstrapOperator is the operator name of edits made with the bootstrap key, which is valid while the tree has no operators.
const BootstrapOperator = "bootstrap"

// maxID is the maximum length of an edit ID in bytes.
const maxID = 128

// Edit is the section's command: one operator's changes based on one revision.
type Edit struct {
	// ID identifies the edit; a resent edit has the same ID.
	ID string `cbor:"id"`
	// Base is the revision that the operator saw when making the edit.
	Base uint64 `cbor:"base"`
	// Operator is the operator's name.
	Operator string `cbor:"operator"`
	// Intent is the wall-clock time at which an entry received the edit, in nanoseconds since 1970.
	Intent int64 `cbor:"intent"`
	// Changes are applied atomically, in order.
	Changes []tree.Change `cbor:"changes"`
}

// content is the part of an edit that must be equal when it is resent.
type content struct {
	Base     uint64        `cbor:"base"`
	Operator string        `cbor:"operator"`
	Changes  []tree.Change `cbor:"changes"`
}

// contentDigest returns the SHA-256 digest of all fields except ID and Intent.
func (e Edit) contentDigest() ([32]byte, error) {
	b, err := codec.Marshal(content{Base: e.Base, Operator: e.Operator, Changes: e.Changes})
	if err != nil {
		return [32]byte{}, err
	}
	return sha256.Sum256(b), nil
}

// CheckID rejects edit IDs that can't be written to a header or a log line.
func CheckID(id string) error {
	return check.ID("the edit id", id, maxID)
}
