package placement

import "hornbeamwood/internal/policy/route"

// Export is one piece to export.
type Export struct {
	// Piece is the index in Input.Pieces.
	Piece int
	// Store is the index in Input.Stores.
	Store int
	// Tier is the tier that should hold the piece.
	Tier route.Tier
	// Worth is the expected net gain per second of link time.
	Worth float64
}
