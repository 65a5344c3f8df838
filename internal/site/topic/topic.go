package topic

import (
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/rowtable"
)

// Topics of rows. The numbers travel between processes and are never reused: a process
// of another release passes over a number that it doesn't know, and would misread a row
// whose key or value has changed. Numbers 1, 2 and 5 are retired.
const (
	// DocumentChunks names the chunks of the operator's document as a Document in its one row.
	DocumentChunks rowtable.Topic = 17
	// Servers holds a directory.Server for each server's ID.
	Servers rowtable.Topic = 15
	// Members holds the addresses of the control replicas as []string in one row.
	Members rowtable.Topic = 3
	// Versions holds the named version of weights for each model as an int64.
	Versions rowtable.Topic = 4
	// Parts holds the size of each part that may be fetched from a store, as an int under the key of its stores.Place; only the rows of the replica that holds the lease count.
	Parts rowtable.Topic = 16
	// StoresUp holds true for the address of each store that answers; only the rows of the replica that holds the lease count.
	StoresUp rowtable.Topic = 6
	// Weights holds the weights that an engine was brought to, as a Loading under the engine's ID.
	Weights rowtable.Topic = 7
	// Busy holds true for the ID of each engine that takes no requests because of an order.
	Busy rowtable.Topic = 8
	// Prefills holds the engine that last began to read a part, as a watch.Reading under its salt and ID.
	Prefills rowtable.Topic = 9
	// Loads holds what all entries have at each engine as a share.Sum in one row; only that of the replica that holds the lease counts.
	Loads rowtable.Topic = 10
	// Epochs holds, for the address of each store, the start that the replica last saw as an int64, zero while the store doesn't answer.
	Epochs rowtable.Topic = 11
	// EngineCaches holds what lies in the memory of each engine that announces itself to the replica, as a Cache under the engine's ID.
	EngineCaches rowtable.Topic = 12
	// NamedAt holds when each model's version was named by the servers' clock in Unix milliseconds as an int64, where that is known.
	NamedAt rowtable.Topic = 13
	// StoreSummaries holds what lay in a store when it was listed, as a Shelf under the store's address and the size of the parts; only the rows of the replica that holds the lease count, and those of Parts that came later go before them.
	StoreSummaries rowtable.Topic = 14
)

// Document names the operator's document and its chunks.
type Document struct {
	// Revision is the document's.
	Revision int64 `cbor:"number"`
	// Chunks are the names of its chunks in their order.
	Chunks []chunk.Digest `cbor:"chunks"`
}

// StoreSummary is the long or the short parts of a store as it was listed.
//
// A replica that has just got the lease owes each entry all that lies in all
// stores. As one row a part, that takes seconds on a large site, and prompts have
// engines read again what they don't know to be stored.
type StoreSummary struct {
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

// EngineCache is the long parts in an engine's memory.
type EngineCache struct {
	// StartedAt is the engine's start.
	StartedAt int64 `cbor:"born"`
	// MinPartTokens is the size in tokens from which on parts are told.
	MinPartTokens int `cbor:"least"`
	// Parts are the tokens that are kept of each part, by stores.Part's hash.
	Parts map[uint64]int `cbor:"parts"`
}

// LoadedWeights is the weights that an engine was brought to.
type LoadedWeights struct {
	// StartedAt is the engine's start.
	StartedAt int64 `cbor:"born"`
	// Model and Version name the weights.
	Model   string `cbor:"model"`
	Version int64  `cbor:"version"`
}

// Relayed returns whether rows of the topic reach the entries of a large site through
// their relays: all that the holder of the lease tells of stores and orders.
func Relayed(t rowtable.Topic) bool {
	switch t {
	case Parts, StoreSummaries, StoresUp, Busy, Epochs:
		return true
	}
	return false
}

// NotRelayed returns whether rows of the topic are left out where they come through a
// relay. Which start of a store each replica sees is told directly as well: it is what
// a relay's word is checked by.
func NotRelayed(t rowtable.Topic) bool {
	return Relayed(t) && t != Epochs
}
