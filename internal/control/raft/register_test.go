package raft_test

import "encoding/binary"

// register is a state machine with one value that is edited against a
// revision: an edit that names another revision than the present one loses.
type register struct {
	revision uint64
	value    uint64
}

// edit is the command: the revision it was made against and the new value.
func edit(revision, value uint64) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, revision), value)
}

// apply returns the present revision and value after the command.
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
