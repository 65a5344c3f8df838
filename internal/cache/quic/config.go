package quic

import (
	"time"

	"hornbeamwood/internal/cache/directory"
	"hornbeamwood/internal/node/rpc"
)

// Config is what a Cache needs.
type Config struct {
	// Node sends and receives.
	Node rpc.Node
	// Self is this entry's name.
	Self string
	// Addresses maps the names of the other entries of the cell to their addresses.
	Addresses map[string]string
	// Directory holds this entry's share.
	Directory directory.Directory
	// Deleter deletes pieces at their stores.
	Deleter Deleter
	// Lister lists what stores hold.
	Lister Lister
	// Stores returns the stores that are ready.
	Stores func() []StoreVM
	// Incarnation returns the newest known incarnation of an engine or store, zero for an unknown one.
	Incarnation func(identity string) uint64
	// Each calls its argument with the newest known incarnation of each engine and store.
	Each func(each func(identity string, incarnation uint64))
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
}
