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
	// Held returns the document in force and false while there is none.
	Held() (Held, bool)
	// Versions returns the named version of each model.
	Versions() map[string]int64
	// NamedAt returns when each model's version was named by the servers' clock in Unix milliseconds, where that is known.
	NamedAt() map[string]int64
}

// Config is what a Section is made from.
type Config struct {
	// Changed is called after each change of the state; nil for none.
	Changed func()
}

type section struct {
	config Config
	mu     sync.RWMutex
	image  image
}

// image is the snapshot of the section.
type image struct {
	Held     *Held            `cbor:"held,omitempty"`
	Versions map[string]int64 `cbor:"versions"`
	NamedAt  map[string]int64 `cbor:"named-at,omitempty"`
}

// New returns the empty section.
func New(c Config) Section {
	return &section{config: c, image: image{Versions: map[string]int64{}, NamedAt: map[string]int64{}}}
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
		r = s.put(*c.Put)
	case c.NameVersion != nil:
		r = s.nameVersion(*c.NameVersion)
	}
	if s.image.Held != nil {
		r.Number = s.image.Held.Document.Number
	}
	return r
}

// put takes a document with a higher number than the one in force.
//
// A resend of an accepted document, or one that a higher number has overtaken,
// is answered like the first time and changes nothing: an older document that
// arrives late would otherwise undo a newer one.
func (s *section) put(p Put) Result {
	if s.image.Held != nil && p.Document.Number <= s.image.Held.Document.Number {
		return Result{Taken: true}
	}
	s.image.Held = &Held{Document: p.Document, Source: p.Source}
	return Result{Taken: true, Changed: true}
}

func (s *section) nameVersion(n NameVersion) Result {
	if n.Model == "" || n.Version <= s.image.Versions[n.Model] {
		return Result{Taken: n.Model != ""}
	}
	s.image.Versions[n.Model] = n.Version
	delete(s.image.NamedAt, n.Model)
	if n.At > 0 {
		s.image.NamedAt[n.Model] = n.At
	}
	return Result{Taken: true, Changed: true}
}

func (s *section) changed() {
	if s.config.Changed != nil {
		s.config.Changed()
	}
}

// Held implements Section.
func (s *section) Held() (Held, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.image.Held == nil {
		return Held{}, false
	}
	return *s.image.Held, true
}

// Versions implements Section.
func (s *section) Versions() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.image.Versions)
}

// NamedAt implements Section.
func (s *section) NamedAt() map[string]int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.image.NamedAt)
}

// Query implements state.Section.
func (s *section) Query([]byte) ([]byte, error) {
	return nil, errNoQueries
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
	if i.Versions == nil {
		i.Versions = map[string]int64{}
	}
	if i.NamedAt == nil {
		i.NamedAt = map[string]int64{}
	}
	s.mu.Lock()
	s.image = i
	s.mu.Unlock()
	s.changed()
	return nil
}
