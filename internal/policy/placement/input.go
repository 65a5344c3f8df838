package placement

import "hornbeamwood/internal/settings/rules"

// Input is what is known after a run.
type Input struct {
	// Rules are the effective rules of the request.
	Rules rules.Rules
	// Return is the probability that the prompt comes back after it left engine memory, 0 to 1.
	Return float64
	// PrefillRate is the engine's prefill speed in tokens a second.
	PrefillRate float64
	// Pieces are the prompt's pieces in order.
	Pieces []Piece
	// Stores are the stores of the cell.
	Stores []Store
}
