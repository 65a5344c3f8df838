package disk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"sync"

	"hornbeamwood/internal/control/raft"
)

const (
	lockName     = "lock"
	ownerName    = "identity"
	foundingName = "founding"
	// defaultSegmentBytes is the size at which a new segment is begun.
	defaultSegmentBytes = 16 << 20
)

// Config says which data folder to open and for whom.
type Config struct {
	// Files is the data folder.
	Files Files
	// Name is the replica's name; a folder of another one is refused.
	Name string
	// Group is the log's number on this VM.
	Group uint32
	// SegmentBytes is the size at which a new segment is begun. Default 16 MiB.
	SegmentBytes int
	// Random is where a new identity comes from. Default crypto/rand.
	Random io.Reader
}

// Store keeps one replica's state. Snapshot methods may run beside the others.
type Store interface {
	// Identity returns the random identity that this folder got when it was blank.
	Identity() raft.Identity
	// Founding returns the founding configuration and whether there is one.
	Founding() (Founding, bool)
	// Found keeps the founding configuration; it is kept once and never changed.
	Found(f Founding) error
	// State returns what the folder held when it was opened.
	State() State
	// Append keeps a hard state, unless nil, and entries, with one sync.
	Append(hard *raft.HardState, entries []raft.Entry) error
	// Install replaces the snapshot and the whole log.
	Install(s raft.Snapshot) error
	// SaveSnapshot keeps a snapshot of applied entries.
	SaveSnapshot(s raft.Snapshot) error
	// LoadSnapshot returns the latest snapshot, checked; Index 0 when there is none.
	LoadSnapshot() (raft.Snapshot, error)
	// Compact removes segments whose entries all have an index up to the given one, which a snapshot holds.
	Compact(index uint64) error
	// Free returns how many bytes can still be written.
	Free() (uint64, error)
	// Close releases the folder.
	Close() error
}

type store struct {
	config   Config
	lock     io.Closer
	owner    owner
	founding *Founding
	state    State

	// mu guards the log, snapshots the snapshot files; log before snapshots.
	mu        sync.Mutex
	file      File
	number    uint64
	written   int
	hard      raft.HardState
	after     uint64
	end       uint64
	segments  []segment
	buffer    []byte
	scratch   []byte
	failed    error
	snapshots sync.Mutex
	latest    string
}

// Open locks the folder, reads and checks everything in it and cuts off an unfinished last write.
func Open(c Config) (Store, error) {
	if c.SegmentBytes == 0 {
		c.SegmentBytes = defaultSegmentBytes
	}
	if c.Random == nil {
		c.Random = rand.Reader
	}
	lock, err := c.Files.Lock(lockName)
	if err != nil {
		return nil, err
	}
	s := &store{config: c, lock: lock}
	if err := s.load(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return s, nil
}

func (s *store) load() error {
	names, err := s.config.Files.List()
	if err != nil {
		return fmt.Errorf("disk: data folder: %w", err)
	}
	for _, n := range names {
		if !strings.HasSuffix(n, temporary) {
			continue
		}
		if err := s.config.Files.Remove(n); err != nil {
			return fmt.Errorf("disk: remove the unfinished %s: %w", s.config.Files.Path(n), err)
		}
	}
	if err := s.loadOwner(names); err != nil {
		return err
	}
	if err := s.loadFounding(names); err != nil {
		return err
	}
	return s.loadLog(names)
}

// loadOwner reads the identity, or draws one when the folder is blank.
func (s *store) loadOwner(names []string) error {
	o, err := readValue[owner](s.config.Files, ownerName)
	if errors.Is(err, fs.ErrNotExist) {
		return s.newOwner(names)
	}
	if err != nil {
		return err
	}
	if o.Name != s.config.Name || o.Group != s.config.Group {
		return fmt.Errorf("disk: %s belongs to replica %q group %d, not to %q group %d; check the folder in the node file",
			s.config.Files.Path(""), o.Name, o.Group, s.config.Name, s.config.Group)
	}
	s.owner = o
	return nil
}

func (s *store) newOwner(names []string) error {
	for _, n := range names {
		if n == foundingName || strings.HasPrefix(n, segmentPrefix) || n == latestSnapshot(names) {
			return &Corruption{Path: s.config.Files.Path(ownerName), Reason: "the identity is missing beside " + n}
		}
	}
	b := make([]byte, 8)
	if _, err := io.ReadFull(s.config.Random, b); err != nil {
		return fmt.Errorf("disk: draw an identity: %w", err)
	}
	s.owner = owner{Name: s.config.Name, Identity: raft.Identity(hex.EncodeToString(b)), Group: s.config.Group}
	return writeValue(s.config.Files, ownerName, s.owner)
}

func (s *store) loadFounding(names []string) error {
	f, err := readValue[Founding](s.config.Files, foundingName)
	if errors.Is(err, fs.ErrNotExist) {
		if latestSnapshot(names) != "" {
			return &Corruption{Path: s.config.Files.Path(foundingName), Reason: "the founding configuration is missing beside " + latestSnapshot(names)}
		}
		return nil
	}
	if err != nil {
		return err
	}
	s.founding = &f
	return nil
}

// Identity implements Store.
func (s *store) Identity() raft.Identity {
	return s.owner.Identity
}

// Founding implements Store.
func (s *store) Founding() (Founding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.founding == nil {
		return Founding{}, false
	}
	return *s.founding, true
}

// Found implements Store.
func (s *store) Found(f Founding) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.founding != nil {
		return errors.New("disk: the founding configuration is never changed")
	}
	if err := s.check(writeValue(s.config.Files, foundingName, f)); err != nil {
		return err
	}
	s.founding = &f
	return nil
}

// Free implements Store.
func (s *store) Free() (uint64, error) {
	return s.config.Files.Free()
}

// State implements Store.
func (s *store) State() State {
	return s.state
}

// check keeps the first error: after it nothing more is written.
func (s *store) check(err error) error {
	if s.failed == nil && err != nil {
		s.failed = err
	}
	return s.failed
}

// Close implements Store.
func (s *store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	s.check(errClosed)
	return errors.Join(err, s.lock.Close())
}
