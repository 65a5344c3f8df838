package tree

// Action is what a Change does.
type Action string

const (
	// Set gives a key of a branch a value.
	Set Action = "set"
	// Unset takes a key from a branch, which then inherits the value.
	Unset Action = "unset"
	// Create makes a branch without values.
	Create Action = "create"
	// Remove takes a branch and all below it from the tree.
	Remove Action = "remove"
	// Replace makes a branch and all below it equal to the given branches.
	Replace Action = "replace"
)

// Change is one step of an edit.
type Change struct {
	// Action says what is done.
	Action Action `cbor:"action"`
	// Path names the branch.
	Path Path `cbor:"path"`
	// Key names the setting, for Set and Unset.
	Key string `cbor:"key,omitempty"`
	// Value is the new value, for Set.
	Value Value `cbor:"value,omitzero"`
	// Branches are the new branches, for Replace; Path itself is among them.
	Branches []Branch `cbor:"branches,omitempty"`
}
