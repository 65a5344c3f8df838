package state

// Command is one entry of the control log.
type Command struct {
	// At is the wall clock of the leader that proposed the command, in nanoseconds since 1970.
	At int64 `cbor:"at"`
	// Section names the section that applies the command.
	Section string `cbor:"section"`
	// Body is the section's own command.
	Body []byte `cbor:"body"`
}
