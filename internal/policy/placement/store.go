package placement

// Store is the state of a store VM, as seen by this entry.
type Store struct {
	// Identity is the identity of the store.
	Identity string
	// Lost reports that the store is not reachable.
	Lost bool
	// LinkRate is the measured rate of the link in bytes per second.
	LinkRate float64
	// Backlog is the time until the link is idle, in seconds.
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
