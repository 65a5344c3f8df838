package directory

// Outcome is the effect of a message on the directory.
type Outcome string

const (
	// Applied means that the message was applied.
	Applied Outcome = "applied"
	// Buffered means that the message is buffered until missing events or parts arrive.
	Buffered Outcome = "held"
	// Known means that the message had no new information.
	Known Outcome = "known"
	// Outdated means that the directory has newer information.
	Outdated Outcome = "outdated"
	// Refused means that a limit or the piece's state does not allow it.
	Refused Outcome = "refused"
)

// Effect is the result of one message.
type Effect struct {
	// Outcome is the effect of the message.
	Outcome Outcome `cbor:"o"`
	// ListingWanted requests a listing from the engine.
	ListingWanted bool `cbor:"l,omitempty"`
	// Restarted is true if the message came from a newer incarnation and invalidated the known locations.
	Restarted bool `cbor:"r,omitempty"`
	// Gap is true if the engine's locations are currently not used because events are missing.
	Gap bool `cbor:"g,omitempty"`
}
