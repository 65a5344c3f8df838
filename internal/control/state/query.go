package state

// Query is a query of one section.
type Query struct {
	// Section names the section that answers.
	Section string `cbor:"section"`
	// Body is the query in the section's encoding.
	Body []byte `cbor:"body"`
}
