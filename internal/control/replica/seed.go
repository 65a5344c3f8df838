package replica

// Seed is a replica that the node file lists as an initial member of the group.
type Seed struct {
	// Name is the replica's name.
	Name string `cbor:"name"`
	// Address is its IP address and port.
	Address string `cbor:"address"`
}
