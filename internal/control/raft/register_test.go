package raft_test

import "encoding/binary"

// register is a state machine with one value and a revision. An edit against
// another revision than the current one has no effect.
type register struct {
	revision uint64
	value    uint64
}

// edit encodes the command that sets value if the register is at revision.
func edit(revision, value uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, revision), value)
}

// apply applies the command and returns the register after it.
func (r *register) apply(command []byte) register {
	if binary.BigEndian.Uint64(command) == r.revision {
		r.revision++
		r.value = binary.BigEndian.Uint64(command[8:])
	}
	return *r
}

func (r *register) snapshot() []byte {
	return edit(r.revision, r.value)
}

func (r *register) restore(b []byte) {
	r.revision, r.value = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
}
