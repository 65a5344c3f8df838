package placement

import "hornbeamwood/internal/policy/route"

// Export is one piece that is to be written.
type Export struct {
	// Piece is the index in Input.Pieces.
	Piece int
	// Store is the index in Input.Stores.
	Store int
	// Tier is where the store should hold it.
	Tier route.Tier
	// Worth is the expected gain for each second of the link.
	Worth float64
}
