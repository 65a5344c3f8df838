package model

import "time"

// workMessage is the last message of a peer about its work in flight.
type workMessage struct {
	receivedAt time.Duration
	work       []record
}

// peerTimeout is the age of the last message above which its sender counts as lost.
const peerTimeout = time.Second
