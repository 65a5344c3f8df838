package disk_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
	"hornbeamwood/internal/control/raft"
)

// Guards against a start that takes what it reads for durable: a killed process left it in the file without a
// sync, the replica acknowledges or votes by it, and a power loss takes it away.
func TestWhatAStartReadsIsDurable(t *testing.T) {
	for _, power := range []*rand.Rand{nil, rand.New(rand.NewPCG(1, 0))} {
		files := faultfile.New()
		s := founded(t, files)
		appendAll(t, s, entries(1, 5))
		killedBeforeSync(t, files, s)
		s = open(t, files)
		read := s.State()
		if len(read.Entries) != 6 || read.HardState.Term != 2 {
			t.Fatalf("read %d entries and term %d of a file that holds 6 and term 2", len(read.Entries), read.HardState.Term)
		}
		files.Crash(power)
		s, err := disk.Open(disk.Config{Files: files, Name: "control-1"})
		if err != nil {
			t.Errorf("after the power loss: %v", err)
			continue
		}
		if got := s.State(); len(got.Entries) != 6 || got.HardState.Term != 2 {
			t.Errorf("%d entries and term %d are left of those that the start before read", len(got.Entries), got.HardState.Term)
		}
	}
}

// killedBeforeSync writes an entry and a vote of term 2 and kills the process before they are synced.
func killedBeforeSync(t *testing.T, files *faultfile.Folder, s disk.Store) {
	t.Helper()
	files.SetFault(func(o faultfile.Operation, _ string) error {
		if o == faultfile.Sync {
			return syscall.EINTR
		}
		return nil
	})
	if err := s.Append(&raft.HardState{Term: 2, Vote: "other"}, entries(6, 6)); err == nil {
		t.Fatal("the write was acknowledged without a sync")
	}
	files.Kill()
}

// Guards against data that a failed sync has dropped: the kernel keeps it readable and reports success for the
// next sync of that file, so that only a new write makes it durable.
func TestStartAfterFailedSyncWritesAgain(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 5))
	killedBeforeSync(t, files, s)
	name := segments(t, files)[0]
	written := false
	files.SetFault(func(o faultfile.Operation, n string) error {
		written = written || o == faultfile.Write && strings.HasPrefix(n, name)
		return nil
	})
	if got := open(t, files).State(); len(got.Entries) != 6 || !written {
		t.Errorf("read %d entries, written again: %t", len(got.Entries), written)
	}
}

// Guards against a replica that stays down after a power loss because sectors of its last write, which was never
// acknowledged, read as zeros in a file that has its full size.
func TestLastWriteWithMissingSectorsIsCut(t *testing.T) {
	big := strings.Repeat("document ", 500)
	for _, missing := range []string{"first", "middle", "last", "all"} {
		files := faultfile.New()
		s := founded(t, files)
		appendAll(t, s, entries(1, 5))
		name := segments(t, files)[0]
		start := files.Size(name)
		batch := []raft.Entry{{Index: 6, Term: 1, Data: []byte(big)}, {Index: 7, Term: 1, Data: []byte("after")}}
		if err := s.Append(&raft.HardState{Term: 1}, batch); err != nil {
			t.Fatal(err)
		}
		end := files.Size(name)
		switch missing {
		case "first":
			files.Zero(name, start, 512)
		case "middle":
			files.Zero(name, 1024, 1536)
		case "last":
			files.Zero(name, end/512*512, end)
		case "all":
			files.Zero(name, start, end)
		}
		files.Kill()
		s, err := disk.Open(disk.Config{Files: files, Name: "control-1"})
		if err != nil {
			t.Errorf("%s: %v", missing, err)
			continue
		}
		if got := s.State(); len(got.Entries) < 5 || got.TornBytes == 0 {
			t.Errorf("%s: %d entries, %d bytes were cut", missing, len(got.Entries), got.TornBytes)
		}
	}
}

// Guards against a log that is cut in its middle: sectors of an acknowledged write read as zeros, and later writes
// show that it was synced. The replica must not vote without it.
func TestMissingSectorsBeforeLaterWritesAreRefused(t *testing.T) {
	files := faultfile.New()
	s := founded(t, files)
	appendAll(t, s, entries(1, 5))
	name := segments(t, files)[0]
	start := files.Size(name)
	appendAll(t, s, []raft.Entry{{Index: 6, Term: 1, Data: []byte(strings.Repeat("document ", 500))}})
	end := files.Size(name)
	appendAll(t, s, entries(7, 7))
	for _, hole := range [][2]int{{start, 512}, {1024, 1536}, {end / 512 * 512, end}, {start, end}} {
		damaged := faultfile.New()
		copyFiles(t, files, damaged)
		damaged.Zero(name, hole[0], hole[1])
		refusedAt(t, damaged, fmt.Sprintf("zeros in bytes %d to %d", hole[0], hole[1]))
	}
}

