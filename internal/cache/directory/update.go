package directory

import "hornbeamwood/internal/cache/block"

// Update is a batch of an engine's events for one node: the full range of event numbers, and the changes of the keys that the node holds.
type Update struct {
	// Engine is the engine's identity.
	Engine string `cbor:"e"`
	// Incarnation is the engine's incarnation.
	Incarnation uint64 `cbor:"i"`
	// First is the number of the batch's first event.
	First uint64 `cbor:"f"`
	// Count is the number of events in the batch, including those of other nodes' keys.
	Count uint64 `cbor:"n"`
	// Changes are ordered by event number.
	Changes []Change `cbor:"c,omitempty"`
}

// Change is one event of an Update.
type Change struct {
	_ struct{} `cbor:",toarray"`
	// Offset is the event's number minus First.
	Offset uint64
	// Evicted is true if the engine evicted the piece, and false if it inserted it.
	Evicted bool
	// Key is the key of the piece.
	Key block.Key
}

// next returns the number of the event after the batch.
func (u Update) next() uint64 {
	return u.First + u.Count
}

// ListingPart is a part of an engine's listing for one node, with the keys that the node holds.
type ListingPart struct {
	// Engine is the engine's identity.
	Engine string `cbor:"e"`
	// Incarnation is the engine's incarnation.
	Incarnation uint64 `cbor:"i"`
	// Sequence is the number of the last event that the listing includes.
	Sequence uint64 `cbor:"s"`
	// Part is the number of this part, from 1, and Parts is the number of parts.
	Part  int `cbor:"p"`
	Parts int `cbor:"q"`
	// Keys are the keys of the pieces.
	Keys []block.Key `cbor:"k,omitempty"`
}
