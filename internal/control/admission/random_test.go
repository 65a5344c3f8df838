package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hornbeamwood/internal/control/protocol"
	"hornbeamwood/internal/control/raft"
)

// randomView returns a random group of 1 to 12 members, some of them learners, silent or replaced.
func randomView(r *rand.Rand) View {
	v := View{Self: "m0", Commit: uint64(r.IntN(200)), Matches: map[raft.Identity]uint64{}, Silent: map[raft.Identity]time.Duration{}, Replaced: map[raft.Identity]bool{}}
	for i := range 1 + r.IntN(12) {
		m := raft.Member{Identity: raft.Identity(fmt.Sprint("m", i)), Voter: i == 0 || r.IntN(4) > 0}
		v.Members = append(v.Members, m)
		v.Matches[m.Identity] = uint64(r.IntN(200))
		if i == 0 {
			continue
		}
		if r.IntN(3) == 0 {
			v.Silent[m.Identity] = time.Duration(r.IntN(15000)) * time.Millisecond
		}
		v.Replaced[m.Identity] = r.IntN(6) == 0
	}
	return v
}

// apply returns the view after the change.
func (v View) apply(c protocol.Change) View {
	var members []raft.Member
	for _, m := range v.Members {
		switch {
		case m.Identity != c.Member.Identity:
			members = append(members, m)
		case c.Kind == protocol.Promote:
			m.Voter = true
			members = append(members, m)
		}
	}
	v.Members = members
	return v
}

// margin returns how many more live voters may be lost; it is negative without a quorum.
func (v View) margin() int {
	alive := 0
	for _, m := range v.Members {
		if m.Voter && v.alive(m) {
			alive++
		}
	}
	return alive - (v.voters()/2 + 1)
}

// leastAfter returns the number of voters that the removal must leave.
func (v View) leastAfter(c protocol.Change) int {
	if _, ok := v.promotable(); ok || v.replaced(c.Member) {
		return minReplacedVoters
	}
	return minVoters
}

// For any group size and any set of silent members, no membership change may
// remove the leader, leave too few voters, or reduce the number of losses that the
// group tolerates, because the next loss would then stop the operator's changes.
// Nor may the loss of a replica right after it became a voter. A voter whose
// successor is there may leave two others. The sequence of changes must end.
func TestMembersOfRandomGroups(t *testing.T) {
	p := gopter.NewProperties(nil)
	p.Property("each change helps", prop.ForAll(func(seed uint64) bool {
		v := randomView(rand.New(rand.NewPCG(seed, 5)))
		for range 2 * len(v.Members) {
			c, ok := Next(v)
			if !ok {
				return true
			}
			after := v.apply(c)
			if c.Member.Identity == v.Self || after.margin() < v.margin() {
				return false
			}
			if c.Member.Voter && after.voters() < v.leastAfter(c) {
				return false
			}
			if c.Kind == protocol.Promote && after.voters() > 2 && after.margin() < 1 {
				return false
			}
			v = after
		}
		_, more := Next(v)
		return !more
	}, gen.UInt64()))
	p.TestingRun(t)
}
