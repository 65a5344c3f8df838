package replica

// Seed is a replica that the node file names for the first start of the group.
type Seed struct {
	// Name is the replica's name.
	Name string `cbor:"name"`
	// Address is its IP and port.
	Address string `cbor:"address"`
}
