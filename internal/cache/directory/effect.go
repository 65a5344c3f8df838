package directory

// Outcome says what a message did to the directory.
type Outcome string

const (
	// Applied means that the directory holds what the message says.
	Applied Outcome = "applied"
	// Held means that the message waits behind a gap.
	Held Outcome = "held"
	// Known means that the message said nothing new.
	Known Outcome = "known"
	// Outdated means that something newer is known.
	Outdated Outcome = "outdated"
	// Refused means that a limit or the piece's state forbids it.
	Refused Outcome = "refused"
)

// Effect is the typed verdict on one message.
type Effect struct {
	// Outcome says what the message did.
	Outcome Outcome `cbor:"o"`
	// ListingWanted asks for a listing of the engine.
	ListingWanted bool `cbor:"l,omitempty"`
	// Restarted says that the message came from a newer incarnation and voided what was known.
	Restarted bool `cbor:"r,omitempty"`
	// Gap says that nothing is believed of the engine at the moment.
	Gap bool `cbor:"g,omitempty"`
}
