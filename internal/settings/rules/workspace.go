package rules

// Workspace is one customer with its keys and the models and services that it may use.
type Workspace struct {
	// Name is the workspace's branch in the tree.
	Name string `cbor:"name"`
	// KeyDigests are the SHA-256 digests of the caller keys; read by entry/caller.
	KeyDigests [][32]byte `cbor:"key-digests"`
	// Models maps a model's name to the rules of this workspace's requests to it.
	Models map[string]Rules `cbor:"models"`
	// Services maps a plain service's name to the rules of this workspace's calls to it.
	Services map[string]Rules `cbor:"services"`
	// Region is where the workspace's non-idempotent calls are claimed.
	Region string `cbor:"region"`
}
