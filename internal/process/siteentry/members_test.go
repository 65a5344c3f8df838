package siteentry

import (
	"slices"
	"testing"
	"time"

	"hornbeamwood/internal/serve/share"
	"hornbeamwood/internal/site/parts"
	"hornbeamwood/internal/site/watch"
)

// Three replicas found the log and a fourth joins; one of the three lists it late. The entry must keep polling
// the fourth. Otherwise it gets no state when that one later holds the lease, and prompts are prefilled again
// for the rest of the day.
func TestSlowReplicaDoesNotHideANewOne(t *testing.T) {
	s := newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {})
	var polled []string
	s.follow = func() { polled = s.members.union() }
	s.applyMembers("a", []string{"a", "b", "c", "d"})
	s.applyMembers("b", []string{"a", "b", "c"})
	if !slices.Equal(polled, []string{"a", "b", "c", "d"}) {
		t.Errorf("polled %v", polled)
	}
	s.applyMembers("a", []string{"a", "b", "c"})
	if !slices.Equal(polled, []string{"a", "b", "c"}) {
		t.Errorf("polled %v after it left", polled)
	}
}

// answeredFollower is a Follower whose replicas have all just answered.
type answeredFollower struct{ watch.Follower }

func (answeredFollower) SinceAnswer(string) (time.Duration, bool) { return 0, true }

// Guards against an entry that goes by an older document for good: the only replica that it still knows is cut off
// from the others, which were replaced meanwhile, and answers.
func TestReplicaThatIsCutOffDoesNotHideTheSeeds(t *testing.T) {
	p := &process{site: newSite(nil, parts.NewResidency(), share.NewPeerLoads("e"), func() {}), follower: answeredFollower{}}
	p.seeds.Store(&[]string{"new"})
	p.site.follow = func() {}
	p.site.applyMembers("old", []string{"old"})
	p.site.caughtUp["old"] = time.Now()
	if got := p.addresses(); !slices.Equal(got, []string{"old"}) {
		t.Errorf("polled %v", got)
	}
	p.site.caughtUp["old"] = time.Now().Add(-seedsFallbackAfter)
	if got := p.addresses(); !slices.Equal(got, []string{"new", "old"}) {
		t.Errorf("polled %v while the only known replica is cut off", got)
	}
}
