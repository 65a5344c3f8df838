package section

import (
	"crypto/sha256"
	"fmt"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/settings/tree"
)

// BootstrapOperator is the operator of edits made with the bootstrap key, while the tree has no operators.
const BootstrapOperator = "bootstrap"

// maxID is the longest edit id in bytes.
const maxID = 128

// Edit is the section's command: one operator's changes against one revision.
type Edit struct {
	// ID names the edit; a resend carries the same.
	ID string `cbor:"id"`
	// Base is the revision that the operator saw.
	Base uint64 `cbor:"base"`
	// Operator is the name of the one who edits.
	Operator string `cbor:"operator"`
	// Intent is the wall clock of the entry that took the edit, in nanoseconds since 1970.
	Intent int64 `cbor:"intent"`
	// Changes are carried out in their order, all or none.
	Changes []tree.Change `cbor:"changes"`
}

// content is what must be equal in a resend.
type content struct {
	Base     uint64        `cbor:"base"`
	Operator string        `cbor:"operator"`
	Changes  []tree.Change `cbor:"changes"`
}

// contentDigest returns the SHA-256 digest of all but the id and the time of intent.
func (e Edit) contentDigest() ([32]byte, error) {
	b, err := codec.Marshal(content{Base: e.Base, Operator: e.Operator, Changes: e.Changes})
	if err != nil {
		return [32]byte{}, err
	}
	return sha256.Sum256(b), nil
}

// CheckID refuses edit ids that a header or a log line can't carry.
func CheckID(id string) error {
	if id == "" || len(id) > maxID {
		return fmt.Errorf("an edit id has 1 to %d characters", maxID)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return fmt.Errorf("an edit id has printable ASCII characters without spaces only")
		}
	}
	return nil
}
