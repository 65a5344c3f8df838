package ledger

// Scope identifies one non-idempotent call. Equal keys in two workspaces or services identify two calls.
type Scope struct {
	// Workspace is the caller's workspace.
	Workspace string `cbor:"w"`
	// Service is the name of the plain service.
	Service string `cbor:"s"`
	// Key is the caller's Idempotency-Key.
	Key string `cbor:"k"`
}
