package model

import "time"

// message is what an entry last told of its work in flight.
type message struct {
	heard time.Duration
	work  []record
}

// silentPeer is the age of a message over which its sender counts as lost.
const silentPeer = time.Second
