package section

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// copyOfAll is the settings as one VM with endless memory would keep them.
type copyOfAll struct {
	priorities []int64
	outcomes   map[string]Outcome
	sent       map[string]Edit
}

func (c *copyOfAll) revision() uint64 {
	return uint64(len(c.priorities))
}

func (c *copyOfAll) apply(e Edit) Outcome {
	if o, ok := c.outcomes[e.ID]; ok {
		return o
	}
	n := e.Changes[0].Value.Number
	o := Outcome{Kind: Accepted, Revision: c.revision() + 1}
	switch {
	case e.Base < c.revision():
		o = Outcome{Kind: Conflict, Revision: c.revision()}
	case e.Base > c.revision() || n > 100:
		o = Outcome{Kind: Refused, Revision: c.revision()}
	}
	if o.Kind == Accepted {
		c.priorities = append(c.priorities, n)
	}
	c.outcomes[e.ID] = o
	c.sent[e.ID] = e
	return o
}

// Operators edit, race, resend old edits, and replicas are replaced by
// snapshots in between. An edit that was accepted must never be lost, undone
// or done twice; otherwise an operator sees one number in the audit trail and
// another in force.
func TestNoAcceptedEditIsLostOrUndone(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4004)
	parameters.MinSuccessfulTests = 60
	p := gopter.NewProperties(parameters)
	p.Property("agrees with one copy of all", prop.ForAll(func(steps []uint32) bool {
		s := ready(t)
		c := &copyOfAll{priorities: []int64{0}, outcomes: map[string]Outcome{}, sent: map[string]Edit{}}
		for i, n := range steps {
			if n%11 == 0 {
				s = restored(t, s)
				continue
			}
			e := editOf(c, i, n)
			want, got := c.apply(e), apply(t, s, e)
			if got.Kind != want.Kind || got.Revision != want.Revision {
				t.Logf("step %d, edit %+v: got %+v, want %+v", i, e, got, want)
				return false
			}
			if ownPriority(t, s) != c.priorities[len(c.priorities)-1] {
				return false
			}
		}
		return trailAgrees(t, s, c)
	}, gen.SliceOfN(60, gen.UInt32())))
	p.TestingRun(t)
}

// editOf returns a new edit against a near revision, or one that was sent before.
func editOf(c *copyOfAll, step int, n uint32) Edit {
	id := fmt.Sprintf("e-%d", step)
	if n%3 == 0 {
		id = fmt.Sprintf("e-%d", int(n/16)%(step+1))
	}
	if e, ok := c.sent[id]; ok {
		return e
	}
	base := c.revision() + 1 - min(uint64(n>>8%4), c.revision())
	if n%5 < 3 {
		base = c.revision()
	}
	return priority(id, []string{"ana", "ben"}[n%2], base, int64(n>>4%110))
}

func restored(t *testing.T, s Section) Section {
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

func trailAgrees(t *testing.T, s Section, c *copyOfAll) bool {
	for _, r := range ask[History](t, s, Query{Kind: QueryHistory}).Records {
		if r.Revision == 1 {
			continue
		}
		if c.outcomes[r.ID].Revision != r.Revision || c.sent[r.ID].Changes[0].Value.Number != c.priorities[r.Revision-1] {
			return false
		}
	}
	return true
}
