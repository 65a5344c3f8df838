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
	// View returns the newest copy. It takes no lock.
	View() View
	// Apply applies an answer of the control log and returns the resulting copy. After an error, the changes since the revision of the copy must be requested again.
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
// Answers of two control replicas may arrive out of order. An older answer that was
// applied after a newer one would restore settings that an operator has replaced,
// so it is ignored.
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
		return v.Tree, fmt.Errorf("settings changes are from revision %d to %d, but this copy is at %d", c.From, c.Revision, v.Revision())
	}
	t, _, err := v.Tree.Apply(c.Changes)
	if err != nil {
		return t, fmt.Errorf("settings revision %d: %w", c.Revision, err)
	}
	return t, nil
}
