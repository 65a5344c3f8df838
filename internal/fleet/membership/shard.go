package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// entry is the changing part of one server's record.
type entry struct {
	server  *Server
	transit transit
}

// shard holds some of the servers; its view is replaced whole, so that readers take no lock.
type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
	view    atomic.Pointer[[]*Server]
}

func newShard() *shard {
	s := &shard{entries: map[string]*entry{}}
	s.view.Store(&[]*Server{})
	return s
}

func (s *shard) publish() {
	all := make([]*Server, 0, len(s.entries))
	for _, e := range s.entries {
		all = append(all, e.server)
	}
	s.view.Store(&all)
}

// next returns the server after a newer announcement; old is nil for a new server.
func next(old *Server, a announcement.Announcement, heard time.Time, direct bool) *Server {
	n := &Server{announcement: a, heard: heard, direct: direct, load: a.Load, loadTaken: taken(a, heard)}
	if old == nil {
		n.key = KeyOf(a.Identity)
		n.form, n.formHeard = formNumber(a), heard
		return n
	}
	n.key = old.key
	n.form, n.formHeard = old.form, old.formHeard
	if !sameForm(&old.announcement, &a) {
		n.form, n.formHeard = formNumber(a), heard
	}
	if a.Incarnation != old.announcement.Incarnation {
		return n
	}
	if old.heard.After(heard) {
		n.heard = old.heard
	}
	if old.announcement.State == announcement.Leaving {
		n.announcement.State = announcement.Leaving
	}
	if old.load.Sequence >= a.Load.Sequence {
		n.load = old.load
		n.loadTaken = old.loadTaken
	}
	return n
}

func taken(a announcement.Announcement, heard time.Time) time.Time {
	return heard.Add(-time.Duration(a.Load.AgeMillis) * time.Millisecond)
}
