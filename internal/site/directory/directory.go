package directory

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Directory merges server announcements, which may arrive in any order.
type Directory interface {
	// Merge merges a row. newer is true when it replaced the known one, matters when the change affects routing.
	Merge(s Server) (newer, matters bool)
	// Get returns the row of the newest incarnation of id.
	Get(id string) (Server, bool)
	// All returns every row.
	All() []Server
	// Forget removes a row.
	Forget(id string)
	// Evacuate sets the availability zones whose servers get no requests.
	Evacuate(zones []string)
	// View returns the current view.
	View() *View
}

type directory struct {
	mu        sync.Mutex
	rows      map[string]Server
	evacuated []string
	view      atomic.Pointer[View]
}

// New returns an empty Directory.
func New() Directory {
	d := &directory{rows: map[string]Server{}}
	d.view.Store(newView(nil, nil))
	return d
}

// Merge implements Directory.
func (d *directory) Merge(s Server) (newer, matters bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	other, known := d.rows[s.ID]
	if known && !s.Newer(other) {
		return false, false
	}
	d.rows[s.ID] = s
	if known && s.SameRouting(other) {
		return true, false
	}
	d.view.Store(newView(d.rows, d.evacuated))
	return true, true
}

// Get implements Directory.
func (d *directory) Get(id string) (Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.rows[id]
	return s, ok
}

// All implements Directory.
func (d *directory) All() []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Server, 0, len(d.rows))
	for _, s := range d.rows {
		all = append(all, s)
	}
	return all
}

// Forget implements Directory.
func (d *directory) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.rows, id)
	d.view.Store(newView(d.rows, d.evacuated))
}

// Evacuate implements Directory.
func (d *directory) Evacuate(zones []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.evacuated = slices.Clone(zones)
	d.view.Store(newView(d.rows, d.evacuated))
}

// View implements Directory.
func (d *directory) View() *View {
	return d.view.Load()
}
