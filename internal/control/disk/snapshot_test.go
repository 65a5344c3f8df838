package disk_test

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

// The VM crashes during any operation of writing a snapshot, and any part of the
// unsynced data may be on the device. The next start must use the previous
// snapshot or the complete new one, and no entry may be lost.
func TestHalfSnapshotIsNeverUsed(t *testing.T) {
	for fail := range 12 {
		for seed := range uint64(8) {
			crashInSnapshot(t, fail, rand.New(rand.NewPCG(seed, 0)))
		}
	}
}

func crashInSnapshot(t *testing.T, fail int, random *rand.Rand) {
	t.Helper()
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 9))
	save(t, s, 4, "state at four")
	remaining := fail
	files.SetFault(func(faultfile.Operation, string) error {
		remaining--
		if remaining < 0 {
			return syscall.EIO
		}
		return nil
	})
	if err := s.SaveSnapshot(snapshotAt(8, "state at eight")); err == nil {
		_ = s.Compact(8)
	}
	files.Crash(random)
	s = open(t, files)
	got, err := s.LoadSnapshot()
	if err != nil {
		t.Fatalf("failure %d: %v", fail, err)
	}
	if text := string(got.Data); text != "state at four" && text != "state at eight" {
		t.Fatalf("failure %d: loaded a snapshot of %q", fail, text)
	}
	if n := got.Meta.Index + uint64(len(s.State().Entries)); n != 9 {
		t.Fatalf("failure %d: the log ends at %d", fail, n)
	}
}

func snapshotAt(index uint64, text string) raft.Snapshot {
	meta := raft.SnapshotMeta{Index: index, Term: 1}.WithData([]byte(text))
	return raft.Snapshot{Meta: meta, Data: []byte(text)}
}

func save(t *testing.T, s disk.Store, index uint64, text string) {
	t.Helper()
	if err := s.SaveSnapshot(snapshotAt(index, text)); err != nil {
		t.Fatal(err)
	}
	if err := s.Compact(index); err != nil {
		t.Fatal(err)
	}
}

// The log entries that a snapshot covers are removed. If the snapshot is damaged,
// the replica must refuse to start instead of starting from an empty state, which
// would look like a new replica.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 9))
	save(t, s, 8, "state at eight")
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	name := "snapshot-0000000000000008-0000000000000001"
	files.Flip(name, files.Size(name)-2, 3)
	refusedAt(t, files, "flipped bit in a snapshot")
}
