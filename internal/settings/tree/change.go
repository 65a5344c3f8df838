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

// Branch is one branch with the values that it sets itself.
type Branch struct {
	// Path names the branch.
	Path Path `cbor:"path"`
	// Values are sorted by key.
	Values []Assignment `cbor:"values,omitempty"`
}

// Assignment is one key with its value.
type Assignment struct {
	// Key names the setting.
	Key string `cbor:"key"`
	// Value is the setting's value.
	Value Value `cbor:"value"`
}

// Effect is one difference that an edit made.
type Effect struct {
	// Action is Set, Unset, Create or Remove of one branch.
	Action Action `cbor:"action"`
	// Path names the branch.
	Path Path `cbor:"path"`
	// Key names the setting, for Set and Unset.
	Key string `cbor:"key,omitempty"`
	// Before is the branch's own value before, zero when there was none.
	Before Value `cbor:"before,omitzero"`
	// After is the branch's own value after, zero when there is none.
	After Value `cbor:"after,omitzero"`
}

// Change returns the Change that makes e's difference on another copy of the tree.
func (e Effect) Change() Change {
	return Change{Action: e.Action, Path: e.Path, Key: e.Key, Value: e.After}
}
