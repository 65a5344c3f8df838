package disk_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"

	"hornbeamwood/internal/control/disk"
	"hornbeamwood/internal/control/faultfile"
)

// Guards against a replica that votes by a part of its damaged folder, because the process was killed or lost
// power while it set the folder aside.
func TestFolderIsSetAsideWithItsIdentityFirst(t *testing.T) {
	for fail := range 16 {
		for seed := range uint64(40) {
			random := rand.New(rand.NewPCG(seed, 0))
			files, identity := damagedFolder(t)
			remaining := fail
			files.SetFault(func(faultfile.Operation, string) error {
				if remaining--; remaining < 0 {
					return syscall.EIO
				}
				return nil
			})
			_ = disk.SetAside(files)
			if seed%2 == 0 {
				files.Kill()
			} else {
				files.Crash(random)
			}
			files.SetFault(nil)
			s, err := disk.Open(disk.Config{Files: files, Name: "control-1"})
			var damage *disk.Corruption
			if errors.As(err, &damage) {
				if err := disk.SetAside(files); err != nil {
					t.Fatal(err)
				}
				s, err = disk.Open(disk.Config{Files: files, Name: "control-1"})
			}
			if err != nil {
				t.Fatalf("failure %d, seed %d: %v", fail, seed, err)
			}
			if got := s.State(); s.Identity() == identity || len(got.Entries) > 0 || !got.SetAside {
				t.Fatalf("failure %d, seed %d: opened with identity %s, that of the damaged folder is %s, and %d entries", fail, seed, s.Identity(), identity, len(got.Entries))
			}
			if _, err := files.Read("damaged-identity"); err != nil {
				t.Fatalf("failure %d, seed %d: %v", fail, seed, err)
			}
		}
	}
}

// damagedFolder returns a folder with a flipped bit in one of three segments, and its identity.
func damagedFolder(t *testing.T) (files *faultfile.Folder, identity any) {
	t.Helper()
	files = faultfile.New()
	s := founded(t, files)
	identity = s.Identity()
	appendAll(t, s, entries(1, 9))
	save(t, s, 4, "state at four")
	for i := range 2 {
		files.Kill()
		s = open(t, files)
		appendAll(t, s, entries(10+i, 10+i))
	}
	files.Kill()
	name := segments(t, files)[1]
	files.Flip(name, files.Size(name)-2, 3)
	return files, identity
}

// Guards against a damaged or missing file for which a replica ends with an error that doesn't count as damage, so
// that its folder is never set aside, or with none.
func TestDamageOfEachFileIsRecognized(t *testing.T) {
	whole := faultfile.New()
	founded(t, whole)
	whole.Kill()
	s, err := disk.Open(disk.Config{Files: whole, Name: "control-1", SegmentBytes: 200})
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, s, entries(1, 9))
	// The segments of the first entries are removed.
	save(t, s, 4, "state at four")
	names, err := whole.List()
	if err != nil {
		t.Fatal(err)
	}
	all := segments(t, whole)
	newest := all[len(all)-1]
	for _, name := range names {
		for offset := range whole.Size(name) {
			files := faultfile.New()
			copyFiles(t, whole, files)
			files.Flip(name, offset, uint(offset%8))
			refusedAt(t, files, fmt.Sprintf("bit %d of byte %d of %s", offset%8, offset, name))
		}
		if name == newest {
			// What it held can't be known from the other files.
			continue
		}
		files := faultfile.New()
		copyFiles(t, whole, files)
		if err := files.Remove(name); err != nil {
			t.Fatal(err)
		}
		refusedAt(t, files, name+" is missing")
	}
}
