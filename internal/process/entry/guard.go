package entry

import (
	"context"
	"time"

	"hornbeamwood/internal/entry/completion"
)

// openGuard lets every request run.
type openGuard struct{}

// Check implements completion.Guard.
func (openGuard) Check(time.Time, completion.Fingerprint) error { return nil }

// Started implements completion.Guard.
func (openGuard) Started(time.Time, completion.Fingerprint, string) {}

// Ended implements completion.Guard.
func (openGuard) Ended(context.Context, time.Time, completion.Fingerprint, string, bool) {}

// Alone implements completion.Guard.
func (openGuard) Alone(time.Time, string) bool { return false }
