package quarantine

import (
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Result answers a command.
type Result struct {
	// Valid is false for a malformed command.
	Valid bool `cbor:"valid"`
	// Granted is true when a Begin got its slot or needs none.
	Granted bool `cbor:"granted,omitempty"`
	// Standing is that of the command's fingerprint after it.
	Standing suspicion.Standing `cbor:"standing,omitempty"`
	// RetryAfter is set for a Begin that wasn't granted.
	RetryAfter time.Duration `cbor:"retry-after,omitempty"`
	// Avoid are the servers that were lost under a suspect; a probe elsewhere tells more.
	Avoid []string `cbor:"avoid,omitempty"`
	// Changes are the standings that the command changed.
	Changes []suspicion.Change `cbor:"changes,omitempty"`
	// Version is the section's version after the command.
	Version uint64 `cbor:"version"`
}
