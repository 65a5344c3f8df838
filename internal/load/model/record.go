package model

import "time"

// record is the work in flight of one request, as sent to the peers.
type record struct {
	server int
	band   int
	tokens int64
	sent   time.Duration
	link   []int64 // bytes to import from each store; nil for none
	disk   []int64 // the part of link that is read from disk
}
