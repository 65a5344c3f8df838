package state

// Query asks one section.
type Query struct {
	// Section names the section that answers.
	Section string `cbor:"section"`
	// Body is the section's own query.
	Body []byte `cbor:"body"`
}
