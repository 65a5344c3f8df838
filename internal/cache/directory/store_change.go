package directory

import "hornbeamwood/internal/cache/block"

// StoreChange is a state change of one piece in one store.
type StoreChange struct {
	// Store is the store's identity.
	Store string `cbor:"s"`
	// Incarnation is the store's incarnation.
	Incarnation uint64 `cbor:"i"`
	// Key is the key of the piece.
	Key block.Key `cbor:"k"`
	// To is the new state: Writing when an engine is requested to export, Sealed when the store has confirmed the write, Freeing when the piece is to be deleted, Freed when it is deleted or a read has missed it.
	To State `cbor:"t"`
	// Failed with To Writing cancels an export that wrote nothing.
	Failed bool `cbor:"x,omitempty"`
	// Generation is the store's generation of the piece, for all states but Writing.
	Generation uint64 `cbor:"g,omitempty"`
	// Bytes is the size, for Sealed.
	Bytes int64 `cbor:"b,omitempty"`
	// Tier is the storage tier, for Sealed.
	Tier Tier `cbor:"r,omitempty"`
	// DeadlineMillis is how long an export may take, for Writing.
	DeadlineMillis int64 `cbor:"d,omitempty"`
}

// Deletion identifies a piece that may be deleted at its store.
type Deletion struct {
	// Store is the store's identity.
	Store string
	// Key and Generation identify the piece.
	Key        block.Key
	Generation uint64
}
