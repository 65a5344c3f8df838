package quarantine

import (
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Result is the result of a command.
type Result struct {
	// Valid is false for a malformed command.
	Valid bool `cbor:"valid"`
	// Granted is true if a Begin got its slot or needs none.
	Granted bool `cbor:"granted,omitempty"`
	// Standing is the standing of the command's fingerprint after the command.
	Standing suspicion.Standing `cbor:"standing,omitempty"`
	// RetryAfter is set for a suspect's Begin that wasn't granted.
	RetryAfter time.Duration `cbor:"retry-after,omitempty"`
	// Avoid are the servers that were lost while they ran the suspect; a probe on another server is more conclusive.
	Avoid []string `cbor:"avoid,omitempty"`
	// Changes are the standings that the command changed.
	Changes []suspicion.Change `cbor:"changes,omitempty"`
	// Version is the section's version after the command.
	Version uint64 `cbor:"version"`
}
