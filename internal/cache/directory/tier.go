package directory

// Tier is the storage tier of a store that holds a piece.
type Tier uint8

const (
	// Memory is a store's memory.
	Memory Tier = iota
	// Disk is a store's disk.
	Disk
)

// String returns the name of t in the store protocol.
func (t Tier) String() string {
	if t == Disk {
		return "disk"
	}
	return "memory"
}

// ParseTier returns the tier with the given name, and false for an unknown name.
func ParseTier(name string) (Tier, bool) {
	switch name {
	case "memory":
		return Memory, true
	case "disk":
		return Disk, true
	}
	return 0, false
}
