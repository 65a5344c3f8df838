package section

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// referenceState is a reference implementation of the settings on one VM with unbounded memory.
type referenceState struct {
	priorities []int64
	outcomes   map[string]Outcome
	sent       map[string]Edit
}

func (r *referenceState) revision() uint64 {
	return uint64(len(r.priorities))
}

func (r *referenceState) apply(e Edit) Outcome {
	if o, ok := r.outcomes[e.ID]; ok {
		return o
	}
	n := e.Changes[0].Value.Number
	o := Outcome{Kind: Accepted, Revision: r.revision() + 1}
	switch {
	case e.Base < r.revision():
		o = Outcome{Kind: Conflict, Revision: r.revision()}
	case e.Base > r.revision() || n > 100:
		o = Outcome{Kind: Refused, Revision: r.revision()}
	}
	if o.Kind == Accepted {
		r.priorities = append(r.priorities, n)
	}
	r.outcomes[e.ID] = o
	r.sent[e.ID] = e
	return o
}

// Operators send concurrent edits and resend old ones, while replicas are
// restored from snapshots. An accepted edit must never be lost, undone or applied
// twice; otherwise the audit trail differs from the settings in force.
func TestNoAcceptedEditIsLostOrUndone(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4004)
	parameters.MinSuccessfulTests = 60
	p := gopter.NewProperties(parameters)
	p.Property("agrees with the reference implementation", prop.ForAll(func(steps []uint32) bool {
		s := newSection(t)
		reference := &referenceState{priorities: []int64{0}, outcomes: map[string]Outcome{}, sent: map[string]Edit{}}
		for i, n := range steps {
			if n%11 == 0 {
				s = restoredCopy(t, s)
				continue
			}
			e := randomEdit(reference, i, n)
			want, got := reference.apply(e), apply(t, s, e)
			if got.Kind != want.Kind || got.Revision != want.Revision {
				t.Logf("step %d, edit %+v: got %+v, want %+v", i, e, got, want)
				return false
			}
			if rootPriority(t, s) != reference.priorities[len(reference.priorities)-1] {
				return false
			}
		}
		return auditTrailMatches(t, s, reference)
	}, gen.SliceOfN(60, gen.UInt32())))
	p.TestingRun(t)
}

// randomEdit returns a new edit based on a recent revision, or one that was sent before.
func randomEdit(reference *referenceState, step int, n uint32) Edit {
	id := fmt.Sprintf("e-%d", step)
	if n%3 == 0 {
		id = fmt.Sprintf("e-%d", int(n/16)%(step+1))
	}
	if e, ok := reference.sent[id]; ok {
		return e
	}
	base := reference.revision() + 1 - min(uint64(n>>8%4), reference.revision())
	if n%5 < 3 {
		base = reference.revision()
	}
	return priorityEdit(id, []string{"ana", "ben"}[n%2], base, int64(n>>4%110))
}

func restoredCopy(t *testing.T, s Section) Section {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	if err := next.Restore(b); err != nil {
		t.Fatal(err)
	}
	return next
}

func auditTrailMatches(t *testing.T, s Section, reference *referenceState) bool {
	for _, r := range query[History](t, s, Query{Kind: QueryHistory}).Records {
		if r.Revision == 1 {
			continue
		}
		if reference.outcomes[r.ID].Revision != r.Revision || reference.sent[r.ID].Changes[0].Value.Number != reference.priorities[r.Revision-1] {
			return false
		}
	}
	return true
}
