package section

import (
	"errors"
	"maps"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/site/salt"
)

var errNoQueries = errors.New("site: the section supports no queries; its state is read in the replica's process")

// Section holds the operator's document and the target versions.
type Section interface {
	state.Section
	// Active returns the active document, and false while there is none.
	Active() (ActiveDocument, bool)
	// TargetVersions returns the target version of each model.
	TargetVersions() map[string]int64
	// TargetVersionTimes returns when each model's target was set, by the servers' clock in Unix milliseconds, if that is known.
	TargetVersionTimes() map[string]int64
	// Evacuations returns the state of each availability zone for which an order was accepted.
	Evacuations() map[string]Evacuation
	// Software returns the versions of the software that the servers of each service have had lately.
	Software() map[string][]string
	// SoftwareRecorded returns whether the version is among them, or isn't since there are too many.
	SoftwareRecorded(v Software) bool
}

// Config configures a Section.
type Config struct {
	// Changed, if set, is called after each change of the state.
	Changed func()
}

type section struct {
	config Config
	mu     sync.RWMutex
	// active is the active document, nil while there is none.
	active *ActiveDocument
	// sharing decides which workspaces share KV cache with the active document.
	sharing      salt.Sharing
	versions     map[string]int64
	versionTimes map[string]int64
	evacuations  map[string]Evacuation
	software     map[string][]string
}

// snapshot is the encoded state of the section.
type snapshot struct {
	// Put occurs only in snapshots of earlier releases.
	Put          *Put             `cbor:"held,omitempty"`
	PutChunks    *PutChunks       `cbor:"chunks,omitempty"`
	Versions     map[string]int64 `cbor:"versions"`
	VersionTimes map[string]int64 `cbor:"named-at,omitempty"`
	// Evacuations is missing in snapshots of earlier releases.
	Evacuations map[string]Evacuation `cbor:"evacuations,omitempty"`
	// Software is missing in snapshots of earlier releases.
	Software map[string][]string `cbor:"software,omitempty"`
	// Sharing is missing without a document and in snapshots of earlier releases.
	Sharing *salt.Sharing `cbor:"sharing,omitempty"`
}

// New returns the empty section.
func New(c Config) Section {
	return &section{config: c, versions: map[string]int64{}, versionTimes: map[string]int64{}, evacuations: map[string]Evacuation{}, software: map[string][]string{}}
}

// Name implements state.Section.
func (s *section) Name() string {
	return Name
}

// Apply implements state.Section.
func (s *section) Apply(_ time.Time, command []byte) []byte {
	var r Result
	if c, err := codec.UnmarshalCommand[Command](command); err == nil {
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
		r = s.applyPut(*c.Put)
	case c.PutChunks != nil:
		r = s.applyPutChunks(*c.PutChunks)
	case c.SetTargetVersion != nil:
		r = s.setTargetVersion(*c.SetTargetVersion)
	case c.SetEvacuation != nil:
		r = s.setEvacuation(*c.SetEvacuation)
	case c.AddSoftware != nil:
		r = s.addSoftware(*c.AddSoftware)
	case c.RemoveSoftware != nil:
		r = s.removeSoftware(*c.RemoveSoftware)
	}
	if s.active != nil {
		r.Revision = s.active.Document.Revision
	}
	return r
}

// applyPutChunks activates a document with a higher revision than the active one.
//
// A resend of an accepted document, or a document that a higher revision has overtaken,
// is answered like the first time and changes nothing. An older document that
// arrives late would otherwise revert a newer one.
func (s *section) applyPutChunks(p PutChunks) Result {
	var previous ActiveDocument
	if s.active != nil {
		previous = *s.active
	}
	if s.active != nil && p.Revision <= previous.Document.Revision {
		return Result{Accepted: true}
	}
	encoded, encodedComplete := previous.fill(p.Document)
	source, sourceComplete := previous.fill(p.Source)
	if !encodedComplete || !sourceComplete {
		return Result{Accepted: true, MissingChunks: true}
	}
	active, err := newActiveDocument(encoded, source)
	if err != nil {
		return Result{}
	}
	s.sharing = s.sharing.WithDocument(active.Document)
	active.SharedSalt = s.sharing.Text
	s.active = &active
	return Result{Accepted: true, Changed: true}
}

