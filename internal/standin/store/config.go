package store

import "time"

// Config holds the sizes and the link rate of a store.
type Config struct {
	// MemoryBytes is the capacity of the memory tier.
	MemoryBytes int64
	// DiskBytes is the capacity of the disk tier.
	DiskBytes int64
	// LinkRate is the link's bandwidth in bytes a second.
	LinkRate float64
	// Started seeds the generation numbers, so that a restarted store does not reuse any.
	Started time.Time
}
