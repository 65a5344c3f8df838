package store

import (
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
)

// Piece is one sealed piece of a store.
type Piece struct {
	// Key is the key of the piece.
	Key block.Key
	// Generation is the generation that a read must include.
	Generation uint64
	// Bytes is the size.
	Bytes int64
	// Tier is the storage tier of the piece.
	Tier directory.Tier
}
