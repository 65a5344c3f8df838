package state

// image is the encoded form of a snapshot of all sections.
type image struct {
	At       int64             `cbor:"at"`
	Sections map[string][]byte `cbor:"sections"`
}
