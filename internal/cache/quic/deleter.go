package quic

import (
	"context"

	"hornbeamwood/internal/cache/directory"
)

// Deleter deletes a piece at its store.
type Deleter interface {
	// Delete returns nil if that generation of the piece no longer exists.
	Delete(ctx context.Context, d directory.Deletion) error
}