func copyFiles(t *testing.T, from, to *faultfile.Folder) {
	t.Helper()
	names, err := from.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		b, err := from.Read(n)
		if err != nil {
			t.Fatal(err)
		}
		f, err := to.Create(n)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	if err := to.Sync(); err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		to.Cut(n, to.Size(n))
	}
}

// Guards against acknowledged state that is lost, and against a replica that its own folder keeps down, after
// kills at any operation, starts on what they left, and losses of power.
func TestFolderSurvivesKillsAndPowerLosses(t *testing.T) {
	failures := map[string]int{}
	for seed := range uint64(4000) {
		if failure := (&history{files: faultfile.New(), random: rand.New(rand.NewPCG(seed, 63))}).run(); failure != "" {
			if failures[failure]++; failures[failure] == 1 {
				t.Logf("seed %d: %s", seed, failure)
			}
		}
	}
	for _, f := range slices.Sorted(maps.Keys(failures)) {
		t.Errorf("%d of 4000 folders: %s", failures[f], f)
	}
}

// history is a series of processes on one folder, and what the last of them knows to be durable.
type history struct {
	files  *faultfile.Folder
	random *rand.Rand
	store  disk.Store
	// identity, term and end are durable: acknowledged, or read by a start.
	identity  raft.Identity
	term, end uint64
	snapshot  uint64
}

// run returns what is wrong after any of a few processes, or "".
func (h *history) run() string {
	for range 6 {
		remaining := h.random.IntN(40)
		h.files.SetFault(func(faultfile.Operation, string) error {
			if remaining--; remaining < 0 {
				return syscall.EIO
			}
			return nil
		})
		if failure := h.start(); failure != "" {
			return failure
		}
		for h.store != nil && h.change() == nil {
		}
		h.store = nil
		h.files.Kill()
		if h.random.IntN(3) == 0 {
			h.files.Crash(h.random)
		}
	}
	h.files.SetFault(nil)
	return h.start()
}

func (h *history) start() string {
	s, err := disk.Open(disk.Config{Files: h.files, Name: "control-1", SegmentBytes: 2000})
	switch {
	case err != nil && strings.Contains(err.Error(), "damaged"):
		_, reason, _ := strings.Cut(err.Error(), "byte ")
		reason, _, _ = strings.Cut(strings.TrimLeft(reason, "0123456789: "), ";")
		return "refused: " + strings.Map(withoutDigits, reason)
	case err != nil && strings.Contains(err.Error(), syscall.EIO.Error()):
		return ""
	case err != nil:
		return err.Error()
	}
	state := s.State()
	end := state.Snapshot.Index + uint64(len(state.Entries))
	switch {
	case h.identity != "" && s.Identity() != h.identity:
		return "another identity"
	case state.HardState.Term < h.term:
		return "an acknowledged term is lost"
	case end < h.end:
		return "acknowledged entries are lost"
	case state.Snapshot.Index < h.snapshot:
		return "a snapshot is lost"
	}
	h.store, h.identity, h.term, h.end, h.snapshot = s, s.Identity(), state.HardState.Term, end, state.Snapshot.Index
	return ""
}

func withoutDigits(r rune) rune {
	if r >= '0' && r <= '9' {
		return '#'
	}
	return r
}

// change makes one random change and returns the error that killed the process.
func (h *history) change() error {
	if _, ok := h.store.Founding(); !ok {
		return h.store.SaveFounding(disk.Founding{ID: "f"})
	}
	switch h.random.IntN(6) {
	case 0:
		if h.end == h.snapshot {
			return nil
		}
		at := h.snapshot + 1 + h.random.Uint64N(h.end-h.snapshot)
		if err := h.store.SaveSnapshot(snapshotAt(at, "state")); err != nil {
			return err
		}
		h.snapshot = at
		return h.store.Compact(at)
	case 1:
		at := h.end + 1 + h.random.Uint64N(3)
		if err := h.store.Install(snapshotAt(at, "state of the leader")); err != nil {
			return err
		}
		h.snapshot, h.end = at, at
		return nil
	case 2:
		if err := h.store.Append(&raft.HardState{Term: h.term + 1, Vote: "other"}, nil); err != nil {
			return err
		}
		h.term++
		return nil
	}
	batch := make([]raft.Entry, 1+h.random.IntN(3))
	for i := range batch {
		batch[i] = raft.Entry{Index: h.end + 1 + uint64(i), Term: 1, Data: make([]byte, h.random.IntN(900))}
		for j := range batch[i].Data {
			batch[i].Data[j] = byte(1 + h.random.IntN(255))
		}
	}
	if err := h.store.Append(nil, batch); err != nil {
		return err
	}
	h.end += uint64(len(batch))
	return nil
}
