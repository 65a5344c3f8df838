package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// serverState is the mutable state of one server.
type serverState struct {
	server *Server
	delay  delayEstimator
}

// shard holds some of the servers; its view is copied on write, so that readers take no lock.
type shard struct {
	mu      sync.Mutex
	servers map[string]*serverState
	view    atomic.Pointer[[]*Server]
}

func newShard() *shard {
	s := &shard{servers: map[string]*serverState{}}
	s.view.Store(&[]*Server{})
	return s
}

func (s *shard) publish() {
	all := make([]*Server, 0, len(s.servers))
	for _, e := range s.servers {
		all = append(all, e.server)
	}
	s.view.Store(&all)
}

// updatedServer returns the record of a server after a newer announcement; old is nil for a new server.
func updatedServer(old *Server, a announcement.Announcement, madeAt time.Time, direct bool) *Server {
	n := &Server{announcement: a, madeAt: madeAt, direct: direct, load: a.Load, loadMeasuredAt: measuredAt(a, madeAt)}
	if old == nil {
		n.key = KeyOf(a.Identity)
		n.digest, n.staticSince = staticDigest(a), madeAt
		return n
	}
	n.key = old.key
	n.digest, n.staticSince = old.digest, old.staticSince
	if !sameStaticPart(&old.announcement, &a) {
		n.digest, n.staticSince = staticDigest(a), madeAt
	}
	if a.Incarnation != old.announcement.Incarnation {
		return n
	}
	if old.madeAt.After(madeAt) {
		n.madeAt = old.madeAt
	}
	if old.announcement.State == announcement.Leaving {
		n.announcement.State = announcement.Leaving
	}
	if old.load.Sequence >= a.Load.Sequence {
		n.load = old.load
		n.loadMeasuredAt = old.loadMeasuredAt
	}
	return n
}

func measuredAt(a announcement.Announcement, madeAt time.Time) time.Time {
	return madeAt.Add(-time.Duration(a.Load.AgeMillis) * time.Millisecond)
}
