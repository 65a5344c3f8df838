package directory

import "hornbeamwood/internal/cache/block"

// StoreChange is a step in the life of one piece in one store.
type StoreChange struct {
	// Store is the store's identity.
	Store string `cbor:"s"`
	// Incarnation is the store's incarnation.
	Incarnation uint64 `cbor:"i"`
	// Key names the piece.
	Key block.Key `cbor:"k"`
	// To is the step: Writing when an engine is told to export, Sealed when the store has confirmed the write, Freeing when the piece is to go, Freed when it is gone or a read has missed it.
	To State `cbor:"t"`
	// Failed with To Writing takes back an export that wrote nothing.
	Failed bool `cbor:"x,omitempty"`
	// Generation is the store's, for all but Writing.
	Generation uint64 `cbor:"g,omitempty"`
	// Bytes is the size, for Sealed.
	Bytes int64 `cbor:"b,omitempty"`
	// Tier is the part of the store, for Sealed.
	Tier Tier `cbor:"r,omitempty"`
	// DeadlineMillis is how long an export may take, for Writing.
	DeadlineMillis int64 `cbor:"d,omitempty"`
}

// Deletion names a piece that may be deleted at its store.
type Deletion struct {
	// Store is the store's identity.
	Store string
	// Key and Generation name the piece.
	Key        block.Key
	Generation uint64
}
