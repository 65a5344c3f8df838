package disk_test

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

func open(t *testing.T, files disk.Files) disk.Store {
	t.Helper()
	s, err := disk.Open(disk.Config{Files: files, Name: "control-1"})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// founded returns an open store with a founding configuration.
func founded(t *testing.T, files disk.Files) disk.Store {
	t.Helper()
	s := open(t, files)
	member := raft.Member{Name: "control-1", Identity: s.Identity(), Address: "10.0.0.1:7000", Voter: true}
	if err := s.SaveFounding(disk.Founding{ID: "f", Configuration: raft.NewConfiguration(member)}); err != nil {
		t.Fatal(err)
	}
	return s
}

func entries(first, last int) []raft.Entry {
	var all []raft.Entry
	for i := first; i <= last; i++ {
		all = append(all, raft.Entry{Index: uint64(i), Term: 1, Data: fmt.Appendf(nil, "edit-%04d", i)})
	}
	return all
}

func appendAll(t *testing.T, s disk.Store, all []raft.Entry) {
	t.Helper()
	for _, e := range all {
		if err := s.Append(&raft.HardState{Term: 1}, []raft.Entry{e}); err != nil {
			t.Fatal(err)
		}
	}
}

// segments returns the names of the log segments.
func segments(t *testing.T, files disk.Files) []string {
	t.Helper()
	names, err := files.List()
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, n := range names {
		if strings.HasPrefix(n, "log-") {
			found = append(found, n)
		}
	}
	return found
}

// refusedAt checks that Open fails with a Corruption that contains the path and the remedy.
func refusedAt(t *testing.T, files disk.Files, what string) {
	t.Helper()
	_, err := disk.Open(disk.Config{Files: files, Name: "control-1"})
	var c *disk.Corruption
	if !errors.As(err, &c) {
		t.Errorf("%s: opened with %v", what, err)
		return
	}
	if !strings.Contains(err.Error(), c.Path) || !strings.Contains(err.Error(), "admit it anew") {
		t.Errorf("%s: the error lacks the file or the remedy: %v", what, err)
	}
}

// A VM loses power during a write. That write was never acknowledged, so the
// replica must start again without help and keep all acknowledged entries.
// Otherwise an operator would replace a healthy disk.
func TestTornTailIsCut(t *testing.T) {
	for cut := 1; cut < 39; cut++ {
		files := faultfile.New()
		s := founded(t, files)
		appendAll(t, s, entries(1, 5))
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		name := segments(t, files)[0]
		files.Cut(name, files.Size(name)-cut)
		s = open(t, files)
		if got := s.State(); len(got.Entries) != 4 || got.TornBytes != int64(39-cut) || got.HardState.Term != 1 {
			t.Fatalf("cut %d: %d entries, %d bytes truncated", cut, len(got.Entries), got.TornBytes)
		}
		appendAll(t, s, entries(5, 6))
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		if got := open(t, files).State(); len(got.Entries) != 6 {
			t.Fatalf("cut %d: %d entries after the repair", cut, len(got.Entries))
		}
	}
}

// One bit of an acknowledged record flips on a failing disk, in the middle or at
// the end, in the data or in the length. The replica must not start. If it
// truncated the log there, it would vote without the entries that it acknowledged,
// and a committed edit could be lost.
func TestFlippedBitIsRefused(t *testing.T) {
	size := 0
	for offset := 0; offset == 0 || offset < size; offset += 3 {
		files := faultfile.New()
		s := founded(t, files)
		appendAll(t, s, entries(1, 5))
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		name := segments(t, files)[0]
		size = files.Size(name)
		files.Flip(name, offset, uint(offset%8))
		refusedAt(t, files, fmt.Sprintf("byte %d of %d", offset, size))
	}
}

// A segment other than the last one is too short, because an operator restored
// part of a folder or the file system lost blocks. Later segments exist, so the
// missing records were acknowledged.
func TestShortOlderSegmentIsRefused(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 5))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, files)
	appendAll(t, s, entries(6, 7))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	name := segments(t, files)[0]
	for _, cut := range []int{3, 39, 78} {
		files.Cut(name, files.Size(name)-cut)
		refusedAt(t, files, fmt.Sprintf("cut by %d", cut))
	}
}

