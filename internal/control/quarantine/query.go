package quarantine

import (
	"time"

	"hornbeamwood/internal/policy/suspicion"
)

// Query is the body of one query; exactly one field is set.
type Query struct {
	Since *Since `cbor:"since,omitempty"`
	List  *List  `cbor:"list,omitempty"`
}

// Since asks for what is newer than a version.
type Since struct {
	// Version is the newest one that is known.
	Version uint64 `cbor:"version"`
}

// Changes is the answer to Since.
type Changes struct {
	// Version is the section's version.
	Version uint64 `cbor:"version"`
	// Whole is true when the list is all there is, because older changes are forgotten.
	Whole bool `cbor:"whole"`
	// Changes are the standings newer than the asked version.
	Changes []suspicion.Change `cbor:"changes"`
}

// List asks for the records of a workspace, or of all when it is empty.
type List struct {
	// Workspace is the workspace's name or empty.
	Workspace string `cbor:"workspace"`
}

// Listing is the answer to List, ordered by fingerprint.
type Listing struct {
	// Items are the suspects and the quarantined.
	Items []Item `cbor:"items" json:"items"`
}

// Item is one suspect or quarantined request.
type Item struct {
	// Fingerprint is its hexadecimal form.
	Fingerprint string `cbor:"fingerprint" json:"fingerprint"`
	// Workspace is whose request it is.
	Workspace string `cbor:"workspace" json:"workspace"`
	// Model is what it asked.
	Model string `cbor:"model" json:"model"`
	// Standing is suspect or quarantined.
	Standing suspicion.Standing `cbor:"standing" json:"standing"`
	// Servers are the identities of the servers lost under it.
	Servers []string `cbor:"servers" json:"servers"`
	// Since is when its first loss that counts was recorded.
	Since time.Time `cbor:"since" json:"since"`
}
