package store

// Usage is the room of a store and the state of its link.
type Usage struct {
	// Incarnation is the store's, as it announces it.
	Incarnation uint64 `json:"incarnation"`
	// Memory and Disk are the tiers.
	Memory TierUsage `json:"memory"`
	Disk   TierUsage `json:"disk"`
	// LinkRate is the link's speed in bytes a second.
	LinkRate float64 `json:"link-rate"`
	// LinkQueued is the number of bytes that wait for the link.
	LinkQueued int64 `json:"link-queued"`
}

// TierUsage is the room of one tier.
type TierUsage struct {
	// Bytes is the size of the tier.
	Bytes int64 `json:"bytes"`
	// FreeBytes is how much of it is free.
	FreeBytes int64 `json:"free-bytes"`
}
