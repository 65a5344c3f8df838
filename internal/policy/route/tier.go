package route

// Tier is the part of a store that holds a copy.
type Tier uint8

const (
	// Memory means that the copy is read at the link's speed.
	Memory Tier = iota
	// Disk means that the copy is read at the slower of link and disk.
	Disk
)

// String returns the name of t as it stands in logs.
func (t Tier) String() string {
	if t == Disk {
		return "disk"
	}
	return "memory"
}
