package tree

// Action is the operation of a Change.
type Action string

const (
	// Set assigns a value to a key of a branch.
	Set Action = "set"
	// Unset removes a key from a branch, which then inherits the value.
	Unset Action = "unset"
	// Create adds a branch without values.
	Create Action = "create"
	// Remove deletes a branch and its descendants.
	Remove Action = "remove"
	// Replace replaces a branch and its descendants with the given branches.
	Replace Action = "replace"
)

// Change is one step of an edit.
type Change struct {
	// Action is the operation.
	Action Action `cbor:"action"`
	// Path identifies the branch.
	Path Path `cbor:"path"`
	// Key is the name of the setting, for Set and Unset.
	Key string `cbor:"key,omitempty"`
	// Value is the new value, for Set.
	Value Value `cbor:"value,omitzero"`
	// Branches are the new branches, for Replace; they include the one at Path.
	Branches []Branch `cbor:"branches,omitempty"`
}
