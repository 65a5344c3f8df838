package topic

import (
	"hornbeamwood/internal/site/board"
	"hornbeamwood/internal/site/chunk"
)

// Topics of rows. The numbers travel between processes and are never reused: a process
// of another release passes over a number that it doesn't know, and would misread a row
// whose key or value has changed. Numbers 1, 2 and 5 are retired.
const (
	// DocumentChunks names the chunks of the operator's document as a Document in its one row.
	DocumentChunks board.Topic = 17
	// Servers holds a directory.Server for each server's ID.
	Servers board.Topic = 15
	// Members holds the addresses of the control replicas as []string in one row.
	Members board.Topic = 3
	// Versions holds the named version of weights for each model as an int64.
	Versions board.Topic = 4
	// Parts holds the size of each part that may be fetched from a store, as an int under the key of its stores.Place; only the rows of the replica that holds the lease count.
	Parts board.Topic = 16
	// StoresUp holds true for the address of each store that answers; only the rows of the replica that holds the lease count.
	StoresUp board.Topic = 6
	// Loaded holds the weights that an engine was brought to, as a Loading under the engine's ID.
	Loaded board.Topic = 7
	// Busy holds true for the ID of each engine that takes no requests because of an order.
	Busy board.Topic = 8
	// Reads holds the engine that last began to read a part, as a watch.Reading under its salt and ID.
	Reads board.Topic = 9
	// Loads holds what all entries have at each engine as a share.Sum in one row; only that of the replica that holds the lease counts.
	Loads board.Topic = 10
	// Epochs holds, for the address of each store, the start that the replica last saw as an int64, zero while the store doesn't answer.
	Epochs board.Topic = 11
	// Caches holds what lies in the memory of each engine that announces itself to the replica, as a Cache under the engine's ID.
	Caches board.Topic = 12
	// NamedAt holds when each model's version was named by the servers' clock in Unix milliseconds as an int64, where that is known.
	NamedAt board.Topic = 13
	// Shelves holds what lay in a store when it was listed, as a Shelf under the store's address and the size of the parts; only the rows of the replica that holds the lease count, and those of Parts that came later go before them.
	Shelves board.Topic = 14
)

// Document names the operator's document and its chunks.
type Document struct {
	// Number is the document's.
	Number int64 `cbor:"number"`
	// Chunks are the names of its chunks in their order.
	Chunks []chunk.Digest `cbor:"chunks"`
}

// Shelf is the long or the short parts of a store as it was listed.
//
// A replica that has just got the lease owes each entry all that lies in all
// stores. As one row a part, that takes seconds on a large site, and prompts have
// engines read again what they don't know to be stored.
type Shelf struct {
	// Shelves travel without the names of their fields.
	_ struct{} `cbor:",toarray"`
	// Address is the store's.
	Address string
	// Listed is when it was listed, in Unix nanoseconds: each list counts, also one like the last.
	Listed int64
	// Whole says that what was told of the store before no longer counts.
	Whole bool
	// Parts are the parts' hashes, Tokens their sizes.
	Parts  []uint64
	Tokens []uint32
}

// Cache is the long parts in an engine's memory.
type Cache struct {
	// Born is the engine's start.
	Born int64 `cbor:"born"`
	// Least is the size in tokens from which on parts are told.
	Least int `cbor:"least"`
	// Parts are the tokens that are kept of each part, by stores.Part's hash.
	Parts map[uint64]int `cbor:"parts"`
}

// Loading is the weights that an engine was brought to.
type Loading struct {
	// Born is the engine's start.
	Born int64 `cbor:"born"`
	// Model and Version name the weights.
	Model   string `cbor:"model"`
	Version int64  `cbor:"version"`
}

// Relayed returns whether rows of the topic reach the entries of a large site through
// their relays: all that the holder of the lease tells of stores and orders.
func Relayed(t board.Topic) bool {
	switch t {
	case Parts, Shelves, StoresUp, Busy, Epochs:
		return true
	}
	return false
}

// LeftOut returns whether rows of the topic are left out where they come through a
// relay. Which start of a store each replica sees is told directly as well: it is what
// a relay's word is checked by.
func LeftOut(t board.Topic) bool {
	return Relayed(t) && t != Epochs
}
