package placement

// Store is a store VM as this entry knows it.
type Store struct {
	// Identity names the store.
	Identity string
	// Lost says that the store is not reachable.
	Lost bool
	// LinkRate is the link's measured speed in bytes a second.
	LinkRate float64
	// Backlog is the time until the link is free, in seconds.
	Backlog float64
	// Memory is the size of the memory tier in bytes.
	Memory int64
	// Disk is the size of the disk tier in bytes.
	Disk int64
	// FreeMemory is the part of Memory that is free.
	FreeMemory int64
	// FreeDisk is the part of Disk that is free.
	FreeDisk int64
}
