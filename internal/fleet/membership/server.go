package membership

import (
	"slices"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Server is what is known of one backend server; it is never changed after it was built.
type Server struct {
	announcement announcement.Announcement
	key          Key
	form         uint64
	formHeard    time.Time
	heard        time.Time
	// direct says that the newest announcement came from the server itself.
	direct    bool
	load      announcement.Load
	loadTaken time.Time
}

// Announcement returns the newest announcement; the caller must not change its slices.
func (s *Server) Announcement() announcement.Announcement {
	return s.announcement
}

// Key returns the server's short name.
func (s *Server) Key() Key {
	return s.key
}

// Age returns an upper bound of the time since the newest announcement was made.
func (s *Server) Age(now time.Time) time.Duration {
	return now.Sub(s.heard)
}

// Load returns the newest load report and false when there was none.
func (s *Server) Load() (announcement.Load, bool) {
	return s.load, s.load.Sequence > 0
}

// LoadTaken returns the local time at which the figures of Load were taken.
func (s *Server) LoadTaken() time.Time {
	return s.loadTaken
}

// Eligible returns Eligible when the server may get a new request at now, or the reason why not.
//
// The age is checked here, before each dispatch, and not by a timer: a server
// that leaves may reach entries that this one is cut off from, and its last
// ready announcement would stand here for ever. A server that is heard of
// again is eligible again by the same check.
func (s *Server) Eligible(now time.Time, n Need) Reason {
	a := &s.announcement
	if a.Kind != n.Kind {
		return OtherKind
	}
	if a.State != announcement.Ready {
		return IsLeaving
	}
	if s.Age(now) >= n.age() {
		return IsSilent
	}
	switch a.Kind {
	case announcement.Engine:
		return holds(a.Holdings, n)
	case announcement.Service:
		if !slices.Contains(a.Services, n.Service) {
			return ServiceNotRun
		}
	}
	return Eligible
}

func holds(all []announcement.Holding, n Need) Reason {
	reason := ModelNotHeld
	for _, h := range all {
		if h.Model != n.Model {
			continue
		}
		if h.WeightVersion != n.WeightVersion {
			reason = furthest(reason, VersionNotHeld)
			continue
		}
		if h.Adapter == n.Adapter {
			return Eligible
		}
		reason = AdapterNotHeld
	}
	return reason
}

func furthest(have, next Reason) Reason {
	if have == AdapterNotHeld {
		return have
	}
	return next
}
