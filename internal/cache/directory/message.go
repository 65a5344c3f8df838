package directory

import "hornbeamwood/internal/cache/block"

// Message is one request between two nodes of a cell; exactly one field is set.
type Message struct {
	// Update, Listing, Store, Pin and Unpin are answered with an Effect.
	Update  *Update      `cbor:"u,omitempty"`
	Listing *ListingPart `cbor:"l,omitempty"`
	Store   *StoreChange `cbor:"s,omitempty"`
	Pin     *Pin         `cbor:"p,omitempty"`
	Unpin   *Pin         `cbor:"x,omitempty"`
	// Lookup is answered with Locations.
	Lookup *Lookup `cbor:"k,omitempty"`
	// Batch holds messages that are carried out in order and answered with one Reply each.
	Batch []Message `cbor:"b,omitempty"`
}

// Lookup requests the locations of keys.
type Lookup struct {
	// Keys are the keys of the pieces.
	Keys []block.Key `cbor:"k"`
}

// Reply answers a Message.
type Reply struct {
	// Effect answers all but Lookup.
	Effect Effect `cbor:"e,omitzero"`
	// Locations answers Lookup, one for each key.
	Locations Locations `cbor:"l,omitempty"`
	// Batch answers Batch, one for each of its messages.
	Batch []Reply `cbor:"b,omitempty"`
}

// Envelope is a Message with its destination node.
type Envelope struct {
	// To is the node's identity.
	To string
	// Message is the message to send.
	Message Message
}
