package model

import (
	"time"

	"hornbeamwood/internal/fleet/announcement"
)

// serverView is what an entry knows of a server.
type serverView struct {
	load     announcement.Load
	reported time.Duration
	heard    time.Duration
	suspect  bool
	// suspected is when the connection broke; older reports don't clear it
	suspected time.Duration
}

// storeView is what an entry knows of a store.
type storeView struct {
	rate       float64
	queued     int64
	diskRate   float64
	diskQueued int64
	reported   time.Duration
	lost       bool
}
