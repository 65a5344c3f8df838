package quic

import (
	"time"

	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/node/rpc"
)

// Config holds the dependencies of a Cache.
type Config struct {
	// Node sends and receives the messages.
	Node rpc.Node
	// Self is this entry's name.
	Self string
	// Addresses maps the names of the other entries of the cell to their addresses.
	Addresses map[string]string
	// Directory holds this entry's share of the keys.
	Directory directory.Directory
	// Deleter deletes pieces at their stores.
	Deleter Deleter
	// Lister lists the pieces of stores.
	Lister Lister
	// Stores returns the stores that are ready.
	Stores func() []StoreVM
	// Incarnation returns the newest known incarnation of an engine or store, zero for an unknown one.
	Incarnation func(identity string) uint64
	// EachIncarnation calls its argument with the newest known incarnation of each engine and store.
	EachIncarnation func(each func(identity string, incarnation uint64))
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
}
