package follower

import (
	"fmt"
	"sync"
	"sync/atomic"

	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

// Follower is an entry's copy of the settings.
type Follower interface {
	// View returns the newest copy; it takes no lock.
	View() View
	// Apply takes an answer of the control log and returns the copy afterwards; an error means that the copy must ask for what lies above its revision again.
	Apply(c section.Changes) (View, error)
}

type follower struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// New returns a Follower with an empty tree at revision 0.
func New() Follower {
	f := &follower{}
	f.store(tree.Tree{}, 0)
	return f
}

// View implements Follower.
func (f *follower) View() View {
	return *f.view.Load()
}

// Apply implements Follower.
//
// Answers of two control replicas may cross. An older one that is taken after
// a newer would bring back settings that an operator has replaced, so it
// changes nothing.
func (f *follower) Apply(c section.Changes) (View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.View()
	if c.Revision <= v.Revision() {
		return v, nil
	}
	next, err := advance(v, c)
	if err != nil {
		return v, err
	}
	return f.store(next, c.Revision), nil
}

func (f *follower) store(t tree.Tree, revision uint64) View {
	r := t.Build(revision)
	v := View{Tree: t, Rules: &r}
	f.view.Store(&v)
	return v
}

func advance(v View, c section.Changes) (tree.Tree, error) {
	if len(c.Whole) > 0 {
		t, err := tree.FromBranches(c.Whole)
		if err != nil {
			return t, fmt.Errorf("settings revision %d: %w", c.Revision, err)
		}
		return t, nil
	}
	if c.From != v.Revision() {
		return v.Tree, fmt.Errorf("settings changes lead from revision %d to %d, and this copy is at %d", c.From, c.Revision, v.Revision())
	}
	t, _, err := v.Tree.Apply(c.Changes)
	if err != nil {
		return t, fmt.Errorf("settings revision %d: %w", c.Revision, err)
	}
	return t, nil
}
