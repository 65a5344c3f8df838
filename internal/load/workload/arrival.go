package workload

import (
	"time"

	"hornbeamwood/internal/settings/rules"
)

// Arrival is one request of a caller, with its arrival time.
type Arrival struct {
	// Number counts the arrivals from 0.
	Number int
	// At is the arrival time since the start.
	At time.Duration
	// Class is the index in Deployment.Classes.
	Class int
	// Workspace is the workspace's name.
	Workspace string
	// Rules are the request's effective rules.
	Rules rules.Rules
	// Document is the number of the document; zero means none.
	Document uint64
	// Visit is 1 for a new document and increases with each return.
	Visit int
	// Pieces are the keys of the prompt's complete pieces in order; equal keys have equal prefixes.
	Pieces []uint64
	// Tail is the number of prompt tokens after the last piece.
	Tail int
	// Answer is the number of tokens of the completion.
	Answer int
}
