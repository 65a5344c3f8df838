package ledger

// Scope identifies one non-idempotent call; equal keys of two workspaces or services are two calls.
type Scope struct {
	// Workspace is the caller's workspace.
	Workspace string `cbor:"w"`
	// Service is the plain service's name.
	Service string `cbor:"s"`
	// Key is the caller's Idempotency-Key.
	Key string `cbor:"k"`
}
