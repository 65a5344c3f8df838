package document

// Workspace is a customer of the site.
type Workspace struct {
	// Name names the workspace towards backend servers.
	Name string `cbor:"name"`
	// Keys are the API keys of its callers.
	Keys []string `cbor:"keys"`
	// Priority, if set, takes precedence over that of the route.
	Priority *int `cbor:"priority,omitempty"`
	// Isolated says that no KV cache is shared with other workspaces.
	Isolated bool `cbor:"isolated"`
}
