package lease

import (
	"fmt"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
)

type section struct {
	mu    sync.RWMutex
	image image
}

// image is the encoded form of a snapshot of the section.
type image struct {
	Fencing uint64           `cbor:"fencing"`
	Leases  map[string]Lease `cbor:"leases"`
}

// New returns the empty section of leases.
func New() state.Section {
	return &section{image: image{Leases: map[string]Lease{}}}
}

// Name implements state.Section.
func (s *section) Name() string {
	return Name
}

// Apply implements state.Section.
func (s *section) Apply(at time.Time, command []byte) []byte {
	r := Result{Reason: Malformed}
	if c, err := codec.UnmarshalCommand[Command](command); err == nil {
		s.mu.Lock()
		r = s.apply(at, c)
		s.mu.Unlock()
	}
	b, err := codec.Marshal(r)
	if err != nil {
		return nil
	}
	return b
}

func (s *section) apply(at time.Time, c Command) Result {
	switch {
	case c.Acquire != nil:
		return s.acquire(at, *c.Acquire)
	case c.Renew != nil:
		return s.renew(at, *c.Renew)
	case c.Release != nil:
		return s.release(at, *c.Release)
	}
	return Result{Reason: Malformed}
}

func (s *section) acquire(at time.Time, c Acquire) Result {
	if !nameOK(c.Name) || !nameOK(c.Holder) || !durationOK(c.Duration) {
		return Result{Reason: Malformed}
	}
	l, known := s.image.Leases[c.Name]
	if !known && len(s.image.Leases) >= MaxLeases {
		return Result{Reason: TooMany}
	}
	if l.live(at) && l.Holder != c.Holder {
		return l.refused(Held)
	}
	if l.live(at) {
		return s.extend(l, at, c.Duration).acquired()
	}
	s.image.Fencing++
	n := Lease{
		Name:    c.Name,
		Holder:  c.Holder,
		Fencing: s.image.Fencing,
		Note:    l.Note,
	}
	if known && !l.Released {
		n.Wait = l.Duration
	}
	return s.extend(n, at, c.Duration).acquired()
}

func (s *section) extend(l Lease, at time.Time, d time.Duration) Lease {
	l.Duration = d
	l.Expires = at.Add(d).UnixNano()
	s.image.Leases[l.Name] = l
	return l
}

func (s *section) renew(at time.Time, c Renew) Result {
	if !durationOK(c.Duration) || len(c.Note) > MaxNoteBytes {
		return Result{Reason: Malformed}
	}
	l := s.image.Leases[c.Name]
	if !l.live(at) || l.Holder != c.Holder || l.Fencing != c.Fencing {
		return l.refused(Lost)
	}
	if c.NoteVersion > l.NoteVersion {
		l.Note = c.Note
		l.NoteVersion = c.NoteVersion
	}
	return s.extend(l, at, c.Duration).granted()
}

func (s *section) release(at time.Time, c Release) Result {
	l := s.image.Leases[c.Name]
	if l.Holder != c.Holder || l.Fencing != c.Fencing || c.Fencing == 0 {
		return l.refused(Lost)
	}
	// An expired lease can't be released: its holder may have given orders after the expiry.
	if !l.Released && !l.live(at) {
		return l.refused(Lost)
	}
	l.Released = true
	s.image.Leases[c.Name] = l
	return l.granted()
}

func nameOK(s string) bool {
	return len(s) > 0 && len(s) <= MaxNameBytes
}

func durationOK(d time.Duration) bool {
	return d > 0 && d <= MaxDuration
}

// Check implements state.Section.
func (s *section) Check(command []byte) error {
	_, err := codec.UnmarshalCommand[Command](command)
	return err
}

// Query implements state.Section.
func (s *section) Query(query []byte) ([]byte, error) {
	q, err := codec.Unmarshal[Query](query)
	if err != nil {
		return nil, err
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.image.Leases[q.Name]
	return codec.Marshal(Answer{Known: ok, Lease: l})
}

// Snapshot implements state.Section.
func (s *section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return codec.Marshal(s.image)
}

// Restore implements state.Section.
func (s *section) Restore(snapshot []byte) error {
	i, err := codec.Unmarshal[image](snapshot)
	if err != nil {
		return err
	}
	for n, l := range i.Leases {
		if l.Fencing > i.Fencing {
			return fmt.Errorf("lease: snapshot: %s has fencing number %d above %d", n, l.Fencing, i.Fencing)
		}
	}
	if i.Leases == nil {
		i.Leases = map[string]Lease{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.image = i
	return nil
}
