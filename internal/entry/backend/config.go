package backend

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/cache/events"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
)

// Limits for requests from backend servers.
const (
	// MaxAnnouncement is the maximum body size of an announcement in bytes.
	MaxAnnouncement = 32 << 10
	// MaxNesting is the maximum nesting depth of accepted JSON.
	MaxNesting = 8
)

// Table merges announcements into the membership of the fleet.
type Table interface {
	Announce(now time.Time, a announcement.Announcement) membership.MergeResult
}

// LeaveNotifier notifies the other entries as soon as a server announces that it leaves.
type LeaveNotifier interface {
	PushLeaving(identity string)
}

// CacheReports receives cache events and returns whether the engine should send a full listing.
type CacheReports interface {
	Report(now time.Time, r events.Report) (listingWanted bool)
}

// HandlerConfig configures NewHandler.
type HandlerConfig struct {
	// Table, LeaveNotifier and CacheReports receive what the servers send.
	Table         Table
	LeaveNotifier LeaveNotifier
	CacheReports  CacheReports
	// KeyDigests returns the SHA-256 digests of the valid announcement keys.
	KeyDigests func() [][32]byte
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Log receives events; nil disables logging.
	Log log.Interface
}
