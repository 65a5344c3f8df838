package directory

import "hornbeamwood/internal/cache/block"

// Update passes a batch of an engine's events on to one node: the whole range of numbers, and the changes of those keys that the node holds.
type Update struct {
	// Engine is the engine's identity.
	Engine string `cbor:"e"`
	// Incarnation is the engine's incarnation.
	Incarnation uint64 `cbor:"i"`
	// First is the number of the batch's first event.
	First uint64 `cbor:"f"`
	// Count is the number of events in the batch, those of other nodes included.
	Count uint64 `cbor:"n"`
	// Changes are in the order of their numbers.
	Changes []Change `cbor:"c,omitempty"`
}

// Change is one event of an Update.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// Offset is the event's number less First.
	Offset uint64
	// Evicted says that the engine lost the piece; it holds it otherwise.
	Evicted bool
	// Key names the piece.
	Key block.Key
}

// next returns the number of the event after the batch.
func (u Update) next() uint64 {
	return u.First + u.Count
}

// ListingPart passes a part of an engine's listing on to one node, with those keys that the node holds.
type ListingPart struct {
	// Engine is the engine's identity.
	Engine string `cbor:"e"`
	// Incarnation is the engine's incarnation.
	Incarnation uint64 `cbor:"i"`
	// Sequence is the number of the last event that the listing includes.
	Sequence uint64 `cbor:"s"`
	// Part and Parts number the parts from 1.
	Part  int `cbor:"p"`
	Parts int `cbor:"q"`
	// Keys are the pieces.
	Keys []block.Key `cbor:"k,omitempty"`
}
