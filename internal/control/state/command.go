package state

// Command is the payload of a command entry of the control log.
type Command struct {
	// At is the leader's wall-clock time when it proposed the command, in nanoseconds since 1970.
	At int64 `cbor:"at"`
	// Section names the section that applies the command.
	Section string `cbor:"section"`
	// Body is the command in the section's encoding.
	Body []byte `cbor:"body"`
}
