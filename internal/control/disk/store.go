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
	// defaultSegmentBytes is the size at which a new segment is started.
	defaultSegmentBytes = 16 << 20
)

// Config holds the data folder to open and the replica that opens it.
type Config struct {
	// Files is the data folder.
	Files Files
	// Name is the replica's name; the folder of another replica is refused.
	Name string
	// Group is the log's number on this VM.
	Group uint32
	// SegmentBytes is the size at which a new segment is started. Default 16 MiB.
	SegmentBytes int
	// Random is the source of random bytes for a new identity. Default crypto/rand.
	Random io.Reader
}

// Store is the durable state of one replica. The snapshot methods may run concurrently with the others.
type Store interface {
	// Identity returns the random identity that was written to this folder when it was blank.
	Identity() raft.Identity
	// Founding returns the founding configuration and whether there is one.
	Founding() (Founding, bool)
	// SaveFounding stores the founding configuration; it fails if there is one already.
	SaveFounding(f Founding) error
	// State returns the content of the folder when it was opened.
	State() State
	// Append stores a hard state, unless it is nil, and entries with one sync.
	Append(hard *raft.HardState, entries []raft.Entry) error
	// Install replaces the snapshot and the complete log.
	Install(s raft.Snapshot) error
	// SaveSnapshot stores a snapshot of applied entries.
	SaveSnapshot(s raft.Snapshot) error
	// LoadSnapshot verifies and returns the latest snapshot; its Index is 0 if there is none.
	LoadSnapshot() (raft.Snapshot, error)
	// Compact removes segments that contain only entries up to index, which a snapshot must cover.
	Compact(index uint64) error
	// Free returns the free space in bytes.
	Free() (uint64, error)
	// RemoveSetAside removes the files of a damaged folder that were set aside, to make room.
	RemoveSetAside() error
	// Close closes the log and unlocks the folder.
	Close() error
}

type store struct {
	config   Config
	lock     io.Closer
	owner    owner
	founding *Founding
	state    State

	// mu guards the log, and snapshots guards the snapshot files. mu is locked before snapshots.
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

// Open locks the folder, reads and verifies all files in it, drops an incomplete last write and makes the rest durable.
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
	s.state.SetAside = isSetAside(names)
	for _, n := range names {
		if !strings.HasSuffix(n, temporary) || strings.HasPrefix(n, setAsidePrefix) {
			continue
		}
		if err := s.config.Files.Remove(n); err != nil {
			return fmt.Errorf("disk: remove the incomplete %s: %w", s.config.Files.Path(n), err)
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

// loadOwner reads the identity, or generates one if the folder is blank.
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
		return fmt.Errorf("disk: generate an identity: %w", err)
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

// SaveFounding implements Store.
func (s *store) SaveFounding(f Founding) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.founding != nil {
		return errors.New("disk: the founding configuration exists already and can't be changed")
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

// RemoveSetAside implements Store.
func (s *store) RemoveSetAside() error {
	names, err := s.config.Files.List()
	if err != nil {
		return fmt.Errorf("disk: data folder: %w", err)
	}
	return removeSetAside(s.config.Files, names)
}

// State implements Store.
func (s *store) State() State {
	return s.state
}

// check records the first error and returns it. After an error nothing more is written.
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
