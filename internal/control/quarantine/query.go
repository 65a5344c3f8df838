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

// Since asks for the changes after a version.
type Since struct {
	// Version is the newest version that the caller knows.
	Version uint64 `cbor:"version"`
}

// Changes is the result of Since.
type Changes struct {
	// Version is the section's version.
	Version uint64 `cbor:"version"`
	// Whole is true if Changes is the complete state, because older changes are no longer kept.
	Whole bool `cbor:"whole"`
	// Changes are the standings that changed after the requested version.
	Changes []suspicion.Change `cbor:"changes"`
}

// List asks for the suspect and quarantined requests.
type List struct {
	// Workspace is the workspace's name; empty selects all workspaces.
	Workspace string `cbor:"workspace"`
}

// Listing is the result of List, ordered by fingerprint.
type Listing struct {
	// Items are the suspect and quarantined requests.
	Items []Item `cbor:"items" json:"items"`
}

// Item is one suspect or quarantined attribute of requests.
type Item struct {
	// Fingerprint is the fingerprint in hexadecimal.
	Fingerprint string `cbor:"fingerprint" json:"fingerprint"`
	// Kind is empty for a whole request.
	Kind suspicion.Kind `cbor:"kind,omitempty" json:"kind,omitempty"`
	// Workspace is the workspace that sent the request, or the first one with the part.
	Workspace string `cbor:"workspace" json:"workspace"`
	// Model is the requested model.
	Model string `cbor:"model" json:"model"`
	// Standing is suspect or quarantined.
	Standing suspicion.Standing `cbor:"standing" json:"standing"`
	// Servers are the identities of the servers that were lost while they ran it.
	Servers []string `cbor:"servers" json:"servers"`
	// Since is when the first loss that still counts was recorded.
	Since time.Time `cbor:"since" json:"since"`
}
