package quarantine

// Period is a request's quarantine as the section shows it.
type Period struct {
	// Version is the version of the section at the last change of the request's standing; a higher one is newer.
	Version uint64 `cbor:"version"`
	// Quarantined is false once the request has been cleared.
	Quarantined bool `cbor:"quarantined"`
	// FirstLoss is when the first loss that counts was recorded, in milliseconds since 1970.
	FirstLoss int64 `cbor:"first-loss,omitempty"`
	// Release is when the request is released, in milliseconds since 1970; zero if only an operator clears it.
	Release int64 `cbor:"release,omitempty"`
}
