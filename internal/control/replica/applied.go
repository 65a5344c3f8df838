package replica

// Applied is the outcome of a committed command.
type Applied struct {
	// Index is the command's log index.
	Index uint64 `cbor:"index"`
	// Result is the state machine's result.
	Result []byte `cbor:"result"`
}
