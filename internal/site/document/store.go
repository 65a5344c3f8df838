package document

import "time"

// Store stores KV cache outside the engines.
type Store struct {
	// Name identifies the store.
	Name string `cbor:"name"`
	// Address is its IP and port.
	Address string `cbor:"address"`
	// Zone is its availability zone.
	Zone string `cbor:"zone"`
	// CapacityTokens is its capacity in tokens.
	CapacityTokens int `cbor:"tokens"`
	// LinkRate is the rate of its link, in bytes per second.
	LinkRate float64 `cbor:"link-rate"`
	// Latency is the minimum delay of each transfer.
	Latency time.Duration `cbor:"first"`
	// Managed is set if it keeps parts until they are freed.
	Managed bool `cbor:"managed"`
	// MaxFeeds is how many concurrent polls for cache events it accepts.
	MaxFeeds int `cbor:"max-feeds"`
}
