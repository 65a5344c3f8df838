package events

import "hornbeamwood/internal/cache/block"

// Kind is the kind of an Event.
type Kind string

const (
	// Inserted means that the engine now holds the piece.
	Inserted Kind = "inserted"
	// Evicted means that the engine no longer holds the piece.
	Evicted Kind = "evicted"
)

// Event is one change of a piece in an engine's memory.
type Event struct {
	// Kind is the change.
	Kind Kind `json:"kind"`
	// Key is the key of the piece.
	Key block.Key `json:"key"`
}
