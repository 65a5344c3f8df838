package rules

// Snapshot contains all effective settings at one revision; immutable.
type Snapshot struct {
	// Revision is the revision of the settings.
	Revision uint64 `cbor:"revision"`
	// Fleet contains the settings that belong to no workspace.
	Fleet Fleet `cbor:"fleet"`
	// Workspaces maps names to workspaces.
	Workspaces map[string]Workspace `cbor:"workspaces"`
	// Models maps names to models.
	Models map[string]Model `cbor:"models"`
	// Services maps names to services.
	Services map[string]Service `cbor:"services"`
	// Operators maps an operator's name to the SHA-256 digests of its keys.
	Operators map[string][][32]byte `cbor:"operators"`
}
