package tree

import "fmt"

// Effect is one difference made by an edit.
type Effect struct {
	// Action is Set, Unset, Create or Remove; Remove deletes one branch only.
	Action Action `cbor:"action" json:"action"`
	// Path identifies the branch.
	Path Path `cbor:"path" json:"path"`
	// Key is the name of the setting, for Set and Unset.
	Key string `cbor:"key,omitempty" json:"key,omitempty"`
	// Before is the branch's own value before the edit, zero if there was none.
	Before Value `cbor:"before,omitzero" json:"before,omitzero"`
	// After is the branch's own value after the edit, zero if there is none.
	After Value `cbor:"after,omitzero" json:"after,omitzero"`
}

// Change returns the Change that reproduces e on another copy of the tree.
func (e Effect) Change() Change {
	return Change{Action: e.Action, Path: e.Path, Key: e.Key, Value: e.After}
}

// String returns a one-line description of e.
func (e Effect) String() string {
	label := Label(e.Path, e.Key)
	switch {
	case e.Action != Set:
		return fmt.Sprintf("%s %s", e.Action, label)
	case e.Before.Type == 0:
		return fmt.Sprintf("set %s to %s", label, e.After)
	}
	return fmt.Sprintf("set %s from %s to %s", label, e.Before, e.After)
}

// Net returns the differences between the tree before all effects and the tree after them, in order of first appearance.
func Net(effects []Effect) []Effect {
	order := []string{}
	net := map[string]Effect{}
	for _, e := range effects {
		label := Label(e.Path, e.Key)
		first, ok := net[label]
		if !ok {
			order = append(order, label)
			net[label] = e
			continue
		}
		net[label] = first.merge(e)
	}
	var all []Effect
	for _, label := range order {
		if e := net[label]; e.Action != "" {
			all = append(all, e)
		}
	}
	return all
}

// merge returns the combined difference of e and a later effect on the same
// setting or branch. Its action is empty if the two cancel each other out.
func (e Effect) merge(later Effect) Effect {
	if e.Key == "" {
		return e.mergeBranch(later)
	}
	e.After = later.After
	e.Action = Set
	if e.After.Type == 0 {
		e.Action = Unset
	}
	if e.Before.Equal(e.After) {
		e.Action = ""
	}
	return e
}

func (e Effect) mergeBranch(later Effect) Effect {
	if e.Action == "" {
		return later
	}
	if e.Action != later.Action {
		e.Action = ""
	}
	return e
}
