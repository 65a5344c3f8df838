package topic

import (
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/rowtable"
)

// Topics of rows. The numbers are sent between processes and are never reused. A process
// of another release ignores a number that it doesn't know, but would misread a row
// whose key or value has changed under a known number. Numbers 1, 2, 5, 6, 8, 14 and 16 are retired.
const (
	// DocumentChunks holds the digests of the chunks of the operator's document as a Document in one row.
	DocumentChunks rowtable.Topic = 17
	// Servers holds a directory.Server for each server's ID.
	Servers rowtable.Topic = 15
	// Members holds the addresses of the control replicas as []string in one row.
	Members rowtable.Topic = 3
	// TargetVersions holds the target version of each model's weights as an int64.
	TargetVersions rowtable.Topic = 4
	// Parts holds the size of each part in a store as a Leased[int] under the key of its stores.PartLocation, zero for one that may not be fetched any more.
	Parts rowtable.Topic = 21
	// StoreStates holds whether each store is used, as a Leased[StoreState] under its address.
	StoreStates rowtable.Topic = 22
	// Weights holds the weights that an engine has loaded by an order, as LoadedWeights under the engine's ID.
	Weights rowtable.Topic = 7
	// Busy holds whether an engine takes no requests because of an order, as a Leased[bool] under the engine's ID.
	Busy rowtable.Topic = 23
	// Prefills holds the engine that last started to prefill a part, as a watch.Prefill under the part's salt and ID.
	Prefills rowtable.Topic = 9
	// Loads holds the load of all entries at each engine as a share.Sum in one row; only that of the lease holder is used.
	Loads rowtable.Topic = 10
	// StoreEpochs holds, for the address of each store, the epoch that the replica last saw as an int64, zero while the store doesn't answer.
	StoreEpochs rowtable.Topic = 11
	// EngineCaches holds the long parts in the memory of each engine that announces itself to the replica, as an EngineCache under the engine's ID.
	EngineCaches rowtable.Topic = 12
	// TargetVersionTimes holds when each model's target version was set, by the servers' clock in Unix milliseconds as an int64, if that is known.
	TargetVersionTimes rowtable.Topic = 13
	// StoreSummaries holds the parts of a store when it was listed, as a Leased[StoreSummary] under the store's address and the size class of the parts; later rows of Parts take precedence.
	StoreSummaries rowtable.Topic = 24
	// Evacuations holds the state of each availability zone as a section.Evacuation under its name.
	Evacuations rowtable.Topic = 18
	// Quarantine holds the quarantine of an attribute of requests as a suspicion.Period under its fingerprint.
	Quarantine rowtable.Topic = 19
	// Software holds the versions of the software that the servers of a service have had lately, as []string under its name.
	Software rowtable.Topic = 20
)

// Document identifies the operator's document and its chunks.
type Document struct {
	// Revision is the document's revision.
	Revision int64 `cbor:"number"`
	// Chunks are the digests of its chunks in order.
	Chunks []chunk.Digest `cbor:"chunks"`
	// SharedSalt is the text of the salt.Sharing with the document.
	SharedSalt string `cbor:"shared-salt,omitempty"`
}

// Leased is the value of a row that holds under one lease for orders only. A replica that gets the lease again still has rows
// of its earlier lease, and what they say may have changed under another holder since.
type Leased[T any] struct {
	// Values are encoded without field names: a large site has thousands.
	_ struct{} `cbor:",toarray"`
	// Fencing is the fencing number of the lease.
	Fencing uint64
	// Value is what holds under it.
	Value T
}

// StoreState is whether a store is used.
type StoreState struct {
	// Usable is set if parts may be fetched from the store and saved to it.
	Usable bool `cbor:"usable"`
	// Epoch is the store's epoch in which its parts were listed, zero while it isn't used.
	Epoch int64 `cbor:"epoch"`
}

// StoreSummary holds the long or the short parts of a store when it was listed.
//
// A replica that has just acquired the lease must send each entry the parts of all
// stores. With one row per part that takes seconds on a large site. Meanwhile entries
// don't know of stored parts, and engines prefill them again.
type StoreSummary struct {
	// Summaries are encoded without field names.
	_ struct{} `cbor:",toarray"`
	// Address is the store's address.
	Address string
	// Listed is when the store was listed, in Unix nanoseconds. It makes each listing a change of the row, even when it equals the last one.
	Listed int64
	// ReplacesEarlier is set if the summary replaces all earlier rows about the store.
	ReplacesEarlier bool
	// Parts are the parts' hashes, Tokens their sizes.
	Parts  []uint64
	Tokens []uint32
}

// EngineCache holds the long parts in an engine's memory.
type EngineCache struct {
	// StartedAt is the engine's start time.
	StartedAt int64 `cbor:"born"`
	// MinPartTokens is the size in tokens from which parts are reported.
	MinPartTokens int `cbor:"least"`
	// Parts are the tokens that are cached of each part, by the hash of its stores.Part.
	Parts map[uint64]int `cbor:"parts"`
}

// LoadedWeights are the weights that an engine has loaded by an order.
type LoadedWeights struct {
	// StartedAt is the engine's start time.
	StartedAt int64 `cbor:"born"`
	// Model and Version identify the weights.
	Model   string `cbor:"model"`
	Version int64  `cbor:"version"`
}

// Relayed returns whether rows of the topic reach the entries of a large site through
// their relays: all rows of the lease holder about stores and orders.
func Relayed(t rowtable.Topic) bool {
	switch t {
	case Parts, StoreSummaries, StoreStates, Busy, StoreEpochs:
		return true
	}
	return false
}

// RelayedOnly returns whether rows of the topic are left out of direct answers to entries
// that get them through a relay. The store epochs that each replica sees are sent directly
// as well, because relayed rows are checked against them.
func RelayedOnly(t rowtable.Topic) bool {
	return Relayed(t) && t != StoreEpochs
}
