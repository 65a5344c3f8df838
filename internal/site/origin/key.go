package origin

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies the attempt that began a stream, within its caller's workspace.
type Key [16]byte

// NewKey returns the key of an attempt, which may be any text.
//
// A caller that names an attempt of another workspace gets another key, so that it learns nothing of it.
func NewKey(workspace, attempt string) Key {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(workspace)))
	sum := sha256.Sum256(append(append(b, workspace...), attempt...))
	return Key(sum[:len(Key{})])
}
