package document

// Document is one complete, immutable description of a site.
type Document struct {
	// Revision orders documents; the highest one is in force.
	Revision int64 `cbor:"number"`
	// Routes say where requests go.
	Routes []Route `cbor:"routes"`
	// Services are the groups of equal backend servers.
	Services []Service `cbor:"services"`
	// Stores keep KV cache beside the engines.
	Stores []Store `cbor:"stores"`
	// Limits bound what a caller may send.
	Limits Limits `cbor:"limits"`
	// Workspaces are the customers with their keys; none means that no key is asked for.
	Workspaces []Workspace `cbor:"workspaces"`
}
