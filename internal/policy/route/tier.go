package route

// Tier is the storage tier of a store that holds a copy.
type Tier uint8

const (
	// Memory means that the copy is read at the rate of the link.
	Memory Tier = iota
	// Disk means that the copy is read at the lower of the rates of link and disk.
	Disk
)

// String returns the name of t that is used in logs.
func (t Tier) String() string {
	if t == Disk {
		return "disk"
	}
	return "memory"
}
