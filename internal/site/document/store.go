package document

import "time"

// Store keeps KV cache beside the engines.
type Store struct {
	// Name names the store.
	Name string `cbor:"name"`
	// Address is its IP and port.
	Address string `cbor:"address"`
	// Zone is its availability zone.
	Zone string `cbor:"zone"`
	// CapacityTokens is its room.
	CapacityTokens int `cbor:"tokens"`
	// LinkRate is what its link carries, in bytes per second.
	LinkRate float64 `cbor:"link-rate"`
	// Latency is what each transfer waits at least.
	Latency time.Duration `cbor:"first"`
	// Managed says that it keeps parts until they are freed.
	Managed bool `cbor:"managed"`
	// MaxFeeds is how many polls for cache events it holds at once.
	MaxFeeds int `cbor:"max-feeds"`
}
