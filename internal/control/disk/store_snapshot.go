package disk

import (
	"fmt"
	"strings"

	"hornbeamwood/internal/control/raft"
)

// Install implements Store.
func (s *store) Install(snapshot raft.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if err := s.check(s.writeSnapshot(snapshot)); err != nil {
		return err
	}
	return s.reset(snapshot.Meta.Index)
}

// SaveSnapshot implements Store.
func (s *store) SaveSnapshot(snapshot raft.Snapshot) error {
	return s.writeSnapshot(snapshot)
}

// writeSnapshot writes a snapshot and then removes the older ones. A snapshot that isn't newer than the latest is ignored.
func (s *store) writeSnapshot(snapshot raft.Snapshot) error {
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	name := snapshotName(snapshot.Meta)
	if name <= s.latest {
		return nil
	}
	b, err := encodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := writeDocument(s.config.Files, name, b); err != nil {
		return err
	}
	s.latest = name
	return s.removeSnapshots(name)
}

func (s *store) removeSnapshots(latest string) error {
	names, err := s.config.Files.List()
	if err != nil {
		return fmt.Errorf("disk: list snapshots: %w", err)
	}
	for _, n := range names {
		if !strings.HasPrefix(n, snapshotPrefix) || n >= latest {
			continue
		}
		if err := s.config.Files.Remove(n); err != nil {
			return fmt.Errorf("disk: remove the older %s: %w", s.config.Files.Path(n), err)
		}
	}
	return nil
}

// LoadSnapshot implements Store.
func (s *store) LoadSnapshot() (raft.Snapshot, error) {
	s.snapshots.Lock()
	defer s.snapshots.Unlock()
	if s.latest == "" {
		return raft.Snapshot{}, nil
	}
	return readSnapshot(s.config.Files, s.latest)
}
