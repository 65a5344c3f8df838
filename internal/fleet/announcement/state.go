package announcement

// State is the state of a backend server: whether it accepts new requests.
type State string

const (
	// Ready means that the server accepts new requests.
	Ready State = "ready"
	// Leaving means that the server finishes its running requests and accepts no new ones; it is final within an incarnation.
	Leaving State = "leaving"
)