// A write fails half-way because the disk is full. The store must refuse all later
// writes, and once there is free space it must open again with all acknowledged
// entries. If it appended after the incomplete record, the next start would find
// corruption.
func TestFullDiskDoesNoDamage(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 5))
	files.SetFault(func(o faultfile.Operation, _ string) error {
		if o == faultfile.Write {
			return syscall.ENOSPC
		}
		return nil
	})
	if err := s.Append(nil, entries(6, 6)); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("got %v", err)
	}
	files.SetFault(nil)
	if err := s.Append(nil, entries(6, 6)); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("the store accepted a write after a failed one: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if got := open(t, files).State(); len(got.Entries) != 5 {
		t.Errorf("%d entries, 5 were acknowledged", len(got.Entries))
	}
}

// A sync fails. The kernel may have dropped the dirty pages and report success for
// the next sync. A store that retries would acknowledge data that isn't on the
// device.
func TestFailedSyncIsNotTriedAgain(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 5))
	syncs := 0
	files.SetFault(func(o faultfile.Operation, _ string) error {
		if o != faultfile.Sync {
			return nil
		}
		syncs++
		if syncs == 1 {
			return syscall.EIO
		}
		return nil
	})
	for range 3 {
		if err := s.Append(nil, entries(6, 6)); !errors.Is(err, syscall.EIO) {
			t.Errorf("got %v after a failed sync", err)
		}
	}
	if syncs != 1 {
		t.Errorf("%d syncs, want 1", syncs)
	}
}

// An operator confuses two data folders, copies one without its identity, or
// starts a second process on the same one. In each case a replica could act under
// another replica's identity.
func TestWrongFolderIsRefused(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 2))
	if _, err := disk.Open(disk.Config{Files: files, Name: "control-1"}); err == nil {
		t.Error("a second process opened the folder")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, err := disk.Open(disk.Config{Files: files, Name: "control-2"})
	if err == nil || !strings.Contains(err.Error(), `"control-1"`) || !strings.Contains(err.Error(), `"control-2"`) {
		t.Errorf("got %v", err)
	}
	if err := files.Remove("identity"); err != nil {
		t.Fatal(err)
	}
	refusedAt(t, files, "identity missing")
}

// The same on the file system. The lock also works between two opens in one
// process and is released by Close.
func TestFolderOnDisk(t *testing.T) {
	files, err := disk.NewFolder(t.TempDir() + "/data")
	if err != nil {
		t.Fatal(err)
	}
	s := founded(t, files)
	identity := s.Identity()
	appendAll(t, s, entries(1, 3))
	save(t, s, 2, "two")
	if _, err := disk.Open(disk.Config{Files: files, Name: "control-1"}); err == nil {
		t.Error("a second process opened the folder")
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open(t, files)
	got, err := s.LoadSnapshot()
	if err != nil || string(got.Data) != "two" || len(s.State().Entries) != 1 || s.Identity() != identity {
		t.Errorf("got %q, %d entries, %v", got.Data, len(s.State().Entries), err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// The VM loses power right after an acknowledgement and loses all unsynced data,
// with any segment size. All acknowledged data must survive, including the names
// of new files.
func TestAcknowledgedSurvivesPowerLoss(t *testing.T) {
	for _, size := range []int{1, 100, 1 << 20} {
		files := faultfile.New()
		s := founded(t, files)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		s, err := disk.Open(disk.Config{Files: files, Name: "control-1", SegmentBytes: size})
		if err != nil {
			t.Fatal(err)
		}
		identity := s.Identity()
		appendAll(t, s, entries(1, 9))
		files.Crash(nil)
		s = open(t, files)
		got := s.State()
		if s.Identity() != identity || len(got.Entries) != 9 || got.HardState.Term != 1 || got.TornBytes != 0 {
			t.Errorf("segments of %d bytes: identity %s, %d entries, %+v", size, s.Identity(), len(got.Entries), got.HardState)
		}
	}
}
