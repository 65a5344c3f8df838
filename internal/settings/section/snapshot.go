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
	i := snapshotState{
		Revision: s.revision,
		Records:  s.history.records,
		Rejected: s.history.rejected,
		Leases:   s.leases,
	}
	t := s.tree
	s.mu.RUnlock()
	i.Branches = t.Branches(tree.RootPath)
	return codec.Marshal(i)
}

// Restore implements state.Section.
func (s *section) Restore(snapshot []byte) error {
	i, err := codec.Unmarshal[snapshotState](snapshot)
	if err != nil {
		return err
	}
	t, err := tree.FromBranches(i.Branches)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = t
	s.revision = i.Revision
	s.history = newHistory(i.Records, i.Rejected)
	s.leases = i.Leases
	return nil
}
