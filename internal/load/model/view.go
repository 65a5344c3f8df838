package model

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// serverView is what an entry knows about a server.
type serverView struct {
	load       announcement.Load
	reportedAt time.Duration
	receivedAt time.Duration
	suspect    bool
	// suspectedAt is when the connection failed; older reports do not clear suspect
	suspectedAt time.Duration
}

// storeView is what an entry knows about a store.
type storeView struct {
	rate       float64
	queued     int64
	diskRate   float64
	diskQueued int64
	reportedAt time.Duration
	lost       bool
}
