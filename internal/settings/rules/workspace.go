package rules

// Workspace is a customer with its keys and the models and services that it may use.
type Workspace struct {
	// Name is the name of the workspace's branch in the tree.
	Name string `cbor:"name"`
	// KeyDigests are the SHA-256 digests of the caller keys; read by entry/caller.
	KeyDigests [][32]byte `cbor:"key-digests"`
	// Models maps a model's name to the rules of this workspace's requests to it.
	Models map[string]Rules `cbor:"models"`
	// Services maps a service's name to the rules of this workspace's calls to it.
	Services map[string]Rules `cbor:"services"`
	// Region is the region in which the workspace's non-idempotent calls are claimed.
	Region string `cbor:"region"`
}
