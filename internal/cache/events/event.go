package events

import "hornbeamwood/internal/cache/block"

// Kind says what happened to a piece in an engine's memory.
type Kind string

const (
	// Inserted means that the engine holds the piece now.
	Inserted Kind = "inserted"
	// Evicted means that the engine does not hold the piece any more.
	Evicted Kind = "evicted"
)

// Event is one change of an engine's memory.
type Event struct {
	// Kind says what happened.
	Kind Kind `json:"kind"`
	// Key names the piece.
	Key block.Key `json:"key"`
}
