package placement

import "hornbeamwood/internal/settings/rules"

// Input is the input of an export decision after a run.
type Input struct {
	// Rules are the effective rules of the request.
	Rules rules.Rules
	// ReuseProbability is the probability, from 0 to 1, that the prompt is sent again after its
	// pieces were evicted from engine memory.
	ReuseProbability float64
	// PrefillRate is the engine's prefill rate in tokens per second.
	PrefillRate float64
	// Pieces are the prompt's pieces in order.
	Pieces []Piece
	// Stores are the stores of the cell.
	Stores []Store
}
