package suspicion

// Kind is what an attribute of a request is.
type Kind string

const (
	// WholeRequest is the whole request of a workspace.
	WholeRequest Kind = ""
	// Part is a part of a prompt, whichever request holds it.
	Part Kind = "part"
)

// MaxParts bounds the parts of a prompt that are examined.
const MaxParts = 64

// Attributes are what a request has in common with others, each by its fingerprint.
type Attributes struct {
	// Request is the fingerprint of the whole request, zero if that isn't meant.
	Request Fingerprint
	// Parts are those of the prompt's parts that other requests may share.
	Parts []Fingerprint
}

// all yields the fingerprints of the attributes.
func (a Attributes) all(yield func(Fingerprint) bool) {
	if a.Request != (Fingerprint{}) && !yield(a.Request) {
		return
	}
	for _, p := range a.Parts {
		if !yield(p) {
			return
		}
	}
}

// FingerprintOfPart returns the fingerprint of a part of a prompt, which is the same in all workspaces.
func FingerprintOfPart(id []byte) Fingerprint {
	return FingerprintOf("", string(Part), id)
}
