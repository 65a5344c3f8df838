package section

import (
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/settings/tree"
)

// snapshotState is the encoded form of the section's snapshot.
type snapshotState struct {
	Revision uint64        `cbor:"revision"`
	Branches []tree.Branch `cbor:"branches"`
	Records  []Record      `cbor:"records,omitempty"`
	Rejected []rejection   `cbor:"rejected,omitempty"`
	Leases   leases        `cbor:"leases,omitzero"`
}

// Snapshot implements state.Section.
func (s *section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	state := snapshotState{
		Revision: s.revision,
		Records:  s.history.records,
		Rejected: s.history.rejected,
		Leases:   s.leases,
	}
	t := s.tree
	s.mu.RUnlock()
	state.Branches = t.Branches(tree.RootPath)
	return codec.Marshal(state)
}

// Restore implements state.Section.
func (s *section) Restore(snapshot []byte) error {
	state, err := codec.Unmarshal[snapshotState](snapshot)
	if err != nil {
		return err
	}
	t, err := tree.FromBranches(state.Branches)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = t
	s.revision = state.Revision
	s.history = newHistory(state.Records, state.Rejected)
	s.leases = state.Leases
	return nil
}
