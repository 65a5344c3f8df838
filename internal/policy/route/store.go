package route

// Store is the state of the link and disk of a store VM, as seen by this entry.
type Store struct {
	// Identity is the identity of the store.
	Identity string
	// LinkRate is the measured rate of the link in bytes per second; zero means that the store
	// cannot be read.
	LinkRate float64
	// LinkQueued is the number of bytes queued for the link: those reported, and those sent since
	// the report by this entry and its peers.
	LinkQueued int64
	// DiskRate is the rate of the disk in bytes per second.
	DiskRate float64
	// DiskQueued is the number of bytes queued for the disk.
	DiskQueued int64
}
