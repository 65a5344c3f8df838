package quic

import (
	"context"

	"hornbeamwood/internal/cache/directory"
)

// Deleter deletes a piece at its store.
type Deleter interface {
	// Delete returns nil when that generation of the piece is gone.
	Delete(ctx context.Context, d directory.Deletion) error
}
