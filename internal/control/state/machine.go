package state

import (
	"fmt"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
)

// Machine applies committed commands to its sections.
type Machine interface {
	// Apply applies the command at the given log index and returns its result, nil if it is malformed or has no section.
	Apply(index uint64, command []byte) []byte
	// Check returns an error if the command is malformed or has no section, so that Apply would change nothing.
	Check(command []byte) error
	// Query answers a section's query from the current state.
	Query(q Query) ([]byte, error)
	// Snapshot returns the state of all sections after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state of all sections.
	Restore(snapshot []byte) error
}

type machine struct {
	mu       sync.Mutex
	at       int64
	sections map[string]Section
}

// New returns a Machine with the given sections, or an error if two sections have the same name.
func New(sections ...Section) (Machine, error) {
	m := &machine{sections: make(map[string]Section, len(sections))}
	for _, s := range sections {
		if _, ok := m.sections[s.Name()]; ok {
			return nil, fmt.Errorf("state: two sections are named %q", s.Name())
		}
		m.sections[s.Name()] = s
	}
	return m, nil
}

// Apply implements Machine.
//
// A leader whose wall clock is behind its predecessor's would move leases and
// expiry times back. The state's time is therefore monotonic.
func (m *machine) Apply(_ uint64, command []byte) []byte {
	c, err := codec.UnmarshalCommand[Command](command)
	if err != nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.at = max(m.at, c.At)
	s, ok := m.sections[c.Section]
	if !ok {
		return nil
	}
	return s.Apply(time.Unix(0, m.at), c.Body)
}

// Check implements Machine.
func (m *machine) Check(command []byte) error {
	c, err := codec.UnmarshalCommand[Command](command)
	if err != nil {
		return err
	}
	s, ok := m.sections[c.Section]
	if !ok {
		return fmt.Errorf("state: no section is named %q", c.Section)
	}
	return s.Check(c.Body)
}

// Query implements Machine.
func (m *machine) Query(q Query) ([]byte, error) {
	s, ok := m.sections[q.Section]
	if !ok {
		return nil, fmt.Errorf("state: no section is named %q", q.Section)
	}
	return s.Query(q.Body)
}

// Snapshot implements Machine.
func (m *machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := image{At: m.at, Sections: make(map[string][]byte, len(m.sections))}
	for n, s := range m.sections {
		b, err := s.Snapshot()
		if err != nil {
			return nil, fmt.Errorf("state: snapshot of %s: %w", n, err)
		}
		i.Sections[n] = b
	}
	return codec.Marshal(i)
}

// Restore implements Machine.
func (m *machine) Restore(snapshot []byte) error {
	i, err := codec.Unmarshal[image](snapshot)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for n, s := range m.sections {
		b, ok := i.Sections[n]
		if !ok {
			continue
		}
		if err := s.Restore(b); err != nil {
			return fmt.Errorf("state: restore %s: %w", n, err)
		}
	}
	m.at = i.At
	return nil
}
