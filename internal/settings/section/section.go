package section

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/control/state"
	"hornbeamwood/internal/settings/lease"
	"hornbeamwood/internal/settings/tomlfile"
	"hornbeamwood/internal/settings/tree"
)

// Name is the section's name in commands and queries.
const Name = "settings"

// Section is the settings as a section of the replicated state.
type Section interface {
	state.Section
	// Terms returns what the settings say of leases.
	Terms() lease.Terms
	// Changes returns what lies above a known revision.
	Changes(known uint64) Changes
	// AdmittedReplicas returns the identities of control replicas that operators admit.
	AdmittedReplicas() []string
}

// section implements Section.
type section struct {
	mu       sync.RWMutex
	tree     tree.Tree
	revision uint64
	history  *history
	leases   leases
}

// New returns the settings section with an empty tree at revision 0.
func New() Section {
	return &section{history: newHistory(nil, nil)}
}

// Name implements state.Section.
func (s *section) Name() string {
	return Name
}

// Apply implements state.Section; the result is an Outcome.
func (s *section) Apply(at time.Time, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := codec.Marshal(s.apply(at, command))
	if err != nil {
		return nil
	}
	return b
}

func (s *section) apply(at time.Time, command []byte) Outcome {
	e, err := codec.UnmarshalStrict[Edit](command)
	if err != nil {
		return refused(s.revision, "", "not an edit: %v", err)
	}
	if err := CheckID(e.ID); err != nil {
		return refused(s.revision, "", "%v", err)
	}
	digest, err := e.contentDigest()
	if err != nil {
		return refused(s.revision, "", "%v", err)
	}
	if first, ok := s.history.byID[e.ID]; ok {
		return s.repeat(first, digest)
	}
	o, effects, next := s.decide(e)
	if o.Kind != Accepted {
		s.history.reject(rejection{ID: e.ID, Digest: digest, Outcome: o})
		return o
	}
	s.leases = s.leases.after(at, o.Revision, s.tree, next)
	s.tree = next
	s.revision = o.Revision
	s.history.accept(Record{
		Revision: o.Revision,
		ID:       e.ID,
		Digest:   digest,
		Operator: e.Operator,
		Base:     e.Base,
		Intent:   e.Intent,
		At:       at.UnixNano(),
		Effects:  effects,
	})
	return o
}

// repeat answers an edit that was sent again. An operator whose answer was
// lost sends the edit once more, perhaps after others have edited; carried out
// twice it would undo what they did, so the first outcome is the answer.
func (s *section) repeat(first remembered, digest [32]byte) Outcome {
	if first.digest != digest {
		o := refused(s.revision, "", "the edit id belongs to an edit with other content")
		o.Kind = Reused
		return o
	}
	o := first.outcome
	o.Repeated = true
	return o
}

// decide returns what becomes of an edit that is seen for the first time.
//
// Two operators who saw the same number may both be right alone and wrong
// together; the second would overwrite what it never saw, so it gets a
// conflict that shows the first.
func (s *section) decide(e Edit) (Outcome, []tree.Effect, tree.Tree) {
	if e.Base > s.revision {
		return refused(s.revision, "", "there is no revision %d yet", e.Base), nil, s.tree
	}
	if e.Base < s.revision {
		return Outcome{Kind: Conflict, Revision: s.revision, Winner: s.history.winner(e.Base)}, nil, s.tree
	}
	next, effects, err := Check(s.tree, e)
	if err != nil {
		var reasons tomlfile.Problems
		if !errors.As(err, &reasons) {
			reasons = tomlfile.Problems{{Message: err.Error()}}
		}
		return Outcome{Kind: Refused, Revision: s.revision, Reasons: reasons.Shown()}, nil, s.tree
	}
	return Outcome{Kind: Accepted, Revision: s.revision + 1}, effects, next
}

// Terms implements Section.
func (s *section) Terms() lease.Terms {
	s.mu.RLock()
	defer s.mu.RUnlock()
	own := s.tree.SettingsLease()
	return lease.Terms{
		Revision:   s.revision,
		Lease:      own,
		Longest:    max(own, s.leases.Longest),
		FreeBefore: s.leases.FreeBefore,
	}
}

// Changes implements Section.
func (s *section) Changes(known uint64) Changes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changes(Query{Known: known})
}

// AdmittedReplicas implements Section.
func (s *section) AdmittedReplicas() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tree.AdmittedReplicas()
}

// Check returns the tree after edit e of t and its differences, or why t refuses it.
func Check(t tree.Tree, e Edit) (tree.Tree, []tree.Effect, error) {
	if err := checkOperator(t, e.Operator); err != nil {
		return t, nil, err
	}
	if len(e.Changes) == 0 {
		return t, nil, fmt.Errorf("an edit has at least one change")
	}
	next, effects, err := t.Edit(e.Changes)
	if err != nil {
		return t, nil, err
	}
	if t.OperatorCount() > 0 && next.OperatorCount() == 0 {
		return t, nil, fmt.Errorf("the last operator can't be removed: nobody could edit the tree but by the bootstrap key")
	}
	return next, effects, nil
}

// checkOperator refuses an operator that the tree does not have: an entry with
// older settings may still have taken its key.
func checkOperator(t tree.Tree, name string) error {
	if t.OperatorCount() == 0 && name == BootstrapOperator {
		return nil
	}
	if name != "" && t.Has(tree.OperatorPath(name)) && tree.OperatorPath(name).Kind() == tree.Operator {
		return nil
	}
	return fmt.Errorf("the tree has no operator %q", name)
}
