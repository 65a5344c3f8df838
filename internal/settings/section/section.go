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

// Section is the section of the replicated state that contains the settings.
type Section interface {
	state.Section
	// Terms returns the lease parameters of the settings.
	Terms() lease.Terms
	// Changes returns the changes since a known revision.
	Changes(known uint64) Changes
	// AdmittedReplicas returns the identities of the control replicas that operators have admitted.
	AdmittedReplicas() []string
}

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
		return s.answerResend(first, e, digest)
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

// answerResend returns the first outcome of a resent edit. An operator who got no
// answer resends the edit, possibly after edits of others; applied a second time,
// it would undo them.
//
// The first edit, made with the bootstrap key, may give that key to an operator, under whose name it is then resent.
func (s *section) answerResend(first storedOutcome, e Edit, digest [32]byte) Outcome {
	bootstrap := e
	bootstrap.Operator = BootstrapOperator
	bootstrapDigest, err := bootstrap.contentDigest()
	if first.digest != digest && (err != nil || first.digest != bootstrapDigest) {
		o := refused(s.revision, "", "the edit id belongs to an edit with other content")
		o.Kind = Reused
		return o
	}
	o := first.outcome
	o.Repeated = true
	return o
}

// decide returns the outcome of a new edit.
//
// Two edits with the same base may each be valid alone but not together, and the
// second would overwrite a change that its operator has not seen. The second
// therefore gets a conflict that describes the first.
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
	current := s.tree.SettingsLease()
	return lease.Terms{
		Revision:          s.revision,
		Lease:             current,
		Longest:           max(current, s.leases.Longest),
		LeaseRequiredFrom: s.leases.LeaseRequiredFrom,
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

// Check applies e to t and returns the resulting tree and the differences, or an error if e is not valid.
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

// checkOperator rejects an operator that is not in the tree: an entry with older
// settings may still have accepted the operator's key.
func checkOperator(t tree.Tree, name string) error {
	if t.OperatorCount() == 0 && name == BootstrapOperator {
		return nil
	}
	if name != "" && t.Has(tree.OperatorPath(name)) && tree.OperatorPath(name).Kind() == tree.Operator {
		return nil
	}
	return fmt.Errorf("the tree has no operator %q", name)
}
