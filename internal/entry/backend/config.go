package backend

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/cache/events"
	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/fleet/membership"
)

// Limits of what a backend server may send.
const (
	// MaxAnnouncement is the largest body of an announcement in bytes.
	MaxAnnouncement = 32 << 10
	// MaxNesting is the deepest JSON that is read.
	MaxNesting = 8
)

// Table is where announcements go.
type Table interface {
	Announce(now time.Time, a announcement.Announcement) membership.Merge
}

// Leavers is told at once when a server leaves, so that it tells the peers.
type Leavers interface {
	Leaving(identity string)
}

// CacheReports is where cache events go; it returns whether a listing is wanted.
type CacheReports interface {
	Report(now time.Time, r events.Report) (listingWanted bool)
}

// HandlerConfig holds what a Handler needs.
type HandlerConfig struct {
	// Table, Leavers and CacheReports take in what the servers send.
	Table        Table
	Leavers      Leavers
	CacheReports CacheReports
	// KeyDigests returns the SHA-256 digests of the keys in force.
	KeyDigests func() [][32]byte
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Log takes the events; nil writes none.
	Log log.Interface
}
