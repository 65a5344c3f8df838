package section

import "hornbeamwood/internal/site/document"

// Held is the document in force.
type Held struct {
	// Document is the decoded document.
	Document document.Document `cbor:"document"`
	// Source is what the operator sent.
	Source []byte `cbor:"source"`
}
