package replica

// Applied is the outcome of a committed command.
type Applied struct {
	// Index is the command's place in the log.
	Index uint64 `cbor:"index"`
	// Result is what the state machine returned.
	Result []byte `cbor:"result"`
}
