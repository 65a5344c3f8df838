package store

// Usage is the capacity of a store and the state of its link.
type Usage struct {
	// Incarnation is the store's announced incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Memory and Disk are the tiers.
	Memory TierUsage `json:"memory"`
	Disk   TierUsage `json:"disk"`
	// LinkRate is the link's speed in bytes per second.
	LinkRate float64 `json:"link-rate"`
	// LinkQueued is the number of bytes queued for the link.
	LinkQueued int64 `json:"link-queued"`
}

// TierUsage is the capacity of one tier.
type TierUsage struct {
	// Bytes is the size of the tier.
	Bytes int64 `json:"bytes"`
	// FreeBytes is the free part of it.
	FreeBytes int64 `json:"free-bytes"`
}
