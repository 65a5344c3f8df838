package document

// Workspace is a customer of the site.
type Workspace struct {
	// Name is the name of the workspace that is sent to backend servers.
	Name string `cbor:"name"`
	// Keys are the API keys of its callers.
	Keys []string `cbor:"keys"`
	// Priority, if set, takes precedence over the route's priority.
	Priority *int `cbor:"priority,omitempty"`
	// Isolated is set if the workspace shares no KV cache with other workspaces.
	Isolated bool `cbor:"isolated"`
}
