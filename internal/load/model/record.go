package model

import "time"

// record is the work in flight of one request, as its entry tells its peers.
type record struct {
	server int
	band   int
	tokens int64
	sent   time.Duration
	link   []int64 // bytes to import from each store; nil for none
	disk   []int64 // the part of them that comes from disk
}
