package route

// Store is a store VM's link and disk as this entry knows them.
type Store struct {
	// Identity names the store.
	Identity string
	// LinkRate is the link's measured speed in bytes a second; zero means that the store can't be read.
	LinkRate float64
	// LinkQueued is the number of bytes that wait for the link: reported, and sent since by this entry and its peers.
	LinkQueued int64
	// DiskRate is the disk's speed in bytes a second.
	DiskRate float64
	// DiskQueued is the number of bytes that wait for the disk.
	DiskQueued int64
}