// applyPut activates a document from a log of an earlier release.
func (s *section) applyPut(p Put) Result {
	c, err := NewPutChunks(p.Document, p.Source, ActiveDocument{})
	if err != nil {
		return Result{}
	}
	return s.applyPutChunks(c)
}

func (s *section) setTargetVersion(n SetTargetVersion) Result {
	if n.Model == "" || n.Version <= s.versions[n.Model] {
		return Result{Accepted: n.Model != ""}
	}
	s.versions[n.Model] = n.Version
	delete(s.versionTimes, n.Model)
	if n.At > 0 {
		s.versionTimes[n.Model] = n.At
	}
	return Result{Accepted: true, Changed: true}
}

// setEvacuation accepts an order for a zone unless another one has overtaken it.
//
// An order that changes nothing is counted too: the end of an evacuation whose start is
// still on its way must overtake that start.
func (s *section) setEvacuation(o SetEvacuation) Result {
	before := s.evacuations[o.Zone]
	if o.Zone == "" || o.After != before.Number {
		return Result{Accepted: o.Zone != "", Overtaken: true}
	}
	after := Evacuation{Number: before.Number + 1, Active: o.Active, ChangedAt: before.ChangedAt}
	if o.Active != before.Active {
		after.ChangedAt = o.At
	}
	s.evacuations[o.Zone] = after
	return Result{Accepted: true, Changed: true}
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
	if s.active == nil {
		return ActiveDocument{}, false
	}
	return *s.active, true
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
	return maps.Clone(s.versionTimes)
}

// Evacuations implements Section.
func (s *section) Evacuations() map[string]Evacuation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return maps.Clone(s.evacuations)
}

// Check implements state.Section.
func (s *section) Check(command []byte) error {
	_, err := codec.UnmarshalCommand[Command](command)
	return err
}

// Query implements state.Section.
func (s *section) Query([]byte) ([]byte, error) {
	return nil, errNoQueries
}

// Snapshot implements state.Section.
func (s *section) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snap := snapshot{Versions: s.versions, VersionTimes: s.versionTimes, Evacuations: s.evacuations, Software: s.software}
	if s.active != nil {
		snap.PutChunks = &PutChunks{Revision: s.active.Document.Revision, Document: s.active.Chunks, Source: s.active.source}
		snap.Sharing = &s.sharing
	}
	return codec.Marshal(snap)
}

// Restore implements state.Section.
func (s *section) Restore(data []byte) error {
	snap, err := codec.Unmarshal[snapshot](data)
	if err != nil {
		return err
	}
	active, err := snap.activeDocument()
	if err != nil {
		return err
	}
	if snap.Versions == nil {
		snap.Versions = map[string]int64{}
	}
	if snap.VersionTimes == nil {
		snap.VersionTimes = map[string]int64{}
	}
	if snap.Evacuations == nil {
		snap.Evacuations = map[string]Evacuation{}
	}
	if snap.Software == nil {
		snap.Software = map[string][]string{}
	}
	sharing := snap.sharingOf(active)
	s.mu.Lock()
	s.sharing = sharing
	s.active, s.versions, s.versionTimes, s.evacuations, s.software = active, snap.Versions, snap.VersionTimes, snap.Evacuations, snap.Software
	s.mu.Unlock()
	s.changed()
	return nil
}

// sharingOf returns the sharing of a snapshot with its document, and completes the document.
//
// In snapshots of earlier releases nothing tells which workspaces have shared before, so that a new text begins.
func (s snapshot) sharingOf(active *ActiveDocument) salt.Sharing {
	if active == nil {
		return salt.Sharing{}
	}
	sharing := salt.NewSharing(active.Document)
	if s.Sharing != nil {
		sharing = *s.Sharing
	}
	active.SharedSalt = sharing.Text
	return sharing
}

// activeDocument returns the document of a snapshot, nil when there is none.
func (s snapshot) activeDocument() (*ActiveDocument, error) {
	c := s.PutChunks
	if s.Put != nil {
		whole, err := NewPutChunks(s.Put.Document, s.Put.Source, ActiveDocument{})
		if err != nil {
			return nil, err
		}
		c = &whole
	}
	if c == nil {
		return nil, nil
	}
	active, err := newActiveDocument(c.Document, c.Source)
	return &active, err
}
