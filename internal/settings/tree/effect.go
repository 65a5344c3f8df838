package tree

import "fmt"

// Effect is one difference that an edit made.
type Effect struct {
	// Action is Set, Unset, Create or Remove of one branch.
	Action Action `cbor:"action" json:"action"`
	// Path names the branch.
	Path Path `cbor:"path" json:"path"`
	// Key names the setting, for Set and Unset.
	Key string `cbor:"key,omitempty" json:"key,omitempty"`
	// Before is the branch's own value before, zero when there was none.
	Before Value `cbor:"before,omitzero" json:"before,omitzero"`
	// After is the branch's own value after, zero when there is none.
	After Value `cbor:"after,omitzero" json:"after,omitzero"`
}

// Change returns the Change that makes e's difference on another copy of the tree.
func (e Effect) Change() Change {
	return Change{Action: e.Action, Path: e.Path, Key: e.Key, Value: e.After}
}

// String returns e as one line for people.
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

// Net returns the differences between the tree before all effects and the tree after them, in the order in which they first appear.
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
		net[label] = first.then(e)
	}
	var all []Effect
	for _, label := range order {
		if e := net[label]; e.Action != "" {
			all = append(all, e)
		}
	}
	return all
}

// then returns the difference that e and a later effect on the same setting or
// branch make together; its action is empty when they undo each other.
func (e Effect) then(later Effect) Effect {
	if e.Key == "" {
		return e.thenBranch(later)
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

func (e Effect) thenBranch(later Effect) Effect {
	if e.Action == "" {
		return later
	}
	if e.Action != later.Action {
		e.Action = ""
	}
	return e
}
