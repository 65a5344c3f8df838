package membership

import (
	"slices"
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// Server is an immutable record of one backend server.
type Server struct {
	announcement announcement.Announcement
	key          Key
	digest       uint64
	staticSince  time.Time
	madeAt       time.Time
	// direct is true if the server itself sent the newest announcement.
	direct         bool
	load           announcement.Load
	loadMeasuredAt time.Time
}

// Announcement returns the newest announcement; the caller must not change its slices.
func (s *Server) Announcement() announcement.Announcement {
	return s.announcement
}

// Key returns the server's key, its ID in gossip.
func (s *Server) Key() Key {
	return s.key
}

// Age returns an upper bound of the time since the newest announcement was made.
func (s *Server) Age(now time.Time) time.Duration {
	return now.Sub(s.madeAt)
}

// Load returns the newest load report, and false if there was none.
func (s *Server) Load() (announcement.Load, bool) {
	return s.load, s.load.Sequence > 0
}

// LoadMeasuredAt returns the local time at which the values of Load were measured.
func (s *Server) LoadMeasuredAt() time.Time {
	return s.loadMeasuredAt
}

// Eligible returns Eligible if the server may get a new request at now, or the reason why not.
//
// The age is checked here, before each dispatch, and not by a timer. A leaving
// server may reach only entries that this entry is partitioned from, and its
// last ready announcement would otherwise remain valid here forever. The same
// check makes the server eligible again after its next announcement.
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
	if slices.Contains(n.EvacuatedZones, a.Zone) {
		return IsEvacuated
	}
	switch a.Kind {
	case announcement.Engine:
		return holdingReason(a.Holdings, n)
	case announcement.Service:
		if !slices.Contains(a.Services, n.Service) {
			return ServiceNotRun
		}
	}
	return Eligible
}

func holdingReason(all []announcement.Holding, n Need) Reason {
	reason := ModelNotHeld
	for _, h := range all {
		if h.Model != n.Model {
			continue
		}
		if h.WeightVersion != n.WeightVersion {
			reason = closestMismatch(reason, VersionNotHeld)
			continue
		}
		if h.Adapter == n.Adapter {
			return Eligible
		}
		reason = AdapterNotHeld
	}
	return reason
}

func closestMismatch(have, next Reason) Reason {
	if have == AdapterNotHeld {
		return have
	}
	return next
}
