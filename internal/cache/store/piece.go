package store

import (
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
)

// Piece is one sealed piece of a store.
type Piece struct {
	// Key names the piece.
	Key block.Key
	// Generation is the one that a read must name.
	Generation uint64
	// Bytes is the size.
	Bytes int64
	// Tier is the part of the store.
	Tier directory.Tier
}
