package document

// Document is one complete, immutable description of a site.
type Document struct {
	// Revision orders documents; the one with the highest revision is active.
	Revision int64 `cbor:"number"`
	// Routes assign requests to services.
	Routes []Route `cbor:"routes"`
	// Services are the groups of interchangeable backend servers.
	Services []Service `cbor:"services"`
	// Stores store KV cache outside the engines.
	Stores []Store `cbor:"stores"`
	// Limits bound the requests of callers.
	Limits Limits `cbor:"limits"`
	// Workspaces are the customers with their API keys; without any, no key is required.
	Workspaces []Workspace `cbor:"workspaces"`
}
