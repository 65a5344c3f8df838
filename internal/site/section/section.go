package section

import (
	"errors"
	"maps"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
)

var errNoQueries = errors.New("site: the section has no queries; read it in the process that holds it")

// Section holds the operator's document and the named versions.
type Section interface {
	state.Section
	// Active returns the document in force and false while there is none.
	Active() (ActiveDocument, bool)
	// TargetVersions returns the named version of each model.
	TargetVersions() map[string]int64
	// TargetVersionTimes returns when each model's version was named by the servers' clock in Unix milliseconds, where that is known.
	TargetVersionTimes() map[string]int64
}

// Config is what a Section is made from.
type Config struct {
	// Changed is called after each change of the state; nil for none.
	Changed func()
}

type section struct {
	config Config
	mu     sync.RWMutex
	// held is the document in force, nil while there is none.
	held     *ActiveDocument
	versions map[string]int64
	namedAt  map[string]int64
}

// image is the snapshot of the section.
type image struct {
	// Held is set in snapshots of earlier releases.
	Held     *Put             `cbor:"held,omitempty"`
	Chunks   *PutChunks       `cbor:"chunks,omitempty"`
	Versions map[string]int64 `cbor:"versions"`
	NamedAt  map[string]int64 `cbor:"named-at,omitempty"`
}

// New returns the empty section.
func New(c Config) Section {
	return &section{config: c, versions: map[string]int64{}, namedAt: map[string]int64{}}
}

// Name implements state.Section.
func (s *section) Name() string {
	return Name
}

// Apply implements state.Section.
func (s *section) Apply(_ time.Time, command []byte) []byte {
	var r Result
	if c, err := codec.Unmarshal[Command](command); err == nil {
		r = s.apply(c)
	}
	if r.Changed {
		s.changed()
	}
	b, err := codec.Marshal(r)
	if err != nil {
		return nil
	}
	return b
}

func (s *section) apply(c Command) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Result{}
	switch {
	case c.Put != nil:
		r = s.putWhole(*c.Put)
	case c.PutChunks != nil:
		r = s.put(*c.PutChunks)
	case c.SetTargetVersion != nil:
		r = s.nameVersion(*c.SetTargetVersion)
	}
	if s.held != nil {
		r.Revision = s.held.Document.Revision
	}
	return r
}

// put takes a document with a higher number than the one in force.
//
// A resend of an accepted document, or one that a higher number has overtaken,
// is answered like the first time and changes nothing: an older document that
// arrives late would otherwise undo a newer one.
func (s *section) put(p PutChunks) Result {
	var before ActiveDocument
	if s.held != nil {
		before = *s.held
	}
	if s.held != nil && p.Revision <= before.Document.Revision {
		return Result{Taken: true}
	}
	encoded, whole := before.fill(p.Document)
	source, sourceWhole := before.fill(p.Source)
	if !whole || !sourceWhole {
		return Result{Taken: true, MissingChunks: true}
	}
	h, err := newHeld(encoded, source)
	if err != nil {
		return Result{}
	}
	s.held = &h
	return Result{Taken: true, Changed: true}
}

// putWhole takes a document as logs of earlier releases hold it.
func (s *section) putWhole(p Put) Result {
	c, err := NewPutChunks(p.Document, p.Source, ActiveDocument{})
	if err != nil {
		return Result{}
	}
	return s.put(c)
}

func (s *section) nameVersion(n SetTargetVersion) Result {
	if n.Model == "" || n.Version <= s.versions[n.Model] {
		return Result{Taken: n.Model != ""}
	}
	s.versions[n.Model] = n.Version
	delete(s.namedAt, n.Model)
	if n.At > 0 {
		s.namedAt[n.Model] = n.At
	}
	return Result{Taken: true, Changed: true}
}

func (s *section) changed() {
	if s.config.Changed != nil {
		s.config.Changed()
	}
}

// Active implements Section.
func (s *section) Active() (ActiveDocument, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.held == nil {
		return ActiveDocument{}, false
	}
	return *s.held, true
}

// TargetVersions implements Section.
func (s *section) TargetVersions() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.versions)
}

// TargetVersionTimes implements Section.
func (s *section) TargetVersionTimes() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.namedAt)
}

// Query implements state.Section.
func (s *section) Query([]byte) ([]byte, error) {
	return nil, errNoQueries
}

// Snapshot implements state.Section.
func (s *section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := image{Versions: s.versions, NamedAt: s.namedAt}
	if s.held != nil {
		i.Chunks = &PutChunks{Revision: s.held.Document.Revision, Document: s.held.Chunks, Source: s.held.source}
	}
	return codec.Marshal(i)
}

// Restore implements state.Section.
func (s *section) Restore(snapshot []byte) error {
	i, err := codec.Unmarshal[image](snapshot)
	if err != nil {
		return err
	}
	held, err := i.held()
	if err != nil {
		return err
	}
	if i.Versions == nil {
		i.Versions = map[string]int64{}
	}
	if i.NamedAt == nil {
		i.NamedAt = map[string]int64{}
	}
	s.mu.Lock()
	s.held, s.versions, s.namedAt = held, i.Versions, i.NamedAt
	s.mu.Unlock()
	s.changed()
	return nil
}

// held returns the document of a snapshot, nil where there is none.
func (i image) held() (*ActiveDocument, error) {
	c := i.Chunks
	if i.Held != nil {
		whole, err := NewPutChunks(i.Held.Document, i.Held.Source, ActiveDocument{})
		if err != nil {
			return nil, err
		}
		c = &whole
	}
	if c == nil {
		return nil, nil
	}
	h, err := newHeld(c.Document, c.Source)
	return &h, err
}
