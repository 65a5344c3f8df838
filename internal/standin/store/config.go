package store

import "time"

// Config is the size of a store.
type Config struct {
	// MemoryBytes is the room of the memory tier.
	MemoryBytes int64
	// DiskBytes is the room of the disk tier.
	DiskBytes int64
	// LinkRate is the link's speed in bytes a second.
	LinkRate float64
	// Started seeds the generations, so that a restarted store repeats none.
	Started time.Time
}
